"""Log lines about callers that the budget ended, bounded in time."""

from collections import abc

from citronjunction.budgeting import models
from citronjunction.observability import decisions

LINES_PER_S = 4


class CallerLog:
    """Write what the budget ended; count what is left out."""

    __slots__ = ('count', 'left_out', 'lines', 'log', 'now', 'second')

    def __init__(
        self,
        log: decisions.DecisionLog,
        now: abc.Callable[[], float],
        count: abc.Callable[[models.Ended], None],
    ) -> None:
        """Count all with ``count``, also those without a line."""
        self.log = log
        self.now = now
        self.count = count
        self.second = 0
        self.lines = 0
        self.left_out = 0

    def report(self, ended: models.Ended) -> None:
        """Count a decision and write it unless too many came this second."""
        self.count(ended)
        second = int(self.now())
        if second != self.second:
            self.second = second
            self.lines = 0
        if self.lines >= LINES_PER_S:
            self.left_out += 1
            return
        self.lines += 1
        self.log.write(
            'end caller',
            ended.address,
            limit=ended.limit.value,
            listener=ended.listener,
            cost=ended.cost,
            moved=ended.moved,
            age_s=round(ended.age_s, 3),
            is_slow=ended.is_slow,
            left_out=self.left_out,
        )
        self.left_out = 0
