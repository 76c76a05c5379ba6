"""Room of all upstreams as one entry sees it."""

import dataclasses

from citronjunction.rooms import answers, models, returning

# Part of a route's mean answer time that an attempt needs at least.
SHORT_ANSWER_SHARE = 0.35


@dataclasses.dataclass(slots=True)
class UpstreamRoom:
    """Store what is learned about an upstream's workers."""

    times: answers.AnswerTimes = dataclasses.field(
        default_factory=answers.AnswerTimes
    )
    returns: returning.Returns = dataclasses.field(
        default_factory=returning.Returns
    )
    logged_at: float = float('-inf')


class Rooms:
    """Find the room of an upstream, creating it if needed."""

    __slots__ = ('by_upstream',)

    def __init__(self) -> None:
        self.by_upstream: dict[str, UpstreamRoom] = {}

    def get(self, upstream: str) -> UpstreamRoom:
        """Return the room of an upstream that the configuration names."""
        known = self.by_upstream.get(upstream)
        if known is None:
            known = UpstreamRoom()
            self.by_upstream[upstream] = known
        return known


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
