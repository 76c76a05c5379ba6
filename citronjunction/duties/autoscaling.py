"""Autoscaling of upstreams, under the duties lease."""

import dataclasses
from collections import abc

from citronjunction.capacity import need
from citronjunction.duties import models, scaling
from citronjunction.gateway import models as gateway
from citronjunction.gateway import context
from citronjunction.observability import decisions

DEMAND_WINDOW_S = 3.0  # window over which the demand is averaged
DECISION_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Record the tokens offered so far and the runs at workers at a time."""

    at: float
    offered: float
    running: int


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
        self.samples: dict[str, list[Sample]] = {}
        self.stepped_at: float = 0

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Decide and send the orders that are due."""
        now = self.services.timers.now()
        if (
            now - self.stepped_at < DECISION_INTERVAL_S
            or not self.services.configuration
        ):
            return
        self.stepped_at = now
        for policy in self.services.configuration.upstreams.values():
            if policy.scaling is not None:
                self._step_upstream(policy, policy.scaling, get_fence, now)

    def _step_upstream(
        self,
        policy: gateway.UpstreamPolicy,
        limits: gateway.Scaling,
        get_fence: abc.Callable[[], models.Fence | None],
        now: float,
    ) -> None:
        name = policy.name
        scaler = self.scalers.setdefault(name, scaling.Scaler(name))
        tokens_per_s = self._measure_demand(name, now)
        samples = self.samples[name]
        state = scaling.UpstreamState(
            limits,
            self._count_workers(name, is_stable=True),
            tokens_per_s,
            self._count_workers(name, is_stable=False),
            has_trial=self.services.rollouts.holds_workers(name, now),
            has_callers=samples[-1].offered > 0,
            running=sum(sample.running for sample in samples) / len(samples),
            room=self._measure_room(policy),
            profile=self.services.observations.describe(name),
        )
        for order in scaler.decide(state, now):
            self._send(scaler, order, get_fence, now)

    def _measure_room(self, policy: gateway.UpstreamPolicy) -> need.Room:
        """Return the room of a typical worker of an upstream."""
        slots = sorted(
            worker.registration.slots
            for worker in self.services.fleet.select(policy.name)
        )
        engine = policy.engine
        return need.Room(
            slots[len(slots) // 2] if slots else 1,
            engine.cache_tokens if engine else 0,
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
        workers = self.services.fleet.select(upstream)
        # Requests above a worker's slots wait there.
        running = sum(
            min(worker.total_running, worker.registration.slots)
            for worker in workers
        )
        samples.append(Sample(now, self.get_offered(upstream), running))
        while now - samples[0].at > DEMAND_WINDOW_S:
            samples.pop(0)
        first = samples[0]
        last = samples[-1]
        elapsed_s = last.at - first.at
        if elapsed_s < DEMAND_WINDOW_S / 2 or last.offered <= first.offered:
            return None
        return (last.offered - first.offered) / elapsed_s

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
            peak_tokens_per_s=round(scaler.peak),
            needed=dataclasses.asdict(scaler.needed),
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
