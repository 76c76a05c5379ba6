"""Structured log lines on standard output that never block."""

import errno
import json
import logging as standard
import os

from absl import logging

STDOUT = 1
MAX_PENDING_BYTES = 262144  # bytes kept while the reader is slow
BUSY = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))


class LineWriter:
    """Write lines to a descriptor; lines over the bound are counted."""

    __slots__ = ('descriptor', 'dropped', 'pending')

    def __init__(self, descriptor: int) -> None:
        """Take a descriptor and make it non-blocking."""
        self.descriptor = descriptor
        self.pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line as far as the reader takes it."""
        encoded = f'{line}\n'.encode()
        if len(self.pending) + len(encoded) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                note = json.dumps({'decision': 'log', 'dropped': self.dropped})
                self.pending.extend(f'{note}\n'.encode())
                self.dropped = 0
            self.pending.extend(encoded)
        self.flush()

    def flush(self) -> None:
        """Write what is pending, as far as the reader takes it."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except OSError as error:
                if error.errno not in BUSY:
                    self.pending.clear()
                return
            del self.pending[:written]


class LineHandler(standard.Handler):
    """Turn log records into JSON lines."""

    def __init__(self, writer: LineWriter) -> None:
        """Take the writer."""
        super().__init__()
        self.writer = writer

    def emit(self, record: standard.LogRecord) -> None:
        """Write one record; decisions are JSON already."""
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
    # Libraries tell each connection at INFO; that is no decision.
    root = standard.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(standard.WARNING)
