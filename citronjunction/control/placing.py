"""Placement at work: hosts are ordered and given back under one lease."""

import dataclasses

from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.control import lease_client, workers
from citronjunction.observability import decisions
from citronjunction.peering import node
from citronjunction.placement import models, planner
from citronjunction.store import hosts, object_api
from citronjunction.store import models as store_models

NAME = 'placement'
PLAN_S = 5.0  # interval of plans
PENDING_S = 180.0  # time until an ordered host is given up
DEFAULT_SLOTS = 16


@dataclasses.dataclass(slots=True)
class Ordered:
    """Hold a host that was ordered and is not listed yet."""

    host: models.AllocatedHost
    until: float


class Upstream:
    """Hold what placement knows of one upstream."""

    __slots__ = ('known', 'ordered', 'planner', 'workers')

    def __init__(self, seen: workers.Workers) -> None:
        """Take the workers to ask for their load."""
        self.workers = seen
        self.planner = planner.Planner()
        self.ordered: list[Ordered] = []
        self.known: set[str] = set()

    def take_hosts(self, listed: list[store_models.Host], now: float) -> None:
        """Take the host list; new hosts fill the oldest orders."""
        self.workers.take_hosts(listed)
        names = set(self.workers.seen)
        for _ in names - self.known:
            if self.ordered:
                self.ordered.pop(0)
        self.known = names
        self.ordered = [held for held in self.ordered if held.until > now]

    def list_hosts(self) -> list[models.AllocatedHost]:
        """Return hosts in use and on order."""
        held = [
            models.AllocatedHost(
                seen.host.name,
                seen.host.zone,
                models.HostKind(seen.host.kind),
                seen.host.price,
                seen.host.is_leaving,
                seen.report.running if seen.report else 0,
            )
            for seen in self.workers.seen.values()
        ]
        return held + [ordered.host for ordered in self.ordered]

    def measure_demand(
        self,
        spec: configuration.upstream_models.UpstreamSpec,
        queued: int,
    ) -> models.Demand:
        """Return what the upstream needs: what runs and what waits."""
        reports = [
            seen.report
            for seen in self.workers.seen.values()
            if seen.report is not None
        ]
        requests = queued + sum(held.running + held.queued for held in reports)
        slots = max((held.slots for held in reports), default=DEFAULT_SLOTS)
        return models.Demand(spec.name, requests, slots, spec.workers)


class Placer:
    """Plan the hosts of all upstreams while the lease is held."""

    def __init__(
        self,
        settings: conf.Settings,
        peers: node.PeerNode,
        api: object_api.ObjectApi,
        cloud: hosts.HostClient,
        log: decisions.DecisionLog,
    ) -> None:
        """Take the store, the cloud and the decision log."""
        self.peers = peers
        self.timers = peers.loop.timers
        self.client = peers.loop.client
        self.cloud = cloud
        self.log = log
        self.lease_client = lease_client.build_lease_client(
            api,
            settings.control,
            peers.own_name,
            NAME,
        )
        self.upstreams: dict[str, Upstream] = {}
        self.offers: list[models.Offer] = []
        self.planned_at: float = 0

    def tick(
        self,
        current: configuration.Configuration,
        listed: list[store_models.Host],
    ) -> None:
        """Keep the lease, and plan when it is time."""
        self.lease_client.tick()
        now = self.timers.now()
        if not self.lease_client.is_held() or now - self.planned_at < PLAN_S:
            return
        self.planned_at = now
        self.cloud.read_offers(self._take_offers)
        for spec in current.upstreams.values():
            held = self._get_upstream(spec.name)
            held.take_hosts(listed, now)
            held.workers.ask_all()
            self._plan(spec, held, now)

    def _get_upstream(self, name: str) -> Upstream:
        if name not in self.upstreams:
            seen = workers.Workers(self.client, name)
            self.upstreams[name] = Upstream(seen)
        return self.upstreams[name]

    def _take_offers(self, offered: list[store_models.Offer] | None) -> None:
        if offered is not None:
            self.offers = [
                models.Offer(
                    offer.zone,
                    models.HostKind(offer.kind),
                    offer.price,
                )
                for offer in offered
            ]

    def _plan(
        self,
        spec: configuration.upstream_models.UpstreamSpec,
        held: Upstream,
        now: float,
    ) -> None:
        if not self.offers:
            return
        live = self.peers.liveness.select_live(now)
        queued = sum(state.queued.get(spec.name, 0) for state in live)
        demand = held.measure_demand(spec, queued)
        planned = held.planner.plan(
            demand,
            held.list_hosts(),
            self.offers,
            now,
        )
        for decision in planned:
            match decision:
                case models.StartHost():
                    self._order(held, decision)
                case models.ReleaseHost(name=name, reason=reason):
                    if name:
                        self._log('release', spec.name, name, reason)
                        self.cloud.release(name)

    def _order(self, held: Upstream, decision: models.StartHost) -> None:
        place = f'{decision.kind.value} in {decision.zone}'
        self._log('start', decision.upstream, place, decision.reason)
        pending = models.AllocatedHost(
            '',
            decision.zone,
            decision.kind,
            decision.price,
        )
        until = self.timers.now() + PENDING_S
        ordered = Ordered(pending, until)
        held.ordered.append(ordered)
        wish = {
            'upstream': decision.upstream,
            'zone': decision.zone,
            'kind': decision.kind.value,
        }
        self.cloud.order(
            wish,
            lambda accepted: self._note_answer(held, ordered, accepted),
        )

    def _note_answer(
        self,
        held: Upstream,
        ordered: Ordered,
        accepted: bool,
    ) -> None:
        host = ordered.host
        if accepted:
            held.planner.record_start(host.zone, host.kind)
            return
        held.planner.record_refusal(host.zone, host.kind, self.timers.now())
        if ordered in held.ordered:
            held.ordered.remove(ordered)

    def _log(self, kind: str, upstream: str, what: str, reason: str) -> None:
        self.log.write(
            f'{kind} host',
            upstream,
            host=what,
            reason=reason,
            epoch=self.lease_client.lease.epoch,
        )
