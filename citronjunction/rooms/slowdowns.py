"""Slowdown of a worker at this moment; times are monotonic seconds.

Workers share hosts with others, which slow them down for parts of a second.
"""

import dataclasses

# A stated slowdown counts in full at first and for nothing after this time.
FADE_S = 0.6
MAX_FACTOR = 10.0


@dataclasses.dataclass(slots=True)
class Slowdown:
    """Store the slowdown that a worker stated last."""

    factor: float = 1.0
    stated_at: float = float('-inf')

    def record(self, factor: float, stated_at: float) -> None:
        """Record a stated factor unless a later one is known.

        Work never counts as faster than usual.
        """
        if stated_at >= self.stated_at:
            self.factor = min(MAX_FACTOR, max(1.0, factor))
            self.stated_at = stated_at

    def measure(self, now: float) -> float:
        """Return the factor that is assumed at a time."""
        if self.factor <= 1:
            return 1.0
        left = 1 - max(0, now - self.stated_at) / FADE_S
        return 1 + (self.factor - 1) * max(0, left)

    def is_slow(self, now: float) -> bool:
        """Return whether a slowdown is assumed at a time."""
        return self.measure(now) > 1
