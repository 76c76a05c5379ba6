"""Early refusal of prompts that would make all others late, without I/O."""

import dataclasses

from citronjunction.gateway import models

# Part of the shortest target latency that may be spent on waiting for other
# prompts, by urgency: the most urgent requests are shed last.
QUEUE_SHARES = (0.9, 0.8, 0.6)
MIN_RETRY_S = 0.4  # a chunk of queued prompts is read by then


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Refuse a request; times are in seconds."""

    queue_s: float
    limit_s: float
    retry_after_s: float


class Shedder:
    """Bound the time that prompts wait for each other."""

    __slots__ = ('aims',)

    def __init__(self) -> None:
        """Start without a configuration."""
        self.aims: dict[str, float] = {}

    def apply(self, configuration: models.Configuration) -> None:
        """Take the shortest target latency of each upstream's prompts."""
        self.aims = {}
        for route in configuration.routes:
            if not route.is_prompt or not route.aim_s:
                continue
            for target in route.targets:
                known = self.aims.get(target.upstream, route.aim_s)
                self.aims[target.upstream] = min(known, route.aim_s)

    def judge(self, upstream: str, rank: int, queue_s: float) -> Shed | None:
        """Tell whether a request must be refused for those that wait."""
        aim_s = self.aims.get(upstream)
        if aim_s is None:
            return None
        share = QUEUE_SHARES[max(0, min(rank, len(QUEUE_SHARES) - 1))]
        limit_s = aim_s * share
        if queue_s <= limit_s:
            return None
        return Shed(queue_s, limit_s, max(MIN_RETRY_S, queue_s))
