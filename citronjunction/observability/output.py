"""Non-blocking output of structured log lines."""

import errno
import json
import logging as standard
import os

from absl import logging

STDOUT = 1
MAX_PENDING_BYTES = 262144  # buffered while the reader is slow
BUSY_ERRORS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))


class LineWriter:
    """Write lines to a file descriptor without blocking.

    Lines that do not fit into the buffer are dropped. The next line that fits
    is preceded by one with the number of dropped lines.
    """

    __slots__ = ('descriptor', 'dropped', 'pending')

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self.descriptor = descriptor
        self.pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Buffer a line and write as much as the descriptor accepts."""
        encoded_line = f'{line}\n'.encode()
        if len(self.pending) + len(encoded_line) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                notice = json.dumps(
                    {'decision': 'log', 'dropped': self.dropped}
                )
                self.pending.extend(f'{notice}\n'.encode())
                self.dropped = 0
            self.pending.extend(encoded_line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except OSError as error:
                if error.errno not in BUSY_ERRORS:
                    self.pending.clear()
                return
            del self.pending[:written]


class LineHandler(standard.Handler):
    """Write log records as JSON lines."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: standard.LogRecord) -> None:
        """Write one record; decisions are already JSON."""
        if record.msg == 'decision %s':
            self.writer.write(record.args[0])
            return
        line = {
            'at': round(record.created, 3),
            'level': record.levelname.lower(),
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['error'] = standard.Formatter().formatException(
                record.exc_info,
            )
        self.writer.write(json.dumps(line))


def start_logging() -> None:
    """Send all log records to standard output as JSON lines."""
    logging.use_absl_handler()
    handler = LineHandler(LineWriter(STDOUT))
    logger = logging.get_absl_logger()
    logger.handlers.clear()
    logger.addHandler(handler)
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    logger.setLevel(standard.INFO)
    # Libraries log every connection at INFO, which would hide the decisions.
    root = standard.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(standard.WARNING)
