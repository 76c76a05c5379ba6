"""Constraints that workers name in their answers, without I/O.

They bind all entries together. Times are monotonic seconds unless stated
otherwise.
"""

import dataclasses
from collections import abc

REFRESH_S = 30.0  # between reports of a constraint that stays the same
CLOCK_STEP_S = 0.001  # by which a change is later than the one before
MAX_WORKERS = 2000  # starts of workers that are remembered


@dataclasses.dataclass(slots=True, frozen=True)
class Turn:
    """An entry's turn among those that serve; position 0 is the first.

    ``known_share`` is the share of the entries whose requests it knows. A part
    of a worker's places is only used if ``spare`` of them are free, unless 0.
    ``is_divided_anew`` means that not all entries that serve have such a part.
    """

    position: int
    entries: int
    known_share: float
    spare: int = 0
    is_divided_anew: bool = False


# Returns an entry's turn at a worker, by the key of its start, at a time.
GetTurn = abc.Callable[[str, float], Turn]


def take_first_turn(start_key: str, now: float) -> Turn:
    """Return the turn of an entry without peers."""
    return Turn(0, 1, 1)


def forget_oldest(by_start: dict[abc.Hashable, object]) -> None:
    """Limit the number of starts that are remembered."""
    while len(by_start) > MAX_WORKERS:
        by_start.pop(next(iter(by_start)))


class Constraint:
    """A rate that a worker names for all entries; None while it names none.

    ``named_at`` is in seconds since the epoch, ``heard_at`` the monotonic time
    at which this entry learned of it.
    """

    __slots__ = ('heard_at', 'named_at', 'per_s')

    def __init__(self, now: float) -> None:
        self.per_s: float | None = None
        self.named_at: float = 0
        self.heard_at = now

    def is_news(
        self, per_s: float | None, sent_at: float, wall_now: float
    ) -> bool:
        """Return whether what an answer names is to be reported to all entries.

        A higher rate, or none, only counts in the answer to a request that was
        sent since the current one is known; an earlier answer may be late.
        ``wall_now`` is in seconds since the epoch.
        """
        known = self.per_s
        if per_s == known:
            is_due = wall_now - self.named_at > REFRESH_S
            return known is not None and is_due
        if known is None or (per_s is not None and per_s < known):
            return True
        return sent_at >= self.heard_at

    def get_change_time(self, wall_now: float) -> float:
        """Return a time for a change, later than that of the current rate."""
        return max(wall_now, self.named_at + CLOCK_STEP_S)

    def apply(self, per_s: float | None, named_at: float, now: float) -> bool:
        """Apply a reported rate; return whether it changed."""
        if named_at <= self.named_at:
            return False
        is_changed = per_s != self.per_s
        self.per_s = per_s
        self.named_at = named_at
        self.heard_at = now
        return is_changed
