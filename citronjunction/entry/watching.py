"""What an entry learns from the platform and from workers."""

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

LOAD_S = 0.5  # interval of load reports asked for, and their age
LOAD_TIMEOUT_S = 1.0
MAX_LOAD_CALLS = 8  # workers asked per interval
SLOW_FACTOR = 10  # slower reads of nodes that do not watch


class LeavingListener(Protocol):
    """Take reclaim notices."""

    def on_notice(self, host: store_models.Host) -> None:
        """Learn that a host is leaving."""


class Watcher:
    """Follow the store, the host list, notices and load."""

    def __init__(
        self,
        loop: runtime.Runtime,
        entry: state.EntryState,
        peers: node.PeerNode,
        on_leaving: LeavingListener,
    ) -> None:
        """Take the state to update and the listener of notices."""
        self.loop = loop
        self.entry = entry
        self.peers = peers
        self.on_leaving = on_leaving
        platform_settings = entry.settings.platform
        self.api = object_api.ObjectApi(loop.client, platform_settings)
        self.hosts = hosts.HostClient(loop.client, platform_settings)
        self.is_watching = False
        self.next_worker = 0
        self.reads = 0

    def start(self) -> None:
        """Start to follow."""
        timers = self.loop.timers
        timers.call_later(0, self._read_hosts)
        timers.call_every(self.entry.settings.platform.poll_s, self._poll)
        timers.call_every(LOAD_S, self._ask_loads)
        timers.call_later(0, self._watch_if_chosen)

    def _poll(self) -> None:
        self._watch_if_chosen()
        self.reads += 1
        if self.is_watching or self.reads % SLOW_FACTOR == 0:
            self._read_hosts()

    def _read_hosts(self) -> None:
        self.hosts.read_list(self._take_hosts)
        self.hosts.read_notices(self._take_notices)

    def _watch_if_chosen(self) -> None:
        if self.is_watching:
            return
        member = self.entry.settings.membership
        zone = self.entry.settings.process.zone
        nodes = [
            topology.Node(held.name, held.peer_address, held.zone)
            for held in self.peers.liveness.select_live(self.loop.timers.now())
        ]
        own = topology.Node(self.entry.name, '', zone)
        if topology.is_watcher(own, nodes, member.watchers):
            self.is_watching = True
            self.api.watch(configuration.KIND, self._take_configuration)
            self.api.watch(status.KIND, self._take_status)

    def _take_configuration(self, held: store_models.StoredObject) -> None:
        offered = configuration.decode(held.spec)
        if offered is not None:
            self.peers.publish(
                facts.ConfigurationState(offered.revision, held.spec),
            )

    def _take_status(self, held: store_models.StoredObject) -> None:
        offered = status.decode(held.spec)
        if offered is not None:
            self.peers.publish(
                facts.TrafficState(offered.owner, offered.step, held.spec),
            )

    def _take_hosts(self, listed: list[store_models.Host] | None) -> None:
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
        self._take_notices(listed)

    def _take_notices(self, listed: list[store_models.Host] | None) -> None:
        for host in listed or ():
            if host.is_leaving:
                self.on_leaving.on_notice(host)

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
        self._ask_load(worker)

    def _ask_loads(self) -> None:
        now = self.loop.timers.now()
        workers = [
            worker
            for worker in self.entry.fleet.by_name.values()
            if now - worker.load.reported_at >= LOAD_S
        ]
        count = min(MAX_LOAD_CALLS, len(workers))
        for step in range(count):
            self._ask_load(workers[(self.next_worker + step) % len(workers)])
        if workers:
            self.next_worker = (self.next_worker + count) % len(workers)
        for upstream in self.entry.fleet.by_upstream:
            self.entry.update_slot_limit(upstream)

    def _ask_load(self, worker: upstreams.Worker) -> None:
        call = http_client.Call(
            worker.address,
            'GET',
            '/load',
            connect_s=LOAD_TIMEOUT_S,
            silence_s=LOAD_TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._take_load(worker, reply),
            lambda _: self._miss_load(worker),
        )
        self.loop.client.send(call, sink)

    def _take_load(
        self,
        worker: upstreams.Worker,
        reply: http_client.Reply,
    ) -> None:
        report = engines.parse_report(reply.body)
        if report is not None:
            self.entry.record_load_report(worker, report)

    def _miss_load(self, worker: upstreams.Worker) -> None:
        worker.record_unreachable(self.loop.timers.now())
