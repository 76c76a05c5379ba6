"""Room of all upstreams as one entry sees it."""

import dataclasses
from collections import abc

from citronjunction.rooms import answers, models, reports, returning

# Part of a route's mean answer time that an attempt needs at least.
SHORT_ANSWER_SHARE = 0.35
# Share of freed slots that more urgent requests may take in a prediction.
MAX_URGENT_SHARE = 0.8


def _build_rates() -> list[returning.ArrivalRate]:
    return [returning.ArrivalRate() for _ in range(reports.URGENCY_GROUPS)]


@dataclasses.dataclass(slots=True)
class UpstreamRoom:
    """Store what is learned about an upstream's workers.

    ``sent`` are the rates of prompts that this entry sends, by urgency group.
    """

    times: answers.AnswerTimes = dataclasses.field(
        default_factory=answers.AnswerTimes
    )
    returns: returning.Returns = dataclasses.field(
        default_factory=returning.Returns
    )
    sent: list[returning.ArrivalRate] = dataclasses.field(
        default_factory=_build_rates
    )
    logged_at: float = float('-inf')

    def measure_urgent_share(
        self, urgency: int, slots: float, now: float
    ) -> float:
        """Return the share of freed slots that more urgent requests take.

        ``slots`` is this entry's part of the upstream's slots.
        """
        per_s = sum(rate.measure(now) for rate in self.sent[:urgency])
        share = per_s * self.times.held.value_s / max(1e-3, slots)
        return min(MAX_URGENT_SHARE, share)


class Rooms:
    """Find the room of an upstream, creating it if needed."""

    __slots__ = ('by_upstream', 'count_entries')

    def __init__(self) -> None:
        self.by_upstream: dict[str, UpstreamRoom] = {}
        # Returns the number of entries that use the workers.
        self.count_entries: abc.Callable[[], int] = _count_alone

    def get(self, upstream: str) -> UpstreamRoom:
        """Return the room of an upstream that the configuration names."""
        known = self.by_upstream.get(upstream)
        if known is None:
            known = UpstreamRoom()
            self.by_upstream[upstream] = known
        return known


def _count_alone() -> int:
    return 1


def estimate_slot_wait_s(occupancy: models.Occupancy, held_s: float) -> float:
    """Return how long a further request waits for a slot.

    ``held_s`` is the mean time for which a request holds one.
    """
    return occupancy.excess * held_s / max(1, occupancy.slots)


def can_end(
    room: UpstreamRoom, route: str, wait_s: float, left_s: float
) -> bool:
    """Return whether an attempt may end in the time left after a wait."""
    rest_s = room.times.get_rest_s(route)
    if not rest_s:
        return True
    return wait_s + rest_s * SHORT_ANSWER_SHARE <= left_s
