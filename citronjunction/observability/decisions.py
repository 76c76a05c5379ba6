"""One structured log line per routing or placement decision."""

import collections
import json
from collections import abc

from absl import logging

MAX_KEPT = 2000  # lines


class DecisionLog:
    """Write decisions and keep the last ones for ``citronctl explain``."""

    __slots__ = ('recent_lines', 'process', 'wall_clock')

    def __init__(
        self,
        process: str,
        wall_clock: abc.Callable[[], float],
    ) -> None:
        """Take the name of the process and its clock."""
        self.wall_clock = wall_clock
        self.process = process
        self.recent_lines: collections.deque[dict[str, object]] = (
            collections.deque(
                maxlen=MAX_KEPT,
            )
        )

    def write(self, kind: str, subject: str, **details: object) -> None:
        """Write one decision; details tell what was chosen and why."""
        line = {
            'at': round(self.wall_clock(), 3),
            'process': self.process,
            'decision': kind,
            'subject': subject,
            **details,
        }
        self.recent_lines.append(line)
        logging.info('decision %s', json.dumps(line, default=str))

    def find(self, subject: str) -> list[dict[str, object]]:
        """Return the kept decisions about a subject."""
        return [
            line for line in self.recent_lines if line['subject'] == subject
        ]
