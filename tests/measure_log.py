"""Measures what the `end` line of a request costs.

Run as ``python -m tests.measure_log``; the lines go to standard output, the
figures to standard error.
"""

import os
import sys
import time

from citronjunction.observability import decisions, output

LINES = 20_000
FIELDS = {
    'outcome': 'answered',
    'status': 200,
    'reason': '',
    'route': 'r-hzjugfq',
    'organisation': 'bose9314',
    'workers': ['i-b8fb465b28'],
    'sends': 1,
    'is_started': True,
    'held_ms': 1295,
    'expected_ms': 35,
    'first_ms': 122,
    'tokens': 1811,
    'configuration': 34,
}


def main():
    output.start_logging()
    log = decisions.DecisionLog('edge-tanger-med-16', time.time)
    started = time.process_time()
    for number in range(LINES):
        log.write('end', f'{number:016x}', **FIELDS)
    each_us = (time.process_time() - started) / LINES * 1e6
    size = os.fstat(1).st_size / LINES
    print(f'a line: {each_us:.1f} us, {size:.0f} bytes', file=sys.stderr)


if __name__ == '__main__':
    main()
