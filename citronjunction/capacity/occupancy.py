"""Slot time that each prompt token takes, from reported runs."""

import math

DECAY_S = 25.0  # time constant of the decay of a past peak
MIN_DEMAND_SHARE = 0.5  # of the usual demand, below which nothing is learned


class SlotTime:
    """Learn how long a slot is taken for each prompt token of demand.

    Runs are counted by Little's law: their number is the rate at which they
    come times the time that they hold a slot. While requests are refused,
    fewer run than the demand would take, so the highest figure counts, and
    decays.
    """

    __slots__ = ('peak', 'peak_at')

    def __init__(self) -> None:
        self.peak: float = 0  # slot-seconds a token
        self.peak_at: float = 0

    def record(
        self,
        running: float,
        tokens_per_s: float,
        usual_per_s: float,
        now: float,
    ) -> None:
        """Record the runs at all workers under a demand.

        While it is far below the usual one, as callers have gone or can't
        reach any entry, the runs are still those of the demand before.
        """
        if tokens_per_s <= 0 or tokens_per_s < usual_per_s * MIN_DEMAND_SHARE:
            return
        self.peak = max(running / tokens_per_s, self.measure(now))
        self.peak_at = now

    def measure(self, now: float) -> float:
        """Return the slot time of a prompt token, 0 until measured."""
        return self.peak * math.exp((self.peak_at - now) / DECAY_S)
