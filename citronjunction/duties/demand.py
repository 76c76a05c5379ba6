"""Demand for the workers of one upstream, as an entry measures it.

Times are monotonic seconds.
"""

import math

TARGET_WORKER_TOKENS_PER_S = 18000.0  # prompt tokens, at the planned load
MAX_WORKER_TOKENS_PER_S = 34000.0  # prompt tokens; above, first tokens are late
MIN_OBSERVATION_S = 12.0  # before the measured demand replaces the estimate
PEAK_DECAY_S = 25.0  # time constant of the decay of a past peak of demand
SHRINK_DELAY_S = 8.0  # a smaller need must last this long, as a boot takes 4 s


class Demand:
    """Follow the callers' peak and the number of workers that it needs.

    ``peak`` is in prompt tokens a second. ``since`` is when the demand was
    measured first, or None.
    """

    __slots__ = ('need', 'need_at', 'peak', 'peak_at', 'since')

    def __init__(self) -> None:
        self.peak: float = 0
        self.peak_at: float = 0
        self.since: float | None = None
        self.need = 0
        self.need_at: float = 0

    def record(self, tokens_per_s: float, now: float) -> None:
        """Record the demand at a time."""
        if self.since is None:
            self.since = now
        decayed = self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_S)
        self.peak = max(tokens_per_s, decayed)
        self.peak_at = now

    def is_known(self, now: float) -> bool:
        """Return whether the demand was measured for long enough."""
        return self.since is not None and now - self.since >= MIN_OBSERVATION_S

    def get_min_workers(self) -> int:
        """Return the least number of workers that answers in time."""
        return math.ceil(self.peak / MAX_WORKER_TOKENS_PER_S)

    def update_need(self, assumed_need: int, now: float) -> int:
        """Return the number of workers for the planned load.

        ``assumed_need`` counts until the demand is known.
        """
        need = math.ceil(self.peak / TARGET_WORKER_TOKENS_PER_S)
        if not self.is_known(now):
            need = max(need, assumed_need)
        if need >= self.need or now - self.need_at > SHRINK_DELAY_S:
            self.need = need
            self.need_at = now
        return self.need
