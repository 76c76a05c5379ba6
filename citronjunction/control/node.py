"""A control process: it hears facts through its host's entry."""

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

RANK_S = 2.0  # time that a less preferred node waits, per rank
CONTENDERS = 3  # nodes that look at a lease; others would only read it
RELEASE_S = 0.5  # time to give leases back at a stop


class ControlNode:
    """Run the owners that this node has leases for."""

    def __init__(self, loop: runtime.Runtime, settings: conf.Settings) -> None:
        """Build all parts from the settings of the host's entry."""
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
        self.listed: list[store_models.Host] = []
        self.placer = placing.Placer(
            settings,
            self.peers,
            self.api,
            self.hosts,
            self.log,
        )

    def start(self) -> None:
        """Start the timers."""
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
        """Act on news."""
        match fact:
            case facts.ConfigurationState(document=document):
                self.configuration_cache.accept(configuration.decode(document))
            case facts.TrafficState(upstream=name, document=document):
                held = status.decode(document)
                if held is not None:
                    self.statuses[name] = held

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Ignore messages that are for entries."""

    def _tick(self) -> None:
        current = self.configuration_cache.current
        names = {status.get_owner(move.subject) for move in current.moves}
        for name in names | self.owners.keys():
            if owner.needs_work(name, current, self.statuses.get(name)):
                self._work(name, current)
            elif name in self.owners:
                self.owners.pop(name).lease_client.release()
        if current.revision and self._rank(placing.NAME) < CONTENDERS:
            self.placer.tick(current, self.listed)

    def _work(self, name: str, current: configuration.Configuration) -> None:
        held = self.owners.get(name)
        if held is None:
            held = owner.Owner(
                self.settings,
                self.peers,
                self.api,
                self.log,
                name,
            )
            self.owners[name] = held
        is_own = held.lease_client.lease.epoch > 0
        waited_s = self.loop.timers.now() - held.wanted_since
        rank = self._rank(name)
        may_contend = rank < CONTENDERS and waited_s >= rank * RANK_S
        if is_own or may_contend:
            held.workers.take_hosts(self.listed)
            held.tick(current)

    def _rank(self, name: str) -> int:
        own = self.settings.process.name
        live = self.peers.liveness.select_live(self.loop.timers.now())
        others = [held.name for held in live if held.name != own]
        mine = topology.compute_weight(own, name)
        return sum(
            topology.compute_weight(other, name) > mine for other in others
        )

    def _read_hosts(self) -> None:
        holders = [held.lease_client for held in self.owners.values()]
        holders.append(self.placer.lease_client)
        if any(held.is_held() for held in holders):
            self.hosts.read_list(self._take_hosts)

    def _take_hosts(self, listed: list[store_models.Host] | None) -> None:
        if listed is None:
            return
        held = self.peers.table.facts_by_key
        self.listed = [
            dataclasses.replace(host, is_leaving=True)
            if f'leaving/{host.name}' in held
            else host
            for host in listed
        ]

    def _on_stop(self) -> None:
        for held in self.owners.values():
            held.lease_client.release()
        self.placer.lease_client.release()
        self.loop.timers.call_later(RELEASE_S, self.loop.stop_loop)
