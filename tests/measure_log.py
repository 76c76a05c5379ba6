"""Measure the CPU time and size of the log line at the end of a request.

Run as ``python -m tests.measure_log > FILE``. The lines go to standard output,
which must be a file because its size is read; the figures go to standard error.
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
    started_at = time.process_time()
    for number in range(LINES):
        log.write('end', f'{number:016x}', **FIELDS)
    us_per_line = (time.process_time() - started_at) / LINES * 1e6
    bytes_per_line = os.fstat(1).st_size / LINES
    print(
        f'a line: {us_per_line:.1f} us, {bytes_per_line:.0f} bytes',
        file=sys.stderr,
    )


if __name__ == '__main__':
    main()
