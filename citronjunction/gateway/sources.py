"""Sources of an entry's copies of stored objects: the store, or peers.

A standby follows peers. While these are silent it polls the store, so that the
loss of a peer never delays a change for longer than the store would.
"""

import dataclasses

from citronjunction.gateway import context, watching
from citronjunction.peering import node

CHECK_INTERVAL_S = 0.25
# A peer that serves forwards states several times a second.
SILENT_S = 1.0
POLL_INTERVAL_S = 1.0  # between lists of the store while peers are silent


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """Name a source and the seconds since it was last heard."""

    source: str
    seconds: float


class Sources:
    """Measure the silence of sources, and replace silent ones by the store."""

    __slots__ = (
        'is_silent',
        'peers',
        'polled_at',
        'services',
        'started_at',
        'watcher',
    )

    def __init__(
        self,
        services: context.Services,
        watcher: watching.Watcher,
        peers: node.PeerNode,
    ) -> None:
        self.services = services
        self.watcher = watcher
        self.peers = peers
        self.started_at = services.timers.now()
        self.polled_at = float('-inf')
        self.is_silent = False

    def start(self) -> None:
        """Start to check the source at intervals."""
        self.services.timers.call_every(CHECK_INTERVAL_S, self._check)

    def measure_configuration(self) -> Silence:
        """Return the silence of the source of the configuration.

        A store without changes answers a watch only when its wait ends.
        """
        now = self.services.timers.now()
        if self.watcher.is_following:
            return Silence('peers', now - self._get_heard_at())
        kind = self.watcher.decoder.configuration_kind
        answered_at = self.watcher.mirrors[kind].answered_at
        return Silence('store', now - max(self.started_at, answered_at))

    def _check(self) -> None:
        now = self.services.timers.now()
        silent_s = now - self._get_heard_at()
        is_silent = self.watcher.is_following and silent_s > SILENT_S
        if is_silent is not self.is_silent:
            self.is_silent = is_silent
            self.services.log.write(
                'source silent' if is_silent else 'source heard',
                self.peers.own_name,
                silent_s=round(silent_s, 3),
                links=sorted(self.peers.open_links),
            )
        if is_silent and now - self.polled_at >= POLL_INTERVAL_S:
            self.polled_at = now
            self.watcher.poll()

    def _get_heard_at(self) -> float:
        """Return when a peer that watches the store was last heard."""
        observed = self.peers.liveness.observed_entries
        return max(
            (
                link.received_at
                for name, link in self.peers.open_links.items()
                if name in observed and not observed[name].state.stands_by
            ),
            default=self.started_at,
        )
