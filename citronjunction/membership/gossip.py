"""Gossip of facts over the links of a node, without I/O."""

import dataclasses
import enum
import random
from collections import abc

from citronjunction.membership import dialects, facts, messages, table

MAX_FACTS_PER_MESSAGE = 200
MAX_KEYS_PER_DIGEST = 2000
# Sent periodically by their origin. Where all nodes are linked to each other,
# forwarding them would only multiply the bytes.
PERIODIC = (facts.EntryState, facts.LoadState, facts.LimitedSends)


Adapt = abc.Callable[[facts.Fact, dialects.Dialect], facts.Fact]


class Forwarding(enum.Enum):
    """Links over which a node forwards periodic facts of other nodes.

    ``by_role`` is for serving entries, which are all linked to each other;
    each standby is linked to a few of them.
    """

    everywhere = 'everywhere'
    nowhere = 'nowhere'
    by_role = 'by role'


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """Message to be sent on the named link."""

    link: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class LinkState:
    """Versions that the peer is known to have, and keys to send to it.

    Keys of facts that the peer does not read stay pending.
    """

    dialect: dialects.Dialect
    known: dict[str, facts.Version] = dataclasses.field(default_factory=dict)
    pending: set[str] = dataclasses.field(default_factory=set)


class GossipProtocol:
    """Send new facts once over each link, and repair losses by digests."""

    __slots__ = ('adapt', 'forwarding', 'links', 'random', 'serving', 'table')

    def __init__(
        self,
        facts_table: table.FactTable,
        source: random.Random,
    ) -> None:
        self.table = facts_table
        self.random = source
        self.forwarding = Forwarding.everywhere
        # Returns a fact as it is sent to a peer that reads a dialect.
        self.adapt: Adapt = _keep
        self.serving: frozenset[str] = frozenset()
        self.links: dict[str, LinkState] = {}

    def open_link(
        self,
        name: str,
        dialect: dialects.Dialect = messages.OWN_DIALECT,
    ) -> list[Outgoing]:
        """Start to use a link; return the digest that each side sends first.

        ``dialect`` is what the peer reads.
        """
        self.links[name] = LinkState(dialect)
        return self._build_digest(name)

    def set_dialect(self, name: str, dialect: dialects.Dialect) -> None:
        """Set what the peer of an open link reads."""
        link = self.links.get(name)
        if link is not None:
            link.dialect = dialect

    def close_link(self, name: str) -> None:
        """Stop using a link."""
        self.links.pop(name, None)

    def publish(self, fact: facts.Fact, now: float) -> facts.Fact | None:
        """Publish a fact of this node; return it if it changed the table."""
        merged = self.table.merge(fact, now)
        if merged is not None:
            self._schedule(merged)
        return merged

    def receive_facts(
        self,
        name: str,
        message: messages.Facts,
        now: float,
    ) -> list[facts.Fact]:
        """Merge facts from a link; return those that changed the table."""
        changed = []
        link = self.links.get(name)
        for fact in message.facts:
            if link is not None:
                _update_known(link, fact)
            known = self.table.facts_by_key.get(facts.get_key(fact))
            merged = self.table.merge(fact, now)
            if merged is None:
                continue
            if _is_first_state(known, merged):
                # Nodes that are not linked to the entry yet dial it then.
                self._schedule(merged)
            else:
                self._forward(name, merged)
            changed.append(merged)
        return changed

    def receive_digest(
        self,
        name: str,
        message: messages.Digest,
    ) -> list[Outgoing]:
        """Schedule facts that the peer lacks; request those it has newer."""
        link = self.links.get(name)
        if link is None:
            return []
        link.known.update(message.versions)
        own = self.table.list_versions()
        for key, version in own.items():
            if message.versions.get(key, (-1, 0)) < version:
                link.pending.add(key)
        wanted = [
            key
            for key, version in message.versions.items()
            if own.get(key, (-1, 0)) < version
            and messages.OWN_DIALECT.reads_key(key)
        ]
        if not wanted:
            return []
        return [Outgoing(name, messages.Want(tuple(wanted)))]

    def receive_want(self, name: str, message: messages.Want) -> None:
        """Schedule the requested facts for the next flush."""
        link = self.links.get(name)
        if link is None:
            return
        for key in message.keys:
            if key in self.table.facts_by_key:
                link.known.pop(key, None)
                link.pending.add(key)

    def flush(
        self,
        *,
        only_urgent: bool = False,
        is_standby_turn: bool = True,
    ) -> list[Outgoing]:
        """Return the pending facts as messages.

        ``only_urgent`` leaves out the facts that wait for a periodic flush.
        Unless ``is_standby_turn``, load reports are left out on links to
        standbys. What is left out stays pending.
        """
        outgoing = []
        for name, link in self.links.items():
            excluded: tuple[type, ...] = ()
            if only_urgent:
                excluded = facts.BATCHED
            elif not is_standby_turn and self._is_standby_link(name):
                excluded = (facts.LoadState,)
            chosen = self._pop_pending(link, excluded)
            for start in range(0, len(chosen), MAX_FACTS_PER_MESSAGE):
                part = tuple(chosen[start : start + MAX_FACTS_PER_MESSAGE])
                outgoing.append(Outgoing(name, messages.Facts(part)))
        return outgoing

    def synchronise(self) -> list[Outgoing]:
        """Return a digest for a random link, to repair lost facts."""
        if not self.links:
            return []
        name = self.random.choice(sorted(self.links))
        return self._build_digest(name)

    def _build_digest(self, name: str) -> list[Outgoing]:
        versions = list(self.table.list_versions().items())
        parts = []
        for start in range(0, max(1, len(versions)), MAX_KEYS_PER_DIGEST):
            part = dict(versions[start : start + MAX_KEYS_PER_DIGEST])
            parts.append(Outgoing(name, messages.Digest(part)))
        return parts

    def _schedule(self, fact: facts.Fact) -> None:
        key = facts.get_key(fact)
        for link in self.links.values():
            link.pending.add(key)

    def _forward(self, sender: str, fact: facts.Fact) -> None:
        if not isinstance(fact, PERIODIC):
            self._schedule(fact)
            return
        match self.forwarding:
            case Forwarding.everywhere:
                self._schedule(fact)
            case Forwarding.by_role:
                self._forward_by_role(sender, fact)

    def _forward_by_role(self, sender: str, fact: facts.Fact) -> None:
        # Whether serving entries (key True) and standbys (False) need the fact.
        is_wanted = {
            True: sender not in self.serving,
            False: fact.name in self.serving
            or isinstance(fact, facts.EntryState),
        }
        key = facts.get_key(fact)
        for name, link in self.links.items():
            if is_wanted[name in self.serving]:
                link.pending.add(key)

    def _is_standby_link(self, name: str) -> bool:
        return (
            self.forwarding is Forwarding.by_role and name not in self.serving
        )

    def _pop_pending(
        self,
        link: LinkState,
        excluded: tuple[type, ...],
    ) -> list[facts.Fact]:
        chosen = []
        for key in tuple(link.pending):
            fact = self.table.facts_by_key.get(key)
            if fact is None:
                link.pending.discard(key)
                continue
            if isinstance(fact, excluded) or not link.dialect.reads(fact.kind):
                continue
            link.pending.discard(key)
            version = facts.get_version(fact)
            if link.known.get(key, (-1, 0)) < version:
                link.known[key] = version
                chosen.append(self.adapt(fact, link.dialect))
        return chosen


def _keep(fact: facts.Fact, dialect: dialects.Dialect) -> facts.Fact:
    """Return a fact as it is."""
    return fact


def _is_first_state(known: facts.Fact | None, fact: facts.Fact) -> bool:
    """Return whether a fact is the first state of an entry's start."""
    match fact:
        case facts.EntryState(incarnation=incarnation):
            return known is None or known.incarnation < incarnation
    return False


def _update_known(link: LinkState, fact: facts.Fact) -> None:
    key = facts.get_key(fact)
    version = facts.get_version(fact)
    if link.known.get(key, (-1, 0)) < version:
        link.known[key] = version
