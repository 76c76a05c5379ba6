"""Load shedding of prompts that would start too late, without I/O.

A worker processes more urgent prompts first, so only prompts of at least the
same urgency delay a request. Under overload the least urgent requests wait
longest and are refused first.
"""

import dataclasses

QUEUE_SHARE = 0.8  # share of the target latency that the queue may use
MIN_RETRY_S = 0.4  # a chunk of the queued prompts is processed by then


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Describe a refused request; ``limit_s`` is the longest wait allowed."""

    queue_s: float
    limit_s: float
    retry_after_s: float


def check_queue(latency_target_s: float, queue_s: float) -> Shed | None:
    """Return why a request is refused, or None if its queue is short."""
    limit_s = latency_target_s * QUEUE_SHARE
    if not latency_target_s or queue_s <= limit_s:
        return None
    return Shed(queue_s, limit_s, max(MIN_RETRY_S, queue_s))
