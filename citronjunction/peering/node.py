"""Peer node: the links of a process, its facts and their timers."""

from collections import abc
from typing import Protocol

from absl import logging

from citronjunction.conf import models as conf
from citronjunction.membership import (
    dialects,
    facts,
    gossip,
    liveness,
    messages,
    table,
    topology,
)
from citronjunction.peering import kinship, roles, skipping
from citronjunction.transport import links, runtime

FLUSH_S = 0.25  # interval at which facts that aren't urgent are sent
DIAL_S = 1.0  # interval at which missing links are dialled
SYNC_NODES = 40  # number of entries above which anti-entropy slows down
STANDBY_FLUSHES = 10  # flushes between load reports to standbys
STANDBY_LOADS_S = STANDBY_FLUSHES * FLUSH_S  # time between these reports
MAX_INBOUND = 512  # accepted links; when a fleet starts, all entries dial seeds
RECOVERY_DIALS = 3  # known peers dialled at once by a node without links
MAX_MISSED_HEARTBEATS = 3  # until a silent link is closed
REDIAL_S = 5.0  # delay until an unreachable peer is dialled again


class Listener(Protocol):
    """Receiver of facts and messages from peers."""

    def on_fact(self, fact: facts.Fact) -> None:
        """Handle a fact that changed the table, also an own one."""

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Handle a message that carries neither facts nor their keys."""


class PeerNode:
    """Keep links to peers, publish own facts and receive theirs."""

    def __init__(
        self,
        loop: runtime.Runtime,
        settings: conf.Settings,
        own_name: str,
        listener: Listener,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.own_name = own_name
        self.listener = listener
        self.table = table.FactTable()
        self.gossip = gossip.GossipProtocol(self.table, loop.random)
        self.liveness = liveness.LivenessTracker(settings.membership)
        self.factory = links.LinkFactory(
            loop.sockets,
            self,
            settings.membership,
            own_name,
        )
        self.open_links: dict[str, links.Link] = {}
        self.outbound: dict[str, links.Link] = {}
        self.inbound: set[links.Link] = set()
        self.listed_nodes: dict[str, topology.Node] = {}
        self.unreachable: dict[str, float] = {}
        self.rejected = 0
        self.skipped = skipping.SkippedKinds()
        self.closed_bytes = 0
        self.is_flush_scheduled = False
        self.dial_targets: abc.Callable[[], list[str]] = self.choose_targets
        self.synchronised_at = self.loop.timers.now()
        self.roles = roles.Roles(
            settings.membership,
            own_name,
            self.liveness,
        )
        self.flushes = 0

    def start(self) -> None:
        """Start the timers."""
        timers = self.loop.timers
        timers.call_every(FLUSH_S, self._flush)
        timers.call_every(DIAL_S, self._maintain)
        timers.call_later(0, self._maintain)

    def listen(self, address: str, port: int) -> int:
        """Accept links on a TCP address; return the port."""
        return self.loop.sockets.listen(address, port, self._accept)

    def publish(self, fact: facts.Fact) -> None:
        """Publish a fact of this node to its peers and the own listener."""
        if isinstance(fact, facts.EntryState):
            fact = dialects.mark_state(fact, messages.OWN_NUMBER)
            size = len(messages.encode(messages.Facts((fact,))))
            self.liveness.heartbeat_bytes = float(
                size * max(1, len(self.open_links))
            )
        changed = self.gossip.publish(fact, self.loop.timers.wall_time())
        if changed is not None:
            self._handle_new_fact(changed)

    def publish_now(self, fact: facts.Fact) -> None:
        """Publish and send a fact that would be outdated by the next flush."""
        self.publish(fact)
        self._send(self.gossip.flush(is_standby_turn=False))

    def count_sent_bytes(self) -> int:
        """Return the bytes sent on all links since the start."""
        live = {*self.open_links.values(), *self.outbound.values()}
        return self.closed_bytes + sum(link.sent_bytes for link in live)

    def is_read_by(self, state: facts.EntryState, kind: str) -> bool:
        """Return whether an entry is known to read messages or facts of a kind."""
        link = self.open_links.get(state.name)
        if state.name == self.own_name or (link and link.dialect.reads(kind)):
            return True
        is_kin = dialects.get_number(state) == messages.OWN_NUMBER
        return is_kin and messages.OWN_DIALECT.reads(kind)

    def choose_targets(self) -> list[str]:
        """Return the addresses to dial, including those already dialled.

        Candidates are live entries, hosts of the host list and, without any
        link, the seeds and entries seen earlier.
        """
        process = self.settings.process
        now = self.loop.timers.now()
        nodes = {
            state.name: topology.Node(
                state.name,
                state.peer_address,
                state.zone,
            )
            for state in self.liveness.select_live(now)
        }
        usable = [
            node
            for node in {**self.listed_nodes, **nodes}.values()
            if self.unreachable.get(node.peer_address, 0) <= now
        ]
        own = topology.Node(self.own_name, '', process.zone)
        chosen = self._choose_links(own, usable)
        chosen += kinship.choose_kin(
            own,
            usable,
            self.liveness.select_live(now),
            self.roles,
            self.settings.membership.links,
        )
        targets = [
            node.peer_address
            for node in dict.fromkeys(chosen)
            if node.name not in self.open_links
            or node.peer_address in self.outbound
        ]
        if self.open_links:
            targets.extend(self._choose_lost_targets(nodes))
        else:
            targets.extend(self._choose_recovery_targets())
        return targets

    def update_roles(self) -> None:
        """Choose again which entries serve."""
        self.roles.update(self.loop.timers.now())
        self.gossip.serving = frozenset(self.roles.serving)

    def on_link_open(self, link: links.Link) -> None:
        """Start to use an authenticated link."""
        if link.peer_name == self.own_name:
            link.close('peer is this node itself')
            return
        older = self.open_links.get(link.peer_name)
        if older is not None and self._is_preferred(older, link):
            link.close('another link to this peer is in use')
            return
        self.open_links[link.peer_name] = link
        if older is not None:
            older.close('replaced by another link')
        self._send(self.gossip.open_link(link.peer_name, link.dialect))

    def on_link_message(
        self,
        link: links.Link,
        message: messages.Message,
    ) -> None:
        """Handle a message of a peer."""
        if self.open_links.get(link.peer_name) is link:
            self.gossip.set_dialect(link.peer_name, link.dialect)
        match message:
            case messages.Facts():
                self.gossip.forwarding = self.roles.choose_forwarding(
                    self.open_links,
                    self.loop.timers.now(),
                )
                changed_facts = self.gossip.receive_facts(
                    link.peer_name,
                    message,
                    self.loop.timers.wall_time(),
                )
                for fact in changed_facts:
                    self._handle_new_fact(fact)
            case messages.Digest():
                self._send(self.gossip.receive_digest(link.peer_name, message))
            case messages.Want():
                self.gossip.receive_want(link.peer_name, message)
            case _:
                self.listener.on_message(link, message)

    def on_link_close(self, link: links.Link, reason: str) -> None:
        """Remove a closed link and count its bytes."""
        self.closed_bytes += link.sent_bytes
        self.inbound.discard(link)
        if not link.is_authenticated and not link.peer_name:
            now = self.loop.timers.now()
            self.unreachable[link.peer_address] = now + REDIAL_S
        if self.outbound.get(link.peer_address) is link:
            self.outbound.pop(link.peer_address)
        if self.open_links.get(link.peer_name) is link:
            self.open_links.pop(link.peer_name)
            self.gossip.close_link(link.peer_name)
            logging.info('peer link to %s closed: %s', link.peer_name, reason)

    def on_link_rejected(self, reason: str) -> None:
        """Count a link that broke the protocol."""
        self.rejected += 1
        logging.warning('peer link rejected: %s', reason[:200])

    def on_unknown_kind(self, link: links.Link, kind: str) -> None:
        """Count a message or fact that this build does not read."""
        self.skipped.record(link.peer_name, kind)

    def _choose_recovery_targets(self) -> list[str]:
        """Return the seeds and a few entries seen earlier, live or not."""
        seeds = self.settings.membership.seeds.split(',')
        targets = [seed.strip() for seed in seeds if seed.strip()]
        known = [
            observed.state.peer_address
            for observed in self.liveness.observed_entries.values()
            if observed.state.name != self.own_name
        ]
        count = min(RECOVERY_DIALS, len(known))
        return [*targets, *self.loop.random.sample(known, count)]

    def _choose_lost_targets(self, live: abc.Container[str]) -> list[str]:
        """Return an entry that was lost, which may be linked to others."""
        now = self.loop.timers.now()
        lost = [
            observed.state.peer_address
            for name, observed in self.liveness.observed_entries.items()
            if name not in live
            and not observed.state.is_leaving
            and self.unreachable.get(observed.state.peer_address, 0) <= now
        ]
        return [self.loop.random.choice(lost)] if lost else []

    def _choose_links(
        self,
        own: topology.Node,
        usable: list[topology.Node],
    ) -> list[topology.Node]:
        serving_nodes = [
            node for node in usable if node.name in self.roles.serving
        ]
        if not self.roles.has_standby() or not serving_nodes:
            count = self.settings.membership.links
            return topology.choose_peers(own, usable, count)
        if self.roles.stands_by:
            # Nodes may disagree on who serves. An entry that reports itself as
            # serving is linked to all other serving entries.
            confirmed = [
                node
                for node in serving_nodes
                if not self.roles.serving[node.name].stands_by
            ]
            return [
                topology.choose_serving_peer(own, confirmed or serving_nodes)
            ]
        return [node for node in serving_nodes if node.name != own.name]

    def _is_preferred(self, older: links.Link, newer: links.Link) -> bool:
        """Return whether to keep the older of two links to a peer.

        If both sides dialled at the same time, both keep the link that was
        dialled by the node with the lower name.
        """
        if older.role is newer.role:
            return False
        is_lower = self.own_name < older.peer_name
        return is_lower == (older.role is messages.Role.client)

    def _accept(self, connection: object) -> links.Link:
        link = self.factory.accept(connection)
        self.inbound.add(link)
        if len(self.inbound) > MAX_INBOUND:
            self.loop.timers.call_later(
                0, lambda: link.close('too many inbound links')
            )
        return link

    def _handle_new_fact(self, fact: facts.Fact) -> None:
        if isinstance(fact, facts.EntryState):
            self.liveness.record(fact, self.loop.timers.now())
        self.listener.on_fact(fact)
        if facts.is_urgent(fact) and not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.loop.timers.call_later(0, self._flush_urgent)

    def _flush_urgent(self) -> None:
        self.is_flush_scheduled = False
        self._send(self.gossip.flush(only_urgent=True))

    def _flush(self) -> None:
        self.flushes += 1
        is_standby_turn = self.flushes % STANDBY_FLUSHES == 0
        self._send(
            self.gossip.flush(is_standby_turn=is_standby_turn),
        )

    def _send(self, outgoing: list[gossip.Outgoing]) -> None:
        for item in outgoing:
            link = self.open_links.get(item.link)
            if link is not None:
                link.send(item.message)

    def _maintain(self) -> None:
        for expired in self.table.expire(self.loop.timers.wall_time()):
            if isinstance(expired, facts.EntryState):
                self.liveness.forget(expired.name)
        self.update_roles()
        now = self.loop.timers.now()
        self._close_silent_links(now)
        self.unreachable = {
            address: until
            for address, until in self.unreachable.items()
            if until > now
        }
        targets = self.dial_targets()
        for address in targets:
            if address not in self.outbound and address:
                self.outbound[address] = self.factory.dial(address)
        for address, link in tuple(self.outbound.items()):
            if targets and address not in targets and link.is_authenticated:
                link.close('no longer a peer to dial')
        self._synchronise()

    def _close_silent_links(self, now: float) -> None:
        limit_s = max(
            self.settings.membership.lost_after_s,
            MAX_MISSED_HEARTBEATS * self.roles.get_peer_period_s(),
        )
        for link in tuple(self.open_links.values()):
            if now - link.received_at > limit_s:
                link.close('nothing received within the timeout')

    def _synchronise(self) -> None:
        size = max(1, len(self.liveness.observed_entries) / SYNC_NODES)
        now = self.loop.timers.now()
        if now - self.synchronised_at < self.settings.membership.sync_s * size:
            return
        self.synchronised_at = now
        self._send(self.gossip.synchronise())
