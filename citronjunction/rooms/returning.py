"""Times to return of refused callers, without I/O; monotonic seconds.

The returns of an entry's callers queue in virtual time for its part of the room
that arrivals leave, so that they don't come back as a crowd.
"""

import dataclasses
import math

MAX_SHARE_OF_TIME_LEFT = 1 / 3  # callers wait no longer
MIN_RETURN_SHARE = 0.1  # of the room; some is left to returns under any load
RATE_WINDOW_S = 1.0  # over which arrivals are averaged


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Describe a refused request.

    ``wait_s`` is the time until its worker has room, ``held_s`` that for which
    it would hold a slot, ``left_s`` the caller's time left. ``slots`` is this
    entry's part of the upstream's slots. ``draw`` is random, from 0 to 1.
    """

    wait_s: float
    held_s: float
    left_s: float
    slots: float
    draw: float


@dataclasses.dataclass(slots=True)
class ArrivalRate:
    """Average the arrivals over a window that decays exponentially."""

    arrivals: float = 0
    at: float = 0

    def record(self, now: float) -> None:
        """Record an arrival."""
        self.arrivals = self._decay(now) + 1
        self.at = now

    def measure(self, now: float) -> float:
        """Return the arrivals per second."""
        return self._decay(now) / RATE_WINDOW_S

    def _decay(self, now: float) -> float:
        passed_s = max(0, now - self.at)
        return self.arrivals * math.exp(-passed_s / RATE_WINDOW_S)


@dataclasses.dataclass(slots=True)
class Returns:
    """Queue the returns to one upstream; the last one ends at ``until``."""

    until: float = 0
    rate: ArrivalRate = dataclasses.field(default_factory=ArrivalRate)

    def schedule(self, refusal: Refusal, now: float) -> float:
        """Return the time after which a refused caller should return."""
        slots = max(1e-3, refusal.slots)
        demand = self.rate.measure(now) * refusal.held_s / slots
        share = max(MIN_RETURN_SHARE, 1 - demand)
        longest_s = refusal.left_s * MAX_SHARE_OF_TIME_LEFT
        queued_s = max(0, self.until - now)
        self.until = now + min(
            longest_s, queued_s + refusal.held_s / (slots * share)
        )
        delay_s = queued_s + refusal.wait_s * (0.5 + refusal.draw)
        if delay_s <= longest_s:
            return delay_s
        # Those that can't wait until there is room return spread evenly.
        return longest_s * (0.5 + refusal.draw / 2)
