"""Copies of stored objects that entries get from their peers.

They replace the store while it is unavailable and for standby entries. A peer
that has asked for a kind receives its changes for a while. An entry that watches
the store asks the peers that follow it only in doubt: they then know that its
copies may be outdated, and reach the store themselves.
"""

import dataclasses
from collections import abc

from citronjunction.gateway import constraints, context, watching
from citronjunction.membership import messages
from citronjunction.peering import node
from citronjunction.store import eras, mirror, records
from citronjunction.transport import links

ASK_INTERVAL_S = 0.3  # a restarted entry is ready within two intervals
FOLLOW_INTERVAL_S = 1.0  # for kinds that only may be outdated
FOLLOWER_S = 3.0  # a follower that does not ask again gets no more changes
PUSH_DELAY_S = 0.05  # collects changes that come together


def _do_nothing(link: links.Link) -> None:
    """Ignore the call until a callback is set."""


@dataclasses.dataclass(slots=True)
class Follower:
    """Store what a peer has of a kind, and when it last asked for it."""

    era: int
    as_of: int
    asked_at: float


class Copying:
    """Request newer copies from peers and answer their requests."""

    def __init__(
        self,
        services: context.Services,
        watcher: watching.Watcher,
        peers: node.PeerNode,
    ) -> None:
        self.services = services
        self.watcher = watcher
        self.peers = peers
        self.asked_at: dict[str, float] = {}
        self.turns = 0
        # By kind of object and name of the peer.
        self.followers: dict[tuple[str, str], Follower] = {}
        self.scheduled: set[str] = set()
        # Link of the last answer, by kind of object and name of the peer.
        self.answers: dict[tuple[str, str], links.Link] = {}
        # Called with the link of a peer that asks for copies.
        self.on_asked: abc.Callable[[links.Link], None] = _do_nothing
        watcher.on_copy_advanced = self._schedule_push
        watcher.doubts.on_doubted = self.ask_all

    def start(self) -> None:
        """Start requesting copies, after a delay for the store to answer."""
        delay_s = self.services.settings.gateway.seed_s
        timers = self.services.timers
        timers.call_later(
            delay_s,
            lambda: timers.call_every(ASK_INTERVAL_S, self.ask),
        )

    def ask(self) -> None:
        """Request a copy of each kind that may be outdated."""
        now = self.services.timers.now()
        for kind, kind_mirror in self.watcher.mirrors.items():
            is_doubtful = self.watcher.doubts.has(kind)
            is_lacking = kind_mirror.lacks_store and not is_doubtful
            pause_s = 0 if is_lacking else FOLLOW_INTERVAL_S
            is_due = now - self.asked_at.get(kind, 0) >= pause_s
            if not (kind_mirror.needs_copy and is_due):
                continue
            self.asked_at[kind] = now
            if is_doubtful:
                self.ask_all(kind)
            elif kind_mirror.is_following or is_lacking:
                self.ask_for(kind)
            else:
                self._ask_in_turn(kind, kind_mirror)

    def ask_all(self, kind: str) -> None:
        """Request the copy of a kind from all peers if it is newer."""
        kind_mirror = self.watcher.mirrors[kind]
        self.asked_at[kind] = self.services.timers.now()
        for link in tuple(self.peers.open_links.values()):
            link.send(
                messages.CopyWanted(kind, kind_mirror.era, kind_mirror.as_of)
            )

    def ask_for(self, kind: str) -> None:
        """Request the copy of a kind from a random peer if it is newer."""
        kind_mirror = self.watcher.mirrors[kind]
        self._ask(kind, kind_mirror.era, kind_mirror.as_of)

    def ask_for_any(self, kind: str) -> None:
        """Request the copy of a kind from a random peer in any case."""
        self._ask(kind, eras.UNKNOWN, -1)

    def select_watching(self) -> list[links.Link]:
        """Return the links to peers that watch the store."""
        observed = self.peers.liveness.observed_entries
        return [
            link
            for name, link in self.peers.open_links.items()
            if name in observed and not observed[name].state.stands_by
        ]

    def has_answered(self, kind: str, link: links.Link) -> bool:
        """Return whether a peer has sent what it has of a kind on a link."""
        return self.answers.get((kind, link.peer_name)) is link

    def ask_links(self, kind: str, asked: abc.Iterable[links.Link]) -> None:
        """Request the whole copy of a kind on some links."""
        for link in asked:
            link.send(messages.CopyWanted(kind, eras.UNKNOWN, -1))

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Answer a peer's request or apply its copy."""
        match message:
            case messages.CopyWanted(object_kind=kind, era=era, as_of=as_of):
                now = self.services.timers.now()
                follower = Follower(era, as_of, now)
                self.followers[(kind, link.peer_name)] = follower
                self._send(link, kind, follower)
                self.on_asked(link)
            case messages.Copy(object_kind=kind):
                self._apply_copy(link, message)
            case messages.CopyChanges(object_kind=kind):
                self._apply_changes(link, message)

    def _ask(self, kind: str, era: int, as_of: int) -> None:
        ready = self.select_watching() or list(self.peers.open_links.values())
        if ready:
            link = self.services.random.choice(ready)
            link.send(messages.CopyWanted(kind, era, as_of))

    def _ask_in_turn(self, kind: str, kind_mirror: mirror.Mirror) -> None:
        """Request a newer copy from the next peer that watches the store.

        A few turns reach several.
        """
        ready = self.select_watching()
        if ready:
            self.turns += 1
            ready.sort(key=lambda link: link.peer_name)
            ready[self.turns % len(ready)].send(
                messages.CopyWanted(kind, kind_mirror.era, kind_mirror.as_of)
            )

    def _schedule_push(self, kind: str) -> None:
        if kind not in self.scheduled:
            self.scheduled.add(kind)
            self.services.timers.call_later(
                PUSH_DELAY_S, lambda: self._push(kind)
            )

    def _push(self, kind: str) -> None:
        self.scheduled.discard(kind)
        oldest = self.services.timers.now() - FOLLOWER_S
        for key, follower in tuple(self.followers.items()):
            followed_kind, name = key
            link = self.peers.open_links.get(name)
            if link is None or follower.asked_at < oldest:
                self.followers.pop(key)
            elif followed_kind == kind:
                self._send(link, kind, follower)

    def _send(self, link: links.Link, kind: str, follower: Follower) -> None:
        """Send a follower the changes that it lacks, or the whole copy."""
        kind_mirror = self.watcher.mirrors.get(kind)
        if kind_mirror is None or not kind_mirror.is_listed:
            return
        known = (follower.era, follower.as_of)
        if (kind_mirror.era, kind_mirror.changed_as_of) <= known:
            return
        changed = None
        if follower.era == kind_mirror.era:
            changed = kind_mirror.list_changes(follower.as_of)
        if changed is None:
            link.send(self._build_copy(kind, kind_mirror))
        else:
            since = follower.as_of
            link.send(_build_changes(kind, kind_mirror, since, changed))
        follower.era = kind_mirror.era
        follower.as_of = kind_mirror.as_of

    def _build_copy(
        self, kind: str, kind_mirror: mirror.Mirror
    ) -> messages.Copy:
        return messages.Copy(
            kind,
            kind_mirror.era,
            kind_mirror.as_of,
            tuple(
                _pack(record)
                for record in self.watcher.list_copy(kind)
                if isinstance(record.spec, dict)
            ),
        )

    def _apply_copy(self, link: links.Link, copy: messages.Copy) -> None:
        kind_mirror = self._prepare(link, copy)
        if kind_mirror is None:
            return
        copied = [records.Record(*packed) for packed in copy.objects]
        self.watcher.offer_copied(copy.object_kind, copied)
        if copy.as_of <= kind_mirror.as_of:
            return
        self.services.log.write(
            'copy',
            copy.object_kind,
            peer=link.peer_name,
            era=copy.era,
            as_of=copy.as_of,
            before=kind_mirror.as_of,
        )
        kind_mirror.apply_copy(copied, copy.as_of, copy.era)

    def _apply_changes(
        self, link: links.Link, message: messages.CopyChanges
    ) -> None:
        kind_mirror = self._prepare(link, message)
        if kind_mirror is None:
            return
        is_applied = kind_mirror.apply_changes(
            [records.Record(*packed) for packed in message.objects],
            message.removed,
            message.since,
            message.as_of,
        )
        if not is_applied:
            self.ask_for(message.object_kind)

    def _prepare(
        self,
        link: links.Link,
        message: messages.Copy | messages.CopyChanges,
    ) -> mirror.Mirror | None:
        """Return the mirror for a copy, None for one of an earlier era."""
        kind = message.object_kind
        kind_mirror = self.watcher.mirrors.get(kind)
        if kind_mirror is None or not self.watcher.eras.observe(message.era):
            return None
        self.answers.pop((kind, link.peer_name), None)
        self.answers[(kind, link.peer_name)] = link
        constraints.forget_oldest(self.answers)
        # The sender has this revision and need not get it back.
        follower = self.followers.get((kind, link.peer_name))
        if follower is not None:
            follower.era = message.era
            follower.as_of = max(follower.as_of, message.as_of)
        return kind_mirror


def _build_changes(
    kind: str,
    kind_mirror: mirror.Mirror,
    since: int,
    changed: set[str],
) -> messages.CopyChanges:
    present = [
        kind_mirror.records[name]
        for name in sorted(changed)
        if name in kind_mirror.records
    ]
    return messages.CopyChanges(
        kind,
        kind_mirror.era,
        since,
        kind_mirror.as_of,
        tuple(
            _pack(record) for record in present if isinstance(record.spec, dict)
        ),
        tuple(sorted(changed - set(kind_mirror.records))),
    )


def _pack(
    record: records.Record,
) -> tuple[str, int, dict[str, object], dict[str, object]]:
    return (
        record.name,
        record.revision,
        dict(record.spec),
        dict(record.status),
    )
