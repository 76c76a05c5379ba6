"""How many workers of which kind each data centre should have, without I/O.

Reclaimable workers carry the load, with enough of them that the rest bears
the loss of a data centre's. On-demand workers stand in while reclaimable
ones are not to be had.
"""

import dataclasses
import math
from collections import abc

from citronjunction.duties import models
from citronjunction.gateway import models as gateway

TOKENS_PER_WORKER = 14000.0  # prompt tokens a second at a comfortable load
MIN_TOKENS_PER_WORKER = 26000.0  # beyond this first tokens come late
START_FACTOR = 2.0  # reclaimable workers for each worker found at the start
PEAK_DECAY_S = 25.0  # time in which a past peak of demand is forgotten
UNOBTAINABLE_S = 1.5  # pause before reclaimable workers are ordered again
REPEAT_S = 6.0  # an order whose workers have not come is sent again


@dataclasses.dataclass(slots=True, frozen=True)
class Standing:
    """Count a data centre's workers of one kind."""

    ready: int = 0
    leaving: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """Describe an upstream: workers by data centre and kind, and demand.

    ``tokens_per_s`` is what callers ask for now; nothing if not yet known.
    """

    scaling: gateway.Scaling
    standing: abc.Mapping[tuple[str, bool], Standing]
    tokens_per_s: float | None


@dataclasses.dataclass(slots=True)
class Sent:
    """Remember an order and when it was sent, in monotonic seconds."""

    count: int
    at: float


class Scaler:
    """Decide the orders of one upstream."""

    __slots__ = ('dry_until', 'found', 'name', 'peak', 'peak_at', 'sent')

    def __init__(self, name: str) -> None:
        """Take the name of the upstream."""
        self.name = name
        self.sent: dict[tuple[str, bool], Sent] = {}
        self.dry_until: dict[str, float] = {}
        self.peak: float = 0
        self.peak_at: float = 0
        self.found = 0

    def decide(
        self,
        situation: Situation,
        now: float,
    ) -> list[models.WorkerOrder]:
        """Return the orders that are due."""
        if not self.found:
            self.found = sum(held.ready for held in situation.standing.values())
        wanted = self._plan(situation, now)
        orders = []
        for (zone, is_reclaimable), count in wanted.items():
            if self._is_due(situation, (zone, is_reclaimable), count, now):
                orders.append(
                    models.WorkerOrder(self.name, zone, is_reclaimable, count),
                )
        return orders

    def note_sent(self, order: models.WorkerOrder, now: float) -> None:
        """Remember an order that is on its way."""
        key = (order.zone, order.is_reclaimable)
        self.sent[key] = Sent(order.count, now)

    def note_result(
        self,
        order: models.WorkerOrder,
        result: models.CallResult,
        now: float,
    ) -> None:
        """Learn how the platform took an order."""
        match result:
            case models.CallResult.unobtainable:
                self.dry_until[order.zone] = now + UNOBTAINABLE_S
                self.sent.pop((order.zone, order.is_reclaimable), None)
            case models.CallResult.unavailable:
                self.sent.pop((order.zone, order.is_reclaimable), None)

    def _plan(
        self,
        situation: Situation,
        now: float,
    ) -> dict[tuple[str, bool], int]:
        scaling = situation.scaling
        zones = sorted(scaling.prices, key=lambda zone: scaling.prices[zone])
        needed, least = self._get_needs(situation, now)
        each = math.ceil(needed / max(1, len(zones)))
        each = min(max(each, scaling.minimum, 1), scaling.maximum)
        wanted = {(zone, True): each for zone in zones}
        reclaimable = sum(
            min(each, _count(situation, zone, is_reclaimable=True))
            for zone in zones
        )
        short = max(0, least - reclaimable)
        for zone in zones:
            held = _count(situation, zone, is_reclaimable=True)
            stands_in = min(short, scaling.maximum - each)
            if held < scaling.minimum:
                stands_in = max(stands_in, scaling.minimum - held)
            wanted[(zone, False)] = max(0, stands_in)
            short -= max(0, stands_in)
        return wanted

    def _get_needs(
        self,
        situation: Situation,
        now: float,
    ) -> tuple[int, int]:
        """Return how many workers are wanted and how many must stand."""
        demand = situation.tokens_per_s
        if demand is not None:
            decayed = self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_S)
            self.peak = max(demand, decayed)
            self.peak_at = now
        start = math.ceil(self.found * START_FACTOR)
        if not self.peak:
            return start, self.found
        return (
            max(math.ceil(self.peak / TOKENS_PER_WORKER), self.found),
            math.ceil(self.peak / MIN_TOKENS_PER_WORKER),
        )

    def _is_due(
        self,
        situation: Situation,
        key: tuple[str, bool],
        count: int,
        now: float,
    ) -> bool:
        zone, is_reclaimable = key
        if is_reclaimable and now < self.dry_until.get(zone, 0):
            return False
        held = _count(situation, zone, is_reclaimable=is_reclaimable)
        sent = self.sent.get(key)
        if sent is None:
            return held != count
        if sent.count != count:
            return True
        return held != count and now - sent.at > REPEAT_S


def _count(situation: Situation, zone: str, *, is_reclaimable: bool) -> int:
    return situation.standing.get((zone, is_reclaimable), Standing()).ready
