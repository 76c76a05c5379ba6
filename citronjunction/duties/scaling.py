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

TOKENS_PER_WORKER = 18000.0  # prompt tokens a second at a comfortable load
MIN_TOKENS_PER_WORKER = 34000.0  # beyond this first tokens come late
OBSERVED_S = 12.0  # demand seen for as long replaces the assumption at start
SETTLED_S = 1.0  # without a new worker until those that stand are all known
START_FACTOR = 2.0  # workers for each on-demand worker found at the start
PEAK_DECAY_S = 25.0  # time in which a past peak of demand is forgotten
DRY_S = 2.0  # after the last refusal until the market counts as open again
UNOBTAINABLE_S = 1.5  # pause before reclaimable workers are ordered again
SHRINK_S = 8.0  # a smaller need must last this long; a boot takes four
BOOT_MARGIN_S = 2.0  # from a worker's start until its entry is seen
REPEAT_S = 6.0  # an order whose workers have not come is sent again


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerCount:
    """Count a data centre's workers of one kind."""

    ready: int = 0
    leaving: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamState:
    """Describe an upstream: workers by data centre and kind, and demand.

    ``tokens_per_s`` is what callers ask for now; nothing if not yet known.
    """

    scaling: gateway.Scaling
    standing: abc.Mapping[tuple[str, bool], WorkerCount]
    tokens_per_s: float | None


@dataclasses.dataclass(slots=True)
class Sent:
    """Remember an order and when it was sent, in monotonic seconds."""

    count: int
    at: float


