"""Sources of an entry's copies of stored objects: the store, or peers."""

import dataclasses

from citronjunction.gateway import watching
from citronjunction.peering import node


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """Name a source and the seconds since it was last heard."""

    source: str
    seconds: float


class Sources:
    """Tell how long the source of this entry's copies has been silent."""

    __slots__ = ('peers', 'started_at', 'timers', 'watcher')

    def __init__(self, watcher: watching.Watcher, peers: node.PeerNode) -> None:
        self.watcher = watcher
        self.peers = peers
        self.timers = watcher.services.timers
        self.started_at = self.timers.now()

    def measure_configuration(self) -> Silence:
        """Return the silence of the source of the configuration."""
        return self.measure(self.watcher.decoder.configuration_kind)

    def measure(self, kind: str) -> Silence:
        """Return the silence of the source of a kind of object.

        A store without changes answers a watch only when its wait ends.
        """
        now = self.timers.now()
        kind_mirror = self.watcher.mirrors[kind]
        if not kind_mirror.is_following:
            heard_at = max(self.started_at, kind_mirror.answered_at)
            return Silence('store', now - heard_at)
        links = self.peers.open_links.values()
        heard_at = max(
            (link.received_at for link in links), default=self.started_at
        )
        return Silence('peers', now - heard_at)
