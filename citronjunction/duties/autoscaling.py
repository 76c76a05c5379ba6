"""Autoscaling of upstreams, under the duties lease."""

from collections import abc

from citronjunction.duties import models, scaling
from citronjunction.gateway import models as gateway
from citronjunction.gateway import context
from citronjunction.observability import decisions

DEMAND_WINDOW_S = 3.0  # window over which the demand is averaged
DECISION_INTERVAL_S = 0.5


class Autoscaler:
    """Order workers to fit the demand that entries report."""

    __slots__ = (
        'cloud',
        'get_offered',
        'log',
        'samples',
        'scalers',
        'services',
        'stepped_at',
    )

    def __init__(
        self,
        services: context.Services,
        cloud: models.Cloud,
        get_offered: abc.Callable[[str], float],
        log: decisions.DecisionLog,
    ) -> None:
        """Build the autoscaler.

        ``get_offered`` returns the prompt tokens that callers have sent to an
        upstream so far, through all live entries.
        """
        self.services = services
        self.cloud = cloud
        self.get_offered = get_offered
        self.log = log
        self.scalers: dict[str, scaling.Scaler] = {}
        self.samples: dict[str, list[tuple[float, float]]] = {}
        self.stepped_at: float = 0

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Decide and send the orders that are due."""
        now = self.services.timers.now()
        for scaler, state in self._measure_due(now):
            for order in scaler.decide(state, now):
                self._send(scaler, order, get_fence, now)

    def observe(self) -> None:
        """Measure the demand while another entry sends the orders."""
        now = self.services.timers.now()
        for scaler, state in self._measure_due(now):
            scaler.observe(state, now)

    def _measure_due(
        self, now: float
    ) -> list[tuple[scaling.Scaler, scaling.UpstreamState]]:
        """Return the state of each scaled upstream if a decision is due."""
        if (
            now - self.stepped_at < DECISION_INTERVAL_S
            or not self.services.configuration
            or not self.services.fleet.evacuations.is_known
        ):
            return []
        self.stepped_at = now
        return [
            (
                self.scalers.setdefault(name, scaling.Scaler(name)),
                self._build_state(name, policy.scaling, now),
            )
            for name, policy in self.services.configuration.upstreams.items()
            if policy.scaling is not None
        ]

    def _build_state(
        self, name: str, limits: gateway.Scaling, now: float
    ) -> scaling.UpstreamState:
        return scaling.UpstreamState(
            limits,
            self._count_workers(name, is_stable=True),
            self._measure_demand(name, now),
            self._count_workers(name, is_stable=False),
            has_trial=self.services.rollouts.holds_workers(name, now),
            closed_zones=self.services.fleet.evacuations.by_zone,
            has_callers=self.get_offered(name) > 0,
        )

    def _count_workers(
        self, upstream: str, *, is_stable: bool
    ) -> dict[tuple[str, bool], scaling.WorkerCount]:
        """Count the workers that usual requests may, or may not, go to."""
        counted: dict[tuple[str, bool], scaling.WorkerCount] = {}
        allows = self.services.rollouts.allows
        for worker in self.services.fleet.select(upstream):
            if allows(worker, is_trial=False) is not is_stable:
                continue
            key = (worker.registration.zone, worker.registration.is_reclaimable)
            previous = counted.get(key, scaling.WorkerCount())
            is_gone = worker.is_draining or worker.is_absent
            counted[key] = scaling.WorkerCount(
                previous.ready + (not is_gone),
                previous.leaving + is_gone,
            )
        return counted

    def _measure_demand(self, upstream: str, now: float) -> float | None:
        samples = self.samples.setdefault(upstream, [])
        samples.append((now, self.get_offered(upstream)))
        while now - samples[0][0] > DEMAND_WINDOW_S:
            samples.pop(0)
        first_at, first = samples[0]
        last_at, last = samples[-1]
        if last_at - first_at < DEMAND_WINDOW_S / 2 or last <= first:
            return None
        return (last - first) / (last_at - first_at)

    def _send(
        self,
        scaler: scaling.Scaler,
        order: models.WorkerOrder,
        get_fence: abc.Callable[[], models.Fence | None],
        now: float,
    ) -> None:
        fence = get_fence()
        if fence is None:
            return
        scaler.record_sent(order, now)
        self.log.write(
            'order workers',
            order.upstream,
            zone=order.zone,
            is_reclaimable=order.is_reclaimable,
            count=order.count,
            peak_tokens_per_s=round(scaler.demand.peak),
            needed=scaler.demand.need,
            short_zones=scaler.select_short_zones(self.stepped_at),
            token=fence.token,
        )
        self.cloud.order_workers(
            order,
            fence,
            lambda result: self._on_result(scaler, order, result),
        )

    def _on_result(
        self,
        scaler: scaling.Scaler,
        order: models.WorkerOrder,
        result: models.CallResult,
    ) -> None:
        scaler.record_result(order, result, self.services.timers.now())
        if result is not models.CallResult.accepted:
            self.log.write(
                'order failed',
                order.upstream,
                zone=order.zone,
                is_reclaimable=order.is_reclaimable,
                result=result.value,
            )
