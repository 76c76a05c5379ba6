"""The process of an entry: state, peers, watcher and HTTP server."""

from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.entry import (
    application,
    claim_driver,
    context,
    measuring,
    parsing,
    reclaim,
    state,
    watching,
)
from citronjunction.membership import facts, messages
from citronjunction.peering import evidence_rows, node
from citronjunction.releases import status
from citronjunction.transport import http_server, links, runtime

ASSESS_INTERVAL_S = 0.25  # a bad version gets only a few requests per interval


class EntryNode:
    """Build and run all parts of an entry.

    ``sequence`` counts the announcements of this entry's state, and
    ``announced_at`` is the time of the last one in monotonic seconds.
    ``peer_usage`` has the usage that each peer announced last.
    """

    def __init__(self, loop: runtime.Runtime, settings: conf.Settings) -> None:
        self.loop = loop
        self.settings = settings
        self.entry = state.EntryState(settings, loop.timers, loop.random)
        self.peers = node.PeerNode(loop, settings, self.entry.name, self)
        self.sequence = 0
        self.announced_at: float = 0
        self.counted_bytes = 0
        self.counted_rejected = 0
        self.peer_usage: dict[str, dict[str, float]] = {}
        self.watcher = watching.Watcher(loop, self.entry, self.peers, self)
        claim_factory = claim_driver.ClaimFactory(
            self.watcher.api,
            loop.timers,
            self.entry.name,
            self.entry.incarnation,
            self.is_alive,
        )
        self.services = context.Services(
            self.entry,
            loop.client,
            loop.timers,
            claim_factory,
            self.peers.publish,
            {},
            {},
        )
        parser = parsing.Parser(
            settings.admission, self.entry.configuration_cache
        )
        self.app = application.Application(self.services, parser, self.peers)
        self.http_server = http_server.HttpServer(
            loop.sockets,
            loop.timers,
            settings.http,
            self.app,
        )
        self.reclaim_handler = reclaim.ReclaimHandler(
            loop,
            self.services,
            self.app,
            self.peers,
            self.announce,
        )

    def start(self) -> None:
        """Open the listeners and start the timers."""
        process = self.settings.process
        process.port = self.http_server.listen(process.address, process.port)
        process.peer_port = self.peers.listen(
            process.address,
            process.peer_port,
        )
        self.announce()
        self.peers.start()
        self.watcher.start()
        heartbeat_s = self.settings.membership.heartbeat_s
        self.loop.timers.call_every(heartbeat_s, self._send_heartbeat)
        self.loop.timers.call_every(ASSESS_INTERVAL_S, self._assess_all)
        self.loop.on_stop = self._on_stop

    def announce(self) -> None:
        """Publish the state of this entry to peers."""
        self.sequence += 1
        self.announced_at = self.loop.timers.now()
        process = self.settings.process
        self.peers.publish(
            facts.EntryState(
                self.entry.name,
                self.entry.incarnation,
                self.sequence,
                f'{process.address}:{process.port}',
                f'{process.address}:{process.peer_port}',
                process.zone,
                process.region,
                self.loop.timers.wall_time(),
                self.entry.is_leaving,
                self.entry.configuration_cache.current.revision,
                len(self.services.flows),
                {key: round(used) for key, used in self.entry.usage.items()},
                self.entry.count_queued(),
            ),
        )

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Return whether an entry process may still be running requests."""
        if name == self.entry.name:
            return incarnation == self.entry.incarnation
        observed = self.peers.liveness.observed_entries.get(name)
        if observed is None:
            return name in self.peers.listed_nodes
        if observed.state.incarnation != incarnation:
            return False
        limit_s = self.settings.membership.lost_after_s
        limit_s = max(limit_s, 3 * self.peers.liveness.get_heartbeat_period_s())
        return self.loop.timers.now() - observed.seen_at <= limit_s

    def on_notice(self, host: object) -> None:
        """Handle the notice that a host is leaving."""
        self.reclaim_handler.on_notice(host)

    def on_fact(self, fact: facts.Fact) -> None:
        """Apply a fact from the peers."""
        match fact:
            case facts.ConfigurationState(document=document):
                received = configuration.decode(document)
                if self.entry.configuration_cache.accept(received):
                    self.announce()
            case facts.TrafficState(document=document):
                self._apply_status(status.decode(document))
            case facts.LeavingHost(host=host, leaves_at=leaves_at):
                left_s = max(0, leaves_at - self.loop.timers.wall_time())
                self.reclaim_handler.mark_worker_leaving(host, left_s)
            case facts.WithdrawnVersion(upstream=upstream, version=version):
                withdrawals = self.entry.withdrawn.setdefault(upstream, {})
                withdrawals[version] = fact
                self.entry.log.write(
                    'withdraw version',
                    f'{upstream} {version}',
                    reason=fact.reason,
                )
            case facts.SuspectRequest():
                self.entry.suspects.record_crash(
                    fact.fingerprint,
                    frozenset(fact.workers),
                    self.loop.timers.now(),
                )
            case facts.EntryState():
                self._charge_peer_usage(fact)

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Handle the messages of handovers."""
        match message:
            case messages.Handover():
                self.reclaim_handler.accept_handover(link, message)
            case messages.HandoverTaken():
                self.reclaim_handler.on_handover_taken(message)

    def _on_stop(self) -> None:
        self.reclaim_handler.leave(self.settings.membership.drain_s)

    def _record_link_metrics(self) -> None:
        sent = self.peers.count_sent_bytes()
        self.entry.metrics.peer_bytes.add(max(0, sent - self.counted_bytes))
        self.counted_bytes = sent
        rejected = self.peers.rejected
        self.entry.metrics.rejected_links.add(rejected - self.counted_rejected)
        self.counted_rejected = rejected

    def _send_heartbeat(self) -> None:
        self._record_link_metrics()
        now = self.loop.timers.now()
        live = self.peers.liveness.select_live(now)
        self.entry.live_entries = max(1, len(live))
        if (
            now - self.announced_at
            >= self.peers.liveness.get_heartbeat_period_s()
        ):
            self.announce()

    def _apply_status(self, received: status.Status | None) -> None:
        if received is not None:
            self.entry.apply_status(received)

    def _charge_peer_usage(self, fact: facts.EntryState) -> None:
        if fact.name == self.entry.name:
            return
        previous = self.peer_usage.get(fact.name, {})
        for key, used in fact.usage.items():
            organisation, _, upstream = key.partition('|')
            increase = used - previous.get(key, 0)
            if (
                increase > 0
                and upstream in self.entry.configuration_cache.current.upstreams
            ):
                controller = self.entry.get_controller(upstream)
                controller.queue.charge(organisation, increase)
        self.peer_usage[fact.name] = fact.usage

    def _assess_all(self) -> None:
        for upstream, trial in self.entry.trials.items():
            if trial.version:
                self._assess(upstream, trial)

    def _assess(self, upstream: str, trial: state.Trial) -> None:
        measure = measuring.measure_change(trial)
        if (
            abs(measure - trial.reported_measure)
            >= measuring.MIN_REPORTED_CHANGE
        ):
            trial.reported_measure = measure
            self.peers.publish(
                measuring.build_fact(self.entry, upstream, trial),
            )
        rows = evidence_rows.gather_rows(
            self.peers.table,
            upstream,
            trial.version,
            trial.release,
        )
        assessment = trial.detector.assess(rows)
        withdrawal = self.entry.withdrawn.get(upstream, {}).get(trial.version)
        is_known = (
            withdrawal is not None and withdrawal.release >= trial.release
        )
        if assessment.is_bad and not is_known:
            self.peers.publish(
                facts.WithdrawnVersion(
                    upstream,
                    trial.version,
                    trial.release,
                    assessment.reason[:256],
                ),
            )