class Scaler:
    """Decide the orders of one upstream."""

    __slots__ = (
        'assumed',
        'demand_since',
        'dry_until',
        'grew_at',
        'most',
        'name',
        'need',
        'need_at',
        'peak',
        'peak_at',
        'sent',
        'started_at',
    )

    def __init__(self, name: str) -> None:
        """Take the name of the upstream."""
        self.name = name
        self.sent: dict[tuple[str, bool], Sent] = {}
        self.dry_until: dict[str, float] = {}
        self.peak: float = 0
        self.peak_at: float = 0
        self.demand_since: float | None = None
        self.assumed = 0
        self.most = 0
        self.grew_at: float = 0
        self.started_at: float | None = None
        self.need = 0
        self.need_at: float = 0

    def decide(
        self,
        situation: UpstreamState,
        now: float,
    ) -> list[models.WorkerOrder]:
        """Return the orders that are due."""
        self._note_demand(situation, now)
        if not self._is_settled(situation, now):
            return []
        return [
            models.WorkerOrder(self.name, zone, is_reclaimable, count)
            for (zone, is_reclaimable), count in self._plan(
                situation, now
            ).items()
            if self._is_due(situation, (zone, is_reclaimable), count, now)
        ]

    def record_sent(self, order: models.WorkerOrder, now: float) -> None:
        """Remember an order that is on its way."""
        key = (order.zone, order.is_reclaimable)
        self.sent[key] = Sent(order.count, now)

    def record_result(
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

    def _is_settled(self, situation: UpstreamState, now: float) -> bool:
        """Tell whether all workers that stood at the start are known.

        Workers register over some seconds. An order that counts too few ends
        the others before they are seen.
        """
        if self.started_at is None:
            self.started_at = now
        boot_s = situation.scaling.boot_s + BOOT_MARGIN_S
        if self.demand_since is not None or now - self.started_at > boot_s:
            return True
        total = sum(held.ready for held in situation.standing.values())
        if total > self.most:
            self.most = total
            self.grew_at = now
        return self.most > 0 and now - self.grew_at >= SETTLED_S

    def _note_demand(self, situation: UpstreamState, now: float) -> None:
        if self.demand_since is None and not self.sent:
            self.assumed = max(self.assumed, _assume_need(situation))
        demand = situation.tokens_per_s
        if demand is None:
            return
        if self.demand_since is None:
            self.demand_since = now
        decayed = self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_S)
        self.peak = max(demand, decayed)
        self.peak_at = now

    def _plan(
        self,
        situation: UpstreamState,
        now: float,
    ) -> dict[tuple[str, bool], int]:
        scaling = situation.scaling
        zones = sorted(scaling.prices, key=lambda zone: scaling.prices[zone])
        reclaimable = _spread(self._get_need(now), zones, scaling)
        kept = self._keep_until_start(situation, reclaimable)
        for zone, count in kept.items():
            reclaimable[zone] = min(reclaimable[zone], scaling.maximum - count)
        standing = {
            zone: self._count_coming(situation, zone, count, now)
            for zone, count in reclaimable.items()
        }
        wanted = {(zone, True): count for zone, count in reclaimable.items()}
        least = self._get_least()
        if self._is_dry(now):
            # Reclaims come in waves: bear the loss of a data centre more.
            least += max(standing.values(), default=0)
        short = max(0, least - sum(standing.values()))
        for zone in zones:
            # Places of reclaimable workers that are not to be had are free.
            free = max(0, scaling.maximum - standing[zone])
            stands_in = max(
                min(short, free),
                scaling.minimum - standing[zone],
            )
            wanted[(zone, False)] = max(stands_in, kept[zone])
            short = max(0, short - stands_in)
        return wanted

    def _get_least(self) -> int:
        return math.ceil(self.peak / MIN_TOKENS_PER_WORKER)

    def _keep_until_start(
        self,
        situation: UpstreamState,
        reclaimable: dict[str, int],
    ) -> dict[str, int]:
        """Return the on-demand workers that go once others have started."""
        started = {
            zone: min(count, _count(situation, zone, is_reclaimable=True))
            for zone, count in reclaimable.items()
        }
        short = max(0, self._get_least() - sum(started.values()))
        kept = {}
        for zone, count in started.items():
            places = situation.scaling.maximum - count
            kept[zone] = min(short, places, self._get_ordered(situation, zone))
            short -= kept[zone]
        return kept

    def _get_ordered(self, situation: UpstreamState, zone: str) -> int:
        """Return the on-demand workers a data centre has or will have."""
        sent = self.sent.get((zone, False))
        if sent is not None:
            return sent.count
        return _count(situation, zone, is_reclaimable=False)

    def _is_dry(self, now: float) -> bool:
        return any(now < until + DRY_S for until in self.dry_until.values())

    def _count_coming(
        self,
        situation: UpstreamState,
        zone: str,
        planned: int,
        now: float,
    ) -> int:
        """Return the reclaimable workers that stand or are starting."""
        held = situation.standing.get((zone, True), WorkerCount())
        if held.leaving or held.ready >= planned:
            return min(held.ready, planned)
        sent = self.sent.get((zone, True))
        if sent is None or sent.count != planned:
            # The order goes out with this decision.
            is_open = now >= self.dry_until.get(zone, 0) + DRY_S
            return planned if is_open else held.ready
        boot_s = situation.scaling.boot_s + BOOT_MARGIN_S
        return held.ready if now - sent.at > boot_s else planned

    def _get_need(self, now: float) -> int:
        need = math.ceil(self.peak / TOKENS_PER_WORKER)
        since = self.demand_since
        if since is None or now - since < OBSERVED_S:
            need = max(need, self.assumed)
        if need >= self.need or now - self.need_at > SHRINK_S:
            self.need = need
            self.need_at = now
        return self.need

    def _is_due(
        self,
        situation: UpstreamState,
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


def _assume_need(situation: UpstreamState) -> int:
    """Return the workers that bear a usual load, by those that stand."""
    on_demand = 0
    total = 0
    for (_, is_reclaimable), held in situation.standing.items():
        total += held.ready
        if not is_reclaimable:
            on_demand += held.ready
    return max(total, math.ceil(on_demand * START_FACTOR))


def _spread(
    need: int,
    zones: list[str],
    scaling: gateway.Scaling,
) -> dict[str, int]:
    """Divide workers evenly, the rest to the cheapest data centres."""
    each, rest = divmod(need, max(1, len(zones)))
    return {
        zone: min(
            max(each + (order < rest), scaling.minimum),
            scaling.maximum,
        )
        for order, zone in enumerate(zones)
    }


def _count(situation: UpstreamState, zone: str, *, is_reclaimable: bool) -> int:
    return situation.standing.get((zone, is_reclaimable), WorkerCount()).ready
