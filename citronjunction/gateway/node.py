"""A gateway process: wires data plane, directory, peers and duties."""

from citronjunction.budgeting import caller_log, ledger
from citronjunction.budgeting import models as budgets
from citronjunction.conf import models as conf
from citronjunction.duties import (
    autoscaling,
    checkpoint,
    clock,
    lease_client,
    reporting,
    rollout_reporting,
    usage,
)
from citronjunction.gateway import (
    adapters,
    announcing,
    application,
    assembling,
    counting,
    forwarding,
    peer_exchange,
    quota_logging,
    relocation,
    stopping,
    watching,
    worker_events,
)
from citronjunction.membership import facts, messages
from citronjunction.observability import decisions
from citronjunction.peering import node
from citronjunction.transport import http_server, links, runtime

EXPIRE_INTERVAL_S = 0.5  # between removals of silent peers
# By then an entry of a large fleet knows whether it is a standby, which does
# not read the lease.
DUTIES_DELAY_S = 1.1


class GatewayNode:
    """Run a gateway in a process.

    ``incarnation`` distinguishes the starts of an entry.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        settings: conf.Settings,
        adapter: adapters.Adapter,
    ) -> None:
        self.loop = loop
        self.settings = settings
        timers = loop.timers
        self.name = settings.process.name
        self.incarnation = int(timers.wall_time() * 1000)
        self.eras = adapter.eras
        self.clock = clock.SteadyClock(timers)
        self.log = decisions.DecisionLog(self.name, self.clock.now)
        self.ledger = usage.UsageLedger(
            settings.duties.usage_window_s,
            self.name,
            self.incarnation,
        )
        self.events = worker_events.WorkerEvents(self)
        self.services = assembling.build_services(self, adapter.codec)
        self.quota_log = quota_logging.QuotaLog(self.log, self.services.quotas)
        self.checkpoint = checkpoint.Checkpoint(
            adapter.store,
            self.eras,
            timers,
            self.clock,
            self.ledger,
            self.services.quotas,
            self.log,
        )
        self.peers = node.PeerNode(loop, settings, self.name, self)
        self.peers.skipped.on_skipped = self._count_skipped
        self.watcher = watching.Watcher(
            self.services,
            adapter.store,
            self.eras,
            adapter.decoder,
            self._on_configuration,
        )
        self.services.quotas.peers.count_live = self._count_live
        self.relocations = relocation.Relocations(self.services, adapter.mover)
        self.peer_exchange = peer_exchange.PeerExchange(
            self.services,
            self.watcher,
            self.peers,
            self.ledger,
            self.clock,
            self.incarnation,
        )
        self.sharing = self.peer_exchange.sharing
        self.rollout_reporter = rollout_reporting.RolloutReporter(
            self.services,
            adapter.store,
            self.watcher,
        )
        self.lease_client = lease_client.LeaseClient(
            settings.duties,
            self.name,
            adapter.store,
            self.eras,
            timers,
            self.log,
            self.sharing.is_peer_holder,
            self._publish_lease,
        )
        self.reporter = reporting.UsageReporter(
            settings.duties,
            adapter.store,
            adapter.cloud,
            self.ledger,
            self.clock,
            self.log,
            self._has_silent_peer,
            self._publish_stored_usage,
        )
        self.eras.subscribe(self._begin_era)
        self.autoscaler = autoscaling.Autoscaler(
            self.services,
            adapter.cloud,
            self.sharing.get_offered,
            self.log,
        )
        self.callers = ledger.Ledger(settings.http)
        self.callers.on_ended = caller_log.CallerLog(
            self.log, timers.now, self._count_ended
        ).report
        self.app = application.Application(
            self.services, self.peer_exchange.sources
        )
        self.http_server = http_server.HttpServer(
            loop.sockets,
            timers,
            settings.http,
            self.app,
            self.callers,
            'callers',
        )
        self.stopper = stopping.Stopper(self)
        self.announcer = announcing.Announcer(self)

    def start(self) -> None:
        """Open all listeners and start all timers."""
        self.loop.sockets.listen(
            *split_address(self.settings.listeners.front),
            self.http_server.accept,
        )
        self.peers.listen(*split_address(self.settings.listeners.control))
        self.announcer.announce()
        self.peers.start()
        self.watcher.start()
        self.checkpoint.start()
        self.peer_exchange.start()
        timers = self.loop.timers
        timers.call_every(
            self.settings.membership.heartbeat_s,
            self.announcer.send_heartbeat,
        )
        timers.call_later(
            DUTIES_DELAY_S,
            lambda: timers.call_every(
                self.settings.duties.tick_s, self._do_duties
            ),
        )
        timers.call_every(EXPIRE_INTERVAL_S, self.sharing.expire)
        timers.call_every(quota_logging.INTERVAL_S, self._log_quotas)
        timers.call_later(counting.LOAD_DELAY_S, self.services.counts.load)
        self.loop.on_stop = self.stopper.stop
        self.log.write('start', self.name, zone=self.settings.process.zone)

    def is_ready(self) -> bool:
        """Return whether callers should use this entry."""
        return self.watcher.is_synced and not self.stopper.is_stopping

    def list_addresses(self) -> list[str]:
        """Return the addresses of entries that serve callers, shuffled."""
        return self.announcer.list_addresses()

    def on_fact(self, fact: facts.Fact) -> None:
        """Process a fact that a peer published."""
        match fact:
            case facts.EntryState():
                self._apply_entry(fact)
            case facts.LoadState(name=name, lease_version=version):
                if version and name != self.name:
                    self._observe_lease(version)
                self.peer_exchange.on_fact(fact)
            case facts.LeavingWorker():
                self.events.apply_leaving_worker(fact)
            case facts.StoredUsage():
                self.reporter.record_stored(fact.window, fact.counts)
            case _:
                self.peer_exchange.on_fact(fact)

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Process a peer's message about stored objects."""
        self.peer_exchange.on_message(link, message)

    def _observe_lease(self, version: str) -> None:
        """Record a version of the lease, which a peer has just written."""
        if self.lease_client.observe_version(version):
            self.watcher.outage.record_answer(self.loop.timers.now())

    def _apply_entry(self, fact: facts.EntryState) -> None:
        if fact.name == self.name:
            return
        self.eras.observe(fact.store_era)
        if fact.is_leaving:
            self.services.quotas.peers.mark_leaving(fact.name)
        if self.clock.compare_with_peer(fact.name, fact.sent_at):
            self.log.write('clock corrected', self.name)
            self.services.quotas.doubt_past(self.loop.timers.now())
        self.peer_exchange.on_peer_version(fact.revision)

    def _count_ended(self, ended: budgets.Ended) -> None:
        self.services.counts.record(counting.CallerEnded(ended.limit.value))

    def _on_configuration(self) -> None:
        limits = self.services.configuration.limits
        http = self.settings.http
        http.max_head = limits.head_bytes + forwarding.MARK_BYTES
        http.max_body = limits.body_bytes
        http.idle_s = limits.idle_s + 1
        self.peer_exchange.pace_keeper.apply(self.services.configuration)
        self.announcer.announce()

    def _begin_era(self) -> None:
        self.reporter.begin_era()
        self.announcer.announce()

    def _publish_stored_usage(
        self, window: int, counts: reporting.Counts
    ) -> None:
        now = self.loop.timers.wall_time()
        self.peers.publish(facts.StoredUsage(window, dict(counts), now))

    def _publish_lease(self) -> None:
        if not self.stopper.is_stopping:
            self.sharing.publish_lease(self.lease_client.get_version())

    def _count_skipped(self, kind: str) -> None:
        self.services.counts.record(counting.KindSkipped(kind))

    def _count_live(self) -> int:
        live = self.peers.liveness.select_live(self.loop.timers.now())
        serving = max(
            self.settings.membership.serving, len(self.peers.roles.serving)
        )
        return min(len(list(live)), serving)

    def _log_quotas(self) -> None:
        self.quota_log.log_high_use(self.loop.timers.now())

    def _has_silent_peer(self) -> bool:
        return self.services.quotas.peers.has_silent(self.loop.timers.now())

    def _do_duties(self) -> None:
        if self.stopper.is_stopping:
            self.sharing.lease_version = ''
            return
        is_held = self.lease_client.get_fence() is not None
        if is_held or not self.peers.roles.stands_by:
            self.lease_client.tick()
        self._publish_lease()
        if self.lease_client.get_fence() is None:
            self.checkpoint.invalidate()
            if not self.peers.roles.stands_by:
                self.autoscaler.observe()
            return
        self.checkpoint.step(may_write=not self.reporter.doubtful)
        if self.checkpoint.is_certified:
            self.reporter.trust_store()
        if self.checkpoint.is_read:
            self.reporter.step(self.lease_client.get_fence)
        self.autoscaler.step(self.lease_client.get_fence)
        self.rollout_reporter.step(self.lease_client.get_fence)


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the IP address and the port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
