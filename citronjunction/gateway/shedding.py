"""Early refusal of prompts that would start too late, without I/O.

A worker reads more urgent prompts first, so the queue of a request is what
is at least as urgent as it; under overload the least urgent queue longest
and are refused first.
"""

import dataclasses

QUEUE_SHARE = 0.8  # of the target latency that may be spent on others' prompts
MIN_RETRY_S = 0.4  # a chunk of queued prompts is read by then


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Refuse a request; times are in seconds."""

    queue_s: float
    limit_s: float
    retry_after_s: float


def check_queue(latency_target_s: float, queue_s: float) -> Shed | None:
    """Tell whether a request would wait too long for others' prompts."""
    limit_s = latency_target_s * QUEUE_SHARE
    if not latency_target_s or queue_s <= limit_s:
        return None
    return Shed(queue_s, limit_s, max(MIN_RETRY_S, queue_s))
