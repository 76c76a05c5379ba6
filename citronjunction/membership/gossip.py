"""Spread of facts over the links of a node, without I/O."""

import dataclasses
import enum
import random

from citronjunction.membership import facts, messages, table

MAX_FACTS_PER_MESSAGE = 200
MAX_KEYS_PER_DIGEST = 2000
# Told by their origin again and again; where all nodes are linked to each
# other, forwarding them would only multiply the bytes.
PERIODIC = (facts.EntryState, facts.LoadState)


class Forwarding(enum.Enum):
    """Say over which links periodic facts of others are sent on.

    ``by_role`` is for an entry that serves: all those that serve are linked
    to each other, each that stands by is linked to a few of them.
    """

    everywhere = 'everywhere'
    nowhere = 'nowhere'
    by_role = 'by role'


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """Say which message goes to which link."""

    link: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class Link:
    """Hold what a peer is known to have and what it is to be sent."""

    known: dict[str, facts.Version] = dataclasses.field(default_factory=dict)
    pending: set[str] = dataclasses.field(default_factory=set)


class GossipProtocol:
    """Send each new fact once over each link, and repair what was lost."""

    __slots__ = ('forwarding', 'links', 'random', 'serving', 'table')

    def __init__(
        self,
        held: table.FactTable,
        source: random.Random,
    ) -> None:
        """Take the facts and a random source."""
        self.table = held
        self.random = source
        self.forwarding = Forwarding.everywhere
        self.serving: frozenset[str] = frozenset()
        self.links: dict[str, Link] = {}

    def open_link(self, name: str) -> list[Outgoing]:
        """Start to use a link; both sides begin with a digest."""
        self.links[name] = Link()
        return self._send_digest(name)

    def close_link(self, name: str) -> None:
        """Forget a link."""
        self.links.pop(name, None)

    def publish(self, fact: facts.Fact, now: float) -> facts.Fact | None:
        """Take an own fact; return it if it is news."""
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
        """Take facts from a link; return those that are news."""
        news = []
        link = self.links.get(name)
        for fact in message.facts:
            if link is not None:
                _note_known(link, fact)
            merged = self.table.merge(fact, now)
            if merged is not None:
                self._forward(name, merged)
                news.append(merged)
        return news

    def receive_digest(
        self,
        name: str,
        message: messages.Digest,
    ) -> list[Outgoing]:
        """Send what the peer lacks and ask for what it has newer."""
        link = self.links.get(name)
        if link is None:
            return []
        link.known.update(message.versions)
        own = self.table.summarise()
        for key, version in own.items():
            if message.versions.get(key, (-1, 0)) < version:
                link.pending.add(key)
        wanted = [
            key
            for key, version in message.versions.items()
            if own.get(key, (-1, 0)) < version
        ]
        if not wanted:
            return []
        return [Outgoing(name, messages.Want(tuple(wanted)))]

    def receive_want(self, name: str, message: messages.Want) -> None:
        """Send the facts asked for with the next flush."""
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
        is_whole: bool = True,
    ) -> list[Outgoing]:
        """Return what is to be sent now.

        Unless it is whole, entries that stand by get no reports of load.
        """
        outgoing = []
        for name, link in self.links.items():
            held_back: tuple[type, ...] = ()
            if only_urgent:
                held_back = facts.BATCHED
            elif not is_whole and self._is_standby(name):
                held_back = (facts.LoadState,)
            chosen = self._take_pending(link, held_back)
            for start in range(0, len(chosen), MAX_FACTS_PER_MESSAGE):
                part = tuple(chosen[start : start + MAX_FACTS_PER_MESSAGE])
                outgoing.append(Outgoing(name, messages.Facts(part)))
        return outgoing

    def synchronise(self) -> list[Outgoing]:
        """Send a digest over one link, to repair what was lost."""
        if not self.links:
            return []
        name = self.random.choice(sorted(self.links))
        return self._send_digest(name)

    def _send_digest(self, name: str) -> list[Outgoing]:
        rows = list(self.table.summarise().items())
        parts = []
        for start in range(0, max(1, len(rows)), MAX_KEYS_PER_DIGEST):
            part = dict(rows[start : start + MAX_KEYS_PER_DIGEST])
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
        # Keyed by whether the link leads to an entry that serves.
        is_wanted = {
            True: sender not in self.serving,
            False: fact.name in self.serving
            or isinstance(fact, facts.EntryState),
        }
        key = facts.get_key(fact)
        for name, link in self.links.items():
            if is_wanted[name in self.serving]:
                link.pending.add(key)

    def _is_standby(self, name: str) -> bool:
        return (
            self.forwarding is Forwarding.by_role and name not in self.serving
        )

    def _take_pending(
        self,
        link: Link,
        held_back: tuple[type, ...],
    ) -> list[facts.Fact]:
        chosen = []
        for key in tuple(link.pending):
            fact = self.table.facts_by_key.get(key)
            if fact is None:
                link.pending.discard(key)
                continue
            if isinstance(fact, held_back):
                continue
            link.pending.discard(key)
            version = facts.get_version(fact)
            if link.known.get(key, (-1, 0)) < version:
                link.known[key] = version
                chosen.append(fact)
        return chosen


def _note_known(link: Link, fact: facts.Fact) -> None:
    key = facts.get_key(fact)
    version = facts.get_version(fact)
    if link.known.get(key, (-1, 0)) < version:
        link.known[key] = version
