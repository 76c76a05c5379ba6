"""Adaptive concurrency limit based on first-token latency.

The limit grows additively while latency meets the target and shrinks
multiplicatively when it doesn't (AIMD).
"""

MIN_FACTOR = 0.25
MAX_FACTOR = 1.0
FACTOR_INCREASE = 0.02  # added after a window that meets the target
FACTOR_DECREASE = 0.9  # multiplier after a window that misses the target
WINDOW_REQUESTS = 20
ON_TIME_FRACTION = 0.9  # of a window's requests must meet the target


class Limiter:
    """Limit running requests to ``slots`` times an adaptive factor."""

    __slots__ = ('factor', 'late_count', 'sample_count', 'slots', 'target_s')

    def __init__(self, target_s: float) -> None:
        """Set the target of the first-token latency in seconds."""
        self.target_s = target_s
        self.slots = 1.0
        self.factor = MAX_FACTOR
        self.sample_count = 0
        self.late_count = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run."""
        return max(1, int(self.slots * self.factor))

    def record(self, first_token_s: float) -> None:
        """Record a first-token latency and adapt the factor per window."""
        self.sample_count += 1
        if first_token_s > self.target_s:
            self.late_count += 1
        if self.sample_count < WINDOW_REQUESTS:
            return
        if self.late_count > self.sample_count * (1 - ON_TIME_FRACTION):
            self.factor = max(MIN_FACTOR, self.factor * FACTOR_DECREASE)
        else:
            self.factor = min(MAX_FACTOR, self.factor + FACTOR_INCREASE)
        self.sample_count = 0
        self.late_count = 0
