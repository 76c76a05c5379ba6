"""Copies of stored objects from peers, in place of the store."""

from citronjunction.gateway import context, watching
from citronjunction.membership import messages
from citronjunction.peering import node
from citronjunction.store import records
from citronjunction.transport import links

ASK_INTERVAL_S = 0.3  # interval; a restarted entry is ready within two of them
FOLLOW_INTERVAL_S = (
    1.0  # interval for an entry that stands by, while the store answers
)


class Copying:
    """Ask peers for newer copies, and give them this entry's."""

    def __init__(
        self,
        services: context.Services,
        watcher: watching.Watcher,
        peers: node.PeerNode,
    ) -> None:
        """Take the mirrors and the peers."""
        self.services = services
        self.watcher = watcher
        self.peers = peers
        self.asked_at: dict[str, float] = {}

    def start(self) -> None:
        """Start to ask, at first once the store had time to answer."""
        delay_s = self.services.settings.gateway.seed_s
        timers = self.services.timers
        timers.call_later(
            delay_s,
            lambda: timers.call_every(ASK_INTERVAL_S, self.ask),
        )

    def ask(self) -> None:
        """Ask one peer for each kind that may be behind."""
        now = self.services.timers.now()
        for kind, held in self.watcher.mirrors.items():
            pause_s = FOLLOW_INTERVAL_S if held.is_following else 0
            is_due = now - self.asked_at.get(kind, 0) >= pause_s
            if held.needs_copy and is_due:
                self.asked_at[kind] = now
                self.ask_for(kind)

    def ask_for(self, kind: str) -> None:
        """Ask one peer for its copy of a kind."""
        ready = list(self.peers.ready.values())
        if ready:
            as_of = self.watcher.mirrors[kind].as_of
            link = self.services.random.choice(ready)
            link.send(messages.CopyWanted(kind, as_of))

    def on_message(self, link: links.Link, message: messages.Message) -> None:
        """Answer a peer or take its copy."""
        match message:
            case messages.CopyWanted(object_kind=kind, as_of=as_of):
                self._send_copy(link, kind, as_of)
            case messages.Copy(object_kind=kind):
                self._apply_copy(link, message)

    def _send_copy(self, link: links.Link, kind: str, as_of: int) -> None:
        held = self.watcher.mirrors.get(kind)
        if held is None or not held.is_synced or held.changed_as_of <= as_of:
            return
        link.send(
            messages.Copy(
                kind,
                held.as_of,
                tuple(
                    (
                        record.name,
                        record.revision,
                        dict(record.spec),
                        dict(record.status),
                    )
                    for record in held.held.values()
                    if isinstance(record.spec, dict)
                ),
            ),
        )

    def _apply_copy(self, link: links.Link, copy: messages.Copy) -> None:
        held = self.watcher.mirrors.get(copy.object_kind)
        if held is None or copy.as_of <= held.as_of:
            return
        self.services.log.write(
            'copy',
            copy.object_kind,
            peer=link.name,
            as_of=copy.as_of,
            before=held.as_of,
        )
        held.take_copy(
            [records.Record(*held_object) for held_object in copy.objects],
            copy.as_of,
        )
