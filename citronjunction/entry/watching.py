"""Watches of the store and polls of the host list and workers' load."""

from typing import Protocol

from citronjunction.configuration import models as configuration
from citronjunction.engines import models as engines
from citronjunction.entry import state
from citronjunction.membership import facts, topology
from citronjunction.peering import node
from citronjunction.store import hosts, object_api
from citronjunction.store import models as store_models
from citronjunction.releases import status
from citronjunction.transport import http_client, runtime
from citronjunction.upstreams import models as upstreams

LOAD_INTERVAL_S = 0.5  # older load reports are requested again
LOAD_TIMEOUT_S = 1.0
MAX_LOAD_REQUESTS = 8  # per interval
NON_WATCHER_POLL_FACTOR = 10  # entries that do not watch poll this much less


class ReclaimListener(Protocol):
    """Receiver of reclaim notices."""

    def on_notice(self, host: store_models.Host) -> None:
        """Handle the notice that a host is leaving."""


class Watcher:
    """Watch the store, and poll host list, reclaim notices and load.

    Only some entries watch the store. They publish what they read to peers.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        entry: state.EntryState,
        peers: node.PeerNode,
        reclaim_listener: ReclaimListener,
    ) -> None:
        self.loop = loop
        self.entry = entry
        self.peers = peers
        self.reclaim_listener = reclaim_listener
        platform_settings = entry.settings.platform
        self.api = object_api.ObjectApi(loop.client, platform_settings)
        self.hosts = hosts.HostClient(loop.client, platform_settings)
        self.is_watching = False
        self.next_worker_index = 0
        self.poll_count = 0

    def start(self) -> None:
        """Start watching and polling."""
        timers = self.loop.timers
        timers.call_later(0, self._read_hosts)
        timers.call_every(self.entry.settings.platform.poll_s, self._poll)
        timers.call_every(LOAD_INTERVAL_S, self._request_loads)
        timers.call_later(0, self._watch_if_selected)

    def _poll(self) -> None:
        self._watch_if_selected()
        self.poll_count += 1
        if self.is_watching or self.poll_count % NON_WATCHER_POLL_FACTOR == 0:
            self._read_hosts()

    def _read_hosts(self) -> None:
        self.hosts.read_list(self._apply_hosts)
        self.hosts.read_notices(self._apply_notices)

    def _watch_if_selected(self) -> None:
        if self.is_watching:
            return
        member = self.entry.settings.membership
        zone = self.entry.settings.process.zone
        nodes = [
            topology.Node(peer.name, peer.peer_address, peer.zone)
            for peer in self.peers.liveness.select_live(self.loop.timers.now())
        ]
        own = topology.Node(self.entry.name, '', zone)
        if topology.is_watcher(own, nodes, member.watchers):
            self.is_watching = True
            self.api.watch(configuration.KIND, self._publish_configuration)
            self.api.watch(status.KIND, self._publish_status)

    def _publish_configuration(self, stored: store_models.StoredObject) -> None:
        received = configuration.decode(stored.spec)
        if received is not None:
            self.peers.publish(
                facts.ConfigurationState(received.revision, stored.spec),
            )

    def _publish_status(self, stored: store_models.StoredObject) -> None:
        received = status.decode(stored.spec)
        if received is not None:
            self.peers.publish(
                facts.TrafficState(received.owner, received.step, stored.spec),
            )

    def _apply_hosts(self, listed: list[store_models.Host] | None) -> None:
        if listed is None:
            return
        known = self.entry.fleet.by_name
        names = set()
        self.peers.listed_nodes = {
            host.name: topology.Node(host.name, host.peer_address, host.zone)
            for host in listed
            if host.peer_address and not host.is_leaving
        }
        for host in listed:
            if not host.upstream:
                continue
            names.add(host.name)
            if host.name not in known and not host.is_leaving:
                self._add_worker(host)
        gone = known.keys() - names
        for name in gone:
            if not known[name].in_flight:
                self.entry.fleet.remove(name)
        self._apply_notices(listed)

    def _apply_notices(self, listed: list[store_models.Host] | None) -> None:
        for host in listed or ():
            if host.is_leaving:
                self.reclaim_listener.on_notice(host)

    def _add_worker(self, host: store_models.Host) -> None:
        worker = upstreams.Worker(
            host.name,
            host.address,
            host.upstream,
            host.zone,
            host.price,
        )
        key = f'leaving/{host.name}'
        worker.is_leaving = key in self.peers.table.facts_by_key
        self.entry.fleet.add(worker)
        self._request_load(worker)

    def _request_loads(self) -> None:
        now = self.loop.timers.now()
        workers = [
            worker
            for worker in self.entry.fleet.by_name.values()
            if now - worker.load.reported_at >= LOAD_INTERVAL_S
        ]
        count = min(MAX_LOAD_REQUESTS, len(workers))
        for offset in range(count):
            self._request_load(
                workers[(self.next_worker_index + offset) % len(workers)]
            )
        if workers:
            self.next_worker_index = (self.next_worker_index + count) % len(
                workers
            )
        for upstream in self.entry.fleet.by_upstream:
            self.entry.update_slot_limit(upstream)

    def _request_load(self, worker: upstreams.Worker) -> None:
        call = http_client.Call(
            worker.address,
            'GET',
            '/load',
            connect_s=LOAD_TIMEOUT_S,
            silence_s=LOAD_TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._record_load(worker, reply),
            lambda _: self._record_unreachable(worker),
        )
        self.loop.client.send(call, sink)

    def _record_load(
        self,
        worker: upstreams.Worker,
        reply: http_client.Reply,
    ) -> None:
        report = engines.parse_report(reply.body)
        if report is not None:
            self.entry.record_load_report(worker, report)

    def _record_unreachable(self, worker: upstreams.Worker) -> None:
        worker.record_unreachable(self.loop.timers.now())
