"""Parts of prompts under which workers crash, without I/O.

A part is a suspect if several workers crashed while they ran requests with it
and no such request has been answered since the first of these crashes. Requests
that only shared a worker with the cause are answered sooner or later, which
clears their parts.
"""

import dataclasses
from collections import abc

from citronjunction.conf import models as conf

MAX_CRASHES = 16  # remembered per part
MAX_PARTS = 5000
# A part is refused this much longer after each further crash under it.
REFUSAL_GROWTH = 2.0

# Start of a worker, when the prompt was sent there, when the connection was
# lost; both in seconds since the epoch.
Crash = tuple[str, float, float]


def merge_crashes(
    first: abc.Iterable[Crash],
    second: abc.Iterable[Crash],
    cleared_at: float,
) -> tuple[Crash, ...]:
    """Return the latest crashes after ``cleared_at``, one of each worker."""
    merged: dict[str, Crash] = {}
    for worker, sent_at, lost_at in (*first, *second):
        if lost_at > cleared_at:
            _, other_sent_at, other_lost_at = merged.get(
                worker, (worker, sent_at, lost_at)
            )
            merged[worker] = (
                worker,
                max(sent_at, other_sent_at),
                min(lost_at, other_lost_at),
            )
    ordered = sorted(merged.values(), key=_get_order)
    return tuple(ordered[-MAX_CRASHES:])


@dataclasses.dataclass(slots=True)
class Refusal:
    """Store for how long a part is refused, in monotonic seconds.

    ``counted_until`` is the time of the last crash that led to it, in seconds
    since the epoch. ``trial_until`` is when a request sent to test the part
    counts as lost.
    """

    until: float
    counted_until: float
    count: int = 1
    trial_until: float = 0


class SuspectParts:
    """Decide which parts are refused, by the crashes of all entries."""

    __slots__ = ('crashes', 'owns', 'refusals', 'settings')

    def __init__(
        self,
        settings: conf.Attempts,
        owns: abc.Callable[[int], bool],
    ) -> None:
        """Set the settings and whether this entry tests a refused part."""
        self.settings = settings
        self.owns = owns
        self.crashes: dict[int, tuple[Crash, ...]] = {}
        self.refusals: dict[int, Refusal] = {}

    def update(self, part: int, crashes: tuple[Crash, ...], now: float) -> bool:
        """Apply the known crashes under a part; return if it is newly refused.

        Without crashes the part is cleared. ``now`` is in monotonic seconds.
        """
        if not crashes:
            self.crashes.pop(part, None)
            self.refusals.pop(part, None)
            return False
        if part not in self.crashes and len(self.crashes) >= MAX_PARTS:
            oldest = next(iter(self.crashes))
            self.crashes.pop(oldest)
            self.refusals.pop(oldest, None)
        self.crashes[part] = crashes
        refusal = self._get_refusal(part, now)
        if refusal is None:
            if self._count_crashes(part, 0) < self.settings.suspect_crashes:
                return False
            until = now + self.settings.suspect_s
            self.refusals[part] = Refusal(until, _get_lost_at(crashes[-1]))
            self._release_explained(part)
            return True
        if now >= refusal.until:
            if not self._count_crashes(part, refusal.counted_until):
                return False
            growth = REFUSAL_GROWTH**refusal.count
            refusal.until = now + self.settings.suspect_s * growth
            refusal.count += 1
            refusal.trial_until = 0
        # Crashes of requests that were under way as the refusal began.
        refusal.counted_until = _get_lost_at(crashes[-1])
        return False

    def has_crashes(self, part: int) -> bool:
        """Return whether workers crashed under a part that is not cleared."""
        return part in self.crashes

    def admits(
        self, parts: abc.Sequence[int], now: float, limit_s: float
    ) -> bool:
        """Return whether a request with these parts may go to a worker.

        Once its refusal ends, a part is tested by one request of its owner at
        a time, which takes ``limit_s`` at most.
        """
        if not self.refusals:
            return True
        refusals = {
            part: refusal
            for part in parts
            if (refusal := self._get_refusal(part, now)) is not None
        }
        if not all(
            now >= max(refusal.until, refusal.trial_until) and self.owns(part)
            for part, refusal in refusals.items()
        ):
            return False
        for refusal in refusals.values():
            refusal.trial_until = now + limit_s
        return True

    def _get_refusal(self, part: int, now: float) -> Refusal | None:
        refusal = self.refusals.get(part)
        if refusal is None or now < refusal.until + self.settings.suspect_s:
            return refusal
        # Nobody has sent a request to test the part.
        self.refusals.pop(part)
        return None

    def _release_explained(self, part: int) -> None:
        """Release parts whose crashes are a part of those under this one."""
        workers = self._get_workers(part)
        for other in tuple(self.refusals):
            if self._get_workers(other) < workers:
                self.refusals.pop(other)

    def _get_workers(self, part: int) -> set[str]:
        return {worker for worker, _, _ in self.crashes[part]}

    def _count_crashes(self, part: int, counted_until: float) -> int:
        """Count the later crashes under a part that no other part explains.

        A refused part with as many crashes explains those under it. A crash
        counts only if the prompt was sent after the one before: a power loss
        takes many workers at once, whatever they run.
        """
        explained = {
            worker
            for other in self.refusals
            if other != part
            and len(self.crashes[other]) >= len(self.crashes[part])
            for worker in self._get_workers(other)
        }
        count = 0
        for worker, sent_at, lost_at in self.crashes[part]:
            if sent_at >= counted_until and worker not in explained:
                count += 1
                counted_until = lost_at
        return count


def _get_lost_at(crash: Crash) -> float:
    return crash[2]


def _get_order(crash: Crash) -> tuple[float, str]:
    return _get_lost_at(crash), crash[0]
