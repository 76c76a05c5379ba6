"""Numbers of workers by data centre and kind, decided without I/O.

Reclaimable workers carry the load, with enough of them that the rest can still
carry it when those of one data centre are reclaimed. On-demand workers replace
them while the platform refuses orders for reclaimable ones.
"""

import dataclasses
import math
from collections import abc

from citronjunction.duties import demand, models, spreading
from citronjunction.gateway import models as gateway

# Time without a new registration after which all running workers are known.
SETTLE_S = 1.0
WORKERS_PER_ON_DEMAND = 2.0  # assumed need per on-demand worker at the start
SHORTAGE_S = 2.0  # after REFUSAL_PAUSE_S, until capacity counts as restored
REFUSAL_PAUSE_S = 1.5  # before refused reclaimable workers are ordered again
BOOT_MARGIN_S = 2.0  # from a worker's start until its registration is seen
ASKED_PLACES = 1  # of a data centre, for reclaimable workers
ORDER_RETRY_S = 6.0  # an order is repeated if its workers have not started


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerCount:
    """Numbers of a data centre's workers of one kind."""

    ready: int = 0
    leaving: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamState:
    """State of an upstream, from which orders are decided.

    The keys of ``workers`` are a data centre and whether the workers are
    reclaimable. ``tokens_per_s`` are the prompt tokens that callers send at
    present, None until measured. ``other_workers`` are those of a version that
    does not take usual requests. While ``has_trial``, they are on trial, and the
    platform counts them in the orders. No orders are sent for
    ``closed_zones``, whose workers carry nothing. ``has_callers`` tells whether
    callers have sent requests, also while their rate is not measured yet.
    """

    scaling: gateway.Scaling
    workers: abc.Mapping[tuple[str, bool], WorkerCount]
    tokens_per_s: float | None
    other_workers: abc.Mapping[tuple[str, bool], WorkerCount] = (
        dataclasses.field(default_factory=dict)
    )
    has_trial: bool = False
    closed_zones: abc.Collection[str] = ()
    has_callers: bool = False

    def count_on_trial(self, key: tuple[str, bool]) -> int:
        """Return the workers on trial, which orders must not remove."""
        if not self.has_trial:
            return 0
        return self.other_workers.get(key, WorkerCount()).ready


@dataclasses.dataclass(slots=True)
class SentOrder:
    """Count of a sent order and when it was sent, in monotonic seconds.

    ``count`` leaves out the workers on trial.
    """

    count: int
    at: float


