"""A control process, which receives facts from the entry of its host."""

import dataclasses

from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.control import owner, placing
from citronjunction.membership import facts, messages, topology
from citronjunction.observability import decisions
from citronjunction.peering import node
from citronjunction.store import hosts, object_api
from citronjunction.store import models as store_models
from citronjunction.releases import status
from citronjunction.transport import links, runtime

RANK_DELAY_S = 2.0  # delay of a less preferred node, per rank
MAX_CANDIDATES = 3  # nodes that try to acquire a lease, to bound reads of it
RELEASE_DELAY_S = 0.5  # lets the releases of leases arrive before the exit


class ControlNode:
    """Run the owners whose leases this node holds or tries to acquire."""

    def __init__(self, loop: runtime.Runtime, settings: conf.Settings) -> None:
        """Build all parts from the settings that the host's entry uses."""
        self.loop = loop
        self.settings = settings
        process = settings.process
        self.name = f'control-{process.name}'
        self.peers = node.PeerNode(loop, settings, self.name, self)
        self.peers.dial_targets = self.choose_targets
        self.api = object_api.ObjectApi(loop.client, settings.platform)
        self.hosts = hosts.HostClient(loop.client, settings.platform)
        self.log = decisions.DecisionLog(self.name, loop.timers.wall_time)
        self.configuration_cache = configuration.ConfigurationCache()
        self.statuses: dict[str, status.Status] = {}
        self.owners: dict[str, owner.Owner] = {}
        self.listed_hosts: list[store_models.Host] = []
        self.placer = placing.Placer(
            settings,
            self.peers,
            self.api,
            self.hosts,
            self.log,
        )

    def start(self) -> None:
        """Start the timers and the connection to the host's entry."""
        self.peers.start()
        timers = self.loop.timers
        timers.call_every(self.settings.control.tick_s, self._tick)
        timers.call_every(self.settings.platform.poll_s, self._read_hosts)
        self.loop.on_stop = self._on_stop

    def choose_targets(self) -> list[str]:
        """Return the address of the host's own entry."""
        process = self.settings.process
        return [f'{process.address}:{process.peer_port}']

    def on_fact(self, fact: facts.Fact) -> None:
        """Record a configuration or a status that the peers publish."""
        match fact:
            case facts.ConfigurationState(document=document):
                self.configuration_cache.accept(configuration.decode(document))
            case facts.TrafficState(upstream=name, document=document):
                decoded = status.decode(document)
                if decoded is not None:
                    self.statuses[name] = decoded

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Ignore the message; only entries answer requests."""

    def _tick(self) -> None:
        current = self.configuration_cache.current
        names = {status.get_owner(move.subject) for move in current.moves}
        for name in names | self.owners.keys():
            if owner.needs_work(name, current, self.statuses.get(name)):
                self._run_owner(name, current)
            elif name in self.owners:
                self.owners.pop(name).lease_client.release()
        if current.revision and self._rank(placing.NAME) < MAX_CANDIDATES:
            self.placer.tick(current, self.listed_hosts)

    def _run_owner(
        self, name: str, current: configuration.Configuration
    ) -> None:
        running = self.owners.get(name)
        if running is None:
            running = owner.Owner(
                self.settings,
                self.peers,
                self.api,
                self.log,
                name,
            )
            self.owners[name] = running
        was_holder = running.lease_client.lease.epoch > 0
        waited_s = self.loop.timers.now() - running.wanted_since
        rank = self._rank(name)
        may_acquire = rank < MAX_CANDIDATES and waited_s >= rank * RANK_DELAY_S
        if was_holder or may_acquire:
            running.workers.update_hosts(self.listed_hosts)
            running.tick(current)

    def _rank(self, name: str) -> int:
        own = self.settings.process.name
        live = self.peers.liveness.select_live(self.loop.timers.now())
        others = [entry.name for entry in live if entry.name != own]
        own_weight = topology.compute_weight(own, name)
        return sum(
            topology.compute_weight(other, name) > own_weight
            for other in others
        )

    def _read_hosts(self) -> None:
        clients = [running.lease_client for running in self.owners.values()]
        clients.append(self.placer.lease_client)
        if any(client.is_held() for client in clients):
            self.hosts.read_list(self._on_hosts)

    def _on_hosts(self, listed_hosts: list[store_models.Host] | None) -> None:
        if listed_hosts is None:
            return
        facts_by_key = self.peers.table.facts_by_key
        self.listed_hosts = [
            dataclasses.replace(host, is_leaving=True)
            if f'leaving/{host.name}' in facts_by_key
            else host
            for host in listed_hosts
        ]

    def _on_stop(self) -> None:
        for running in self.owners.values():
            running.lease_client.release()
        self.placer.lease_client.release()
        self.loop.timers.call_later(RELEASE_DELAY_S, self.loop.stop_loop)
