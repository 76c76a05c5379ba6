"""Structured log of decisions, such as routing and placement."""

import collections
import json
from collections import abc

from absl import logging

MAX_RECENT_LINES = 2000  # older ones are dropped


class DecisionLog:
    """Write decisions and keep recent ones for ``citronctl explain``.

    ``wall_clock`` returns epoch seconds.
    """

    __slots__ = ('recent_lines', 'process', 'wall_clock')

    def __init__(
        self,
        process: str,
        wall_clock: abc.Callable[[], float],
    ) -> None:
        self.wall_clock = wall_clock
        self.process = process
        self.recent_lines: collections.deque[dict[str, object]] = (
            collections.deque(
                maxlen=MAX_RECENT_LINES,
            )
        )

    def write(self, kind: str, subject: str, **details: object) -> None:
        """Write a decision of a kind about a subject, such as a request id.

        ``details`` say what was decided and why.
        """
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
        """Return recent decisions about a subject."""
        return [
            line for line in self.recent_lines if line['subject'] == subject
        ]
