"""Pace of one worker as its answers show it, for one entry.

Times are monotonic seconds.
"""

import dataclasses
from collections import abc

from citronjunction.pacing import learning, outstanding


@dataclasses.dataclass(slots=True, frozen=True)
class Reduced:
    """The limit of a worker was reduced after a late or failed answer."""

    limit: float


@dataclasses.dataclass(slots=True, frozen=True)
class Learned:
    """A worker needs no limit any more; ``limit`` is the last one."""

    limit: float


Change = Reduced | Learned | None


class WorkerPace:
    """Follow a worker's first events; limit requests after a start.

    Without ``begin`` there is no limit.
    """

    __slots__ = ('learned', 'outstanding')

    def __init__(self) -> None:
        self.outstanding = outstanding.Outstanding()
        self.learned: learning.LearnedLimit | None = None

    def begin(self, full: int, now: float) -> None:
        """Limit the requests of a worker that starts or recovers."""
        self.learned = learning.LearnedLimit(full, now)

    def record_answer(
        self, request: abc.Hashable, running: int, now: float
    ) -> Change:
        """Record a first event while so many requests were running."""
        due = self.outstanding.settle(request)
        if due is None or self.learned is None:
            return None
        if now > due.at:
            return self.record_failure(now)
        self.learned.record_on_time(running)
        return self._end_if_over(now)

    def record_failure(self, now: float) -> Change:
        """Record a late or failed answer."""
        if self.learned is None or not self.learned.record_late(now):
            return None
        return Reduced(self.learned.limit)

    def permits(self, running: int, now: float) -> bool:
        """Return whether one more request may be sent now."""
        learned = self.learned
        if learned is None or learned.is_over(now):
            return True
        return learned.permits(running)

    def get_overdue_s(self, urgency: int, now: float) -> float:
        """Return for how long a first event of such urgency is overdue."""
        if not self.outstanding.due_by_request:
            return 0
        return self.outstanding.get_overdue_s(urgency, now)

    def _end_if_over(self, now: float) -> Change:
        learned = self.learned
        if not learned.is_over(now):
            return None
        self.learned = None
        return Learned(learned.limit)