class Scaler:
    """Decide the orders for the workers of one upstream."""

    __slots__ = (
        'assumed_need',
        'closed_zones',
        'decides_since',
        'demand',
        'found_workers',
        'has_trial',
        'largest_total',
        'last_growth_at',
        'name',
        'on_trial',
        'refused_until',
        'reopened_at',
        'sent',
        'started_at',
        'trial_changed_at',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.sent: dict[tuple[str, bool], SentOrder] = {}
        self.refused_until: dict[str, float] = {}
        self.demand = demand.Demand()
        # When this entry, as the holder, decided first.
        self.decides_since: float | None = None
        self.assumed_need = 0
        # Workers in use when this entry became the holder.
        self.found_workers = 0
        self.largest_total = 0
        self.last_growth_at: float = 0
        self.started_at: float | None = None
        self.has_trial = False
        self.on_trial: dict[tuple[str, bool], int] = {}
        self.trial_changed_at: float = 0
        self.closed_zones: frozenset[str] = frozenset()
        self.reopened_at = -math.inf

    def decide(
        self,
        state: UpstreamState,
        now: float,
    ) -> list[models.WorkerOrder]:
        """Return the orders that are due."""
        if self.decides_since is None:
            self.decides_since = now
        self._record_demand(state, now)
        self._record_trial(state, now)
        self._record_closed(state, now)
        if not self._is_settled(state, now):
            return []
        return [
            models.WorkerOrder(
                self.name, *key, count + state.count_on_trial(key)
            )
            for key, count in self._plan(state, now).items()
            if self._is_due(state, key, count, now)
        ]

    def observe(self, state: UpstreamState, now: float) -> None:
        """Record the demand while another entry is the holder.

        Orders that this entry sent are forgotten, as others replace them. Only
        the latest estimate counts, as the holder replaces workers at the start.
        """
        if self.demand.since is None:
            self.assumed_need = 0
        self._record_demand(state, now)
        self._record_trial(state, now)
        self._record_closed(state, now)
        self.demand.update_need(self.assumed_need, now)
        self.sent.clear()
        self.decides_since = None

    def record_sent(self, order: models.WorkerOrder, now: float) -> None:
        """Record that an order was sent."""
        key = (order.zone, order.is_reclaimable)
        on_trial = self.on_trial.get(key, 0)
        self.sent[key] = SentOrder(order.count - on_trial, now)

    def record_result(
        self,
        order: models.WorkerOrder,
        result: models.CallResult,
        now: float,
    ) -> None:
        """Record the result of an order."""
        match result:
            case models.CallResult.unobtainable:
                self.refused_until[order.zone] = now + REFUSAL_PAUSE_S
                self.sent.pop((order.zone, order.is_reclaimable), None)
            case models.CallResult.unavailable:
                self.sent.pop((order.zone, order.is_reclaimable), None)

    def _record_trial(self, state: UpstreamState, now: float) -> None:
        on_trial = {
            key: state.count_on_trial(key) for key in state.other_workers
        }
        is_begun = state.has_trial and not self.has_trial
        if is_begun or on_trial != self.on_trial:
            self.trial_changed_at = now
        self.has_trial = state.has_trial
        self.on_trial = on_trial

    def _record_closed(self, state: UpstreamState, now: float) -> None:
        closed_zones = frozenset(state.closed_zones)
        if self.closed_zones - closed_zones:
            self.reopened_at = now
        self.closed_zones = closed_zones

    def _is_settled(self, state: UpstreamState, now: float) -> bool:
        """Return whether all workers that run at the start are known.

        Workers register over some seconds. An order is for an absolute
        number, so one that counts too few stops the others.
        """
        if self.started_at is None:
            self.started_at = now
        boot_s = state.scaling.boot_s + BOOT_MARGIN_S
        if self.demand.since is not None or now - self.started_at > boot_s:
            return True
        total = _count_ready(state)
        if total > self.largest_total:
            self.largest_total = total
            self.last_growth_at = now
        return self.largest_total > 0 and now - self.last_growth_at >= SETTLE_S

    def _record_demand(self, state: UpstreamState, now: float) -> None:
        if self.demand.since is None and not self.sent:
            self.assumed_need = max(
                self.assumed_need, _estimate_start_need(state)
            )
            if state.has_callers:
                self.found_workers = max(
                    self.found_workers, _count_ready(state)
                )
        if state.tokens_per_s is not None:
            self.demand.record(state.tokens_per_s, now)

    def _plan(
        self,
        state: UpstreamState,
        now: float,
    ) -> dict[tuple[str, bool], int]:
        scaling = state.scaling
        places = [
            zone for zone in scaling.prices if zone not in self.closed_zones
        ]
        zones = sorted(places, key=lambda zone: scaling.prices[zone])
        short_zones = self.select_short_zones(now)
        reclaimable = self._plan_reclaimable(state, zones, short_zones, now)
        retained = self._retain_on_demand(state, reclaimable, now)
        for zone, count in retained.items():
            reclaimable[zone] = min(reclaimable[zone], scaling.maximum - count)
        expected = {
            zone: self._count_expected(state, zone, count, now)
            for zone, count in reclaimable.items()
        }
        wanted = {(zone, True): count for zone, count in reclaimable.items()}
        # Reclaims come in waves: plan for the loss of as many data centres more
        # as are short of workers.
        at_risk = sorted(expected.values(), reverse=True)[: len(short_zones)]
        min_workers = self.demand.get_min_workers() + sum(at_risk)
        shortfall = max(0, min_workers - sum(expected.values()))
        for zone in zones:
            # Reclaimable workers that cannot be obtained take up no place.
            free = max(0, scaling.maximum - expected[zone])
            substitutes = max(
                min(shortfall, free),
                scaling.minimum - expected[zone],
            )
            wanted[(zone, False)] = max(substitutes, retained[zone])
            shortfall = max(0, shortfall - substitutes)
        return wanted

    def _plan_reclaimable(
        self,
        state: UpstreamState,
        zones: abc.Sequence[str],
        short_zones: abc.Collection[str],
        now: float,
    ) -> dict[str, int]:
        need = self.demand.update_need(self.assumed_need, now)
        shares = spreading.spread(need, zones, short_zones, state.scaling)
        started = {
            zone: _count(state, zone, is_reclaimable=True) for zone in zones
        }
        return spreading.retain_surplus(shares, started)

    def _retain_on_demand(
        self,
        state: UpstreamState,
        reclaimable: dict[str, int],
        now: float,
    ) -> dict[str, int]:
        """Return the on-demand workers to keep until others have started.

        A new holder keeps as many workers as it found in use until it knows the
        peak. Where others may not be had, those of the planned load stay.
        """
        min_workers = self.demand.get_min_workers()
        if not self.demand.is_known(now):
            min_workers = max(min_workers, self.found_workers)
        started = {
            zone: min(count, _count(state, zone, is_reclaimable=True))
            for zone, count in reclaimable.items()
        }
        running = {
            zone: min(
                state.scaling.maximum - count,
                self._count_on_demand(state, zone),
            )
            for zone, count in started.items()
        }
        lacking = max(0, min_workers - sum(started.values()))
        retained = spreading.take(lacking, running)
        if not self._may_be_short(state, now):
            return retained
        # A place stays free, so that reclaimable workers are still asked for.
        places = state.scaling.maximum - ASKED_PLACES
        spare = {
            zone: min(count, places - started[zone])
            for zone, count in running.items()
        }
        needed = max(0, self.demand.need - sum(started.values()))
        kept = spreading.take(needed, spare)
        return {
            zone: max(count, kept[zone]) for zone, count in retained.items()
        }

    def _may_be_short(self, state: UpstreamState, now: float) -> bool:
        """Return whether stopped workers may not be had again."""
        if now - self.decides_since < SHORTAGE_S:
            return state.has_callers
        has_reclaimable = any(
            _count(state, zone, is_reclaimable=True)
            for zone in state.scaling.prices
        )
        return bool(self.select_short_zones(now)) and not has_reclaimable

    def _count_on_demand(self, state: UpstreamState, zone: str) -> int:
        """Return a data centre's on-demand workers, running or ordered."""
        sent = self.sent.get((zone, False))
        if sent is not None:
            return sent.count
        return _count(state, zone, is_reclaimable=False)

    def select_short_zones(self, now: float) -> list[str]:
        """Return the data centres that lately refused reclaimable workers."""
        return [
            zone
            for zone, until in self.refused_until.items()
            if now < until + SHORTAGE_S and zone not in self.closed_zones
        ]

    def _count_expected(
        self,
        state: UpstreamState,
        zone: str,
        planned: int,
        now: float,
    ) -> int:
        """Return the reclaimable workers that run or are starting."""
        current = state.workers.get((zone, True), WorkerCount())
        if current.leaving or current.ready >= planned:
            return min(current.ready, planned)
        sent = self.sent.get((zone, True))
        if sent is None or sent.count != planned:
            # The order for them is sent with this decision.
            has_capacity = now >= self.refused_until.get(zone, 0) + SHORTAGE_S
            return planned if has_capacity else current.ready
        boot_s = state.scaling.boot_s + BOOT_MARGIN_S
        return current.ready if now - sent.at > boot_s else planned

    def _is_due(
        self,
        state: UpstreamState,
        key: tuple[str, bool],
        count: int,
        now: float,
    ) -> bool:
        zone, is_reclaimable = key
        if is_reclaimable and now < self.refused_until.get(zone, 0):
            return False
        current = _count(state, zone, is_reclaimable=is_reclaimable)
        sent = self.sent.get(key)
        if state.has_trial and not self._may_grow(current, count, now):
            return False
        if count < current and now - self.reopened_at < demand.SHRINK_DELAY_S:
            # What has just reopened may not carry its share yet.
            return False
        if sent is None:
            return current != count
        if sent.count != count:
            return True
        return current != count and now - sent.at > ORDER_RETRY_S

    def _may_grow(self, current: int, count: int, now: float) -> bool:
        """Return whether an order during a trial removes no worker.

        The workers on trial register over some seconds; an order that counts
        too few of them stops the others.
        """
        return count > current and now - self.trial_changed_at >= SETTLE_S


def _count_ready(state: UpstreamState) -> int:
    return sum(current.ready for current in state.workers.values())


def _estimate_start_need(state: UpstreamState) -> int:
    """Estimate the workers for a usual load from those that run."""
    on_demand = sum(
        current.ready
        for (_, is_reclaimable), current in state.workers.items()
        if not is_reclaimable
    )
    return max(
        _count_ready(state), math.ceil(on_demand * WORKERS_PER_ON_DEMAND)
    )


def _count(state: UpstreamState, zone: str, *, is_reclaimable: bool) -> int:
    return state.workers.get((zone, is_reclaimable), WorkerCount()).ready
