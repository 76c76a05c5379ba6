"""Placement: orders and releases of hosts, under one lease."""

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
PLAN_INTERVAL_S = 5.0
START_TIMEOUT_S = 180.0  # until an order without a listed host is dropped
DEFAULT_SLOTS = 16  # per worker, until one has reported its slots


@dataclasses.dataclass(slots=True)
class PendingHost:
    """A host that is on order and not in the host list yet.

    ``expires_at`` is a monotonic time in seconds.
    """

    host: models.AllocatedHost
    expires_at: float


class UpstreamHosts:
    """Hosts of one upstream, in use and on order."""

    __slots__ = ('known_names', 'ordered', 'planner', 'workers')

    def __init__(self, upstream_workers: workers.Workers) -> None:
        self.workers = upstream_workers
        self.planner = planner.Planner()
        self.ordered: list[PendingHost] = []
        self.known_names: set[str] = set()

    def update_hosts(
        self, listed_hosts: list[store_models.Host], now: float
    ) -> None:
        """Update the hosts from the host list.

        Each new host fulfils the oldest order. Orders that are not fulfilled
        in time are dropped.
        """
        self.workers.update_hosts(listed_hosts)
        names = set(self.workers.states)
        for _ in names - self.known_names:
            if self.ordered:
                self.ordered.pop(0)
        self.known_names = names
        self.ordered = [host for host in self.ordered if host.expires_at > now]

    def list_hosts(self) -> list[models.AllocatedHost]:
        """Return the hosts in use and on order."""
        in_use = [
            models.AllocatedHost(
                worker.host.name,
                worker.host.zone,
                models.HostKind(worker.host.kind),
                worker.host.price,
                worker.host.is_leaving,
                worker.report.running if worker.report else 0,
            )
            for worker in self.workers.states.values()
        ]
        return in_use + [ordered.host for ordered in self.ordered]

    def measure_demand(
        self,
        spec: configuration.upstream_models.UpstreamSpec,
        queued: int,
    ) -> models.Demand:
        """Return the demand: requests that run on workers or are queued.

        ``queued`` counts the requests that are queued in entries.
        """
        reports = [
            worker.report
            for worker in self.workers.states.values()
            if worker.report is not None
        ]
        requests = queued + sum(
            report.running + report.queued for report in reports
        )
        slots = max((report.slots for report in reports), default=DEFAULT_SLOTS)
        return models.Demand(spec.name, requests, slots, spec.workers)


class Placer:
    """Plan the hosts of all upstreams as the holder of the lease."""

    def __init__(
        self,
        settings: conf.Settings,
        peers: node.PeerNode,
        api: object_api.ObjectApi,
        cloud: hosts.HostClient,
        log: decisions.DecisionLog,
    ) -> None:
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
        self.upstreams: dict[str, UpstreamHosts] = {}
        self.offers: list[models.Offer] = []
        self.planned_at: float = 0

    def tick(
        self,
        current: configuration.Configuration,
        listed_hosts: list[store_models.Host],
    ) -> None:
        """Renew or acquire the lease, and plan at intervals."""
        self.lease_client.tick()
        now = self.timers.now()
        if (
            not self.lease_client.is_held()
            or now - self.planned_at < PLAN_INTERVAL_S
        ):
            return
        self.planned_at = now
        self.cloud.read_offers(self._on_offers)
        for spec in current.upstreams.values():
            upstream = self._get_upstream(spec.name)
            upstream.update_hosts(listed_hosts, now)
            upstream.workers.request_reports()
            self._plan(spec, upstream, now)

    def _get_upstream(self, name: str) -> UpstreamHosts:
        if name not in self.upstreams:
            upstream_workers = workers.Workers(self.client, name)
            self.upstreams[name] = UpstreamHosts(upstream_workers)
        return self.upstreams[name]

    def _on_offers(self, offered: list[store_models.Offer] | None) -> None:
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
        upstream: UpstreamHosts,
        now: float,
    ) -> None:
        if not self.offers:
            return
        live = self.peers.liveness.select_live(now)
        queued = sum(state.queued.get(spec.name, 0) for state in live)
        demand = upstream.measure_demand(spec, queued)
        planned = upstream.planner.plan(
            demand,
            upstream.list_hosts(),
            self.offers,
            now,
        )
        for decision in planned:
            match decision:
                case models.StartHost():
                    self._order_host(upstream, decision)
                case models.ReleaseHost(name=name, reason=reason):
                    if name:
                        self._log('release', spec.name, name, reason)
                        self.cloud.release(name)

    def _order_host(
        self, upstream: UpstreamHosts, decision: models.StartHost
    ) -> None:
        place = f'{decision.kind.value} in {decision.zone}'
        self._log('start', decision.upstream, place, decision.reason)
        pending = models.AllocatedHost(
            '',
            decision.zone,
            decision.kind,
            decision.price,
        )
        expires_at = self.timers.now() + START_TIMEOUT_S
        ordered = PendingHost(pending, expires_at)
        upstream.ordered.append(ordered)
        order = {
            'upstream': decision.upstream,
            'zone': decision.zone,
            'kind': decision.kind.value,
        }
        self.cloud.order(
            order,
            lambda accepted: self._on_answer(upstream, ordered, accepted),
        )

    def _on_answer(
        self,
        upstream: UpstreamHosts,
        ordered: PendingHost,
        accepted: bool,
    ) -> None:
        host = ordered.host
        if accepted:
            upstream.planner.record_start(host.zone, host.kind)
            return
        upstream.planner.record_refusal(host.zone, host.kind, self.timers.now())
        if ordered in upstream.ordered:
            upstream.ordered.remove(ordered)

    def _log(self, kind: str, upstream: str, what: str, reason: str) -> None:
        self.log.write(
            f'{kind} host',
            upstream,
            host=what,
            reason=reason,
            epoch=self.lease_client.lease.epoch,
        )
