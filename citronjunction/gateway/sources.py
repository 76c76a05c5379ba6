"""Sources of an entry's copies of stored objects: the store, or peers.

A standby follows peers. While these are silent, or ask it for copies as they
lack the store themselves, it polls the store, so that the loss of a peer never
delays a change for longer than the store would. It also polls the store for a
kind that none of them has, because of an older build.
"""

import dataclasses

from citronjunction.gateway import context, copying, watching
from citronjunction.peering import node
from citronjunction.transport import links

CHECK_INTERVAL_S = 0.25
# A peer that serves forwards states several times a second.
SILENT_S = 1.0
POLL_INTERVAL_S = 1.0  # between lists of the store while peers can't replace it
DOUBT_S = 2.5  # two intervals between requests of a peer that lacks the store
# Between requests for a kind that no peer has answered for, and lists of it.
UNANSWERED_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """Name a source and the seconds since it was last heard."""

    source: str
    seconds: float


class Sources:
    """Measure the silence of sources, and replace silent ones by the store."""

    __slots__ = (
        'asked_at',
        'copying',
        'doubted_at',
        'is_silent',
        'is_store_away',
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
        copier: copying.Copying,
    ) -> None:
        self.services = services
        self.watcher = watcher
        self.peers = peers
        self.copying = copier
        # When peers were asked for a kind last without an answer before.
        self.asked_at: float | None = None
        self.started_at = services.timers.now()
        self.polled_at = float('-inf')
        # When a peer that is followed asked for copies last.
        self.doubted_at = float('-inf')
        self.is_silent = False
        # Whether a list of the store was not answered either.
        self.is_store_away = False
        copier.on_asked = self._on_asked

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
        is_doubted = now - self.doubted_at <= DOUBT_S
        if not (is_silent or is_doubted):
            self.polled_at = float('-inf')
            self.is_store_away = False
        if is_silent:
            self._poll(now)
        self.watcher.is_source_unreliable = (
            self.watcher.is_following
            and (is_silent or is_doubted)
            and not self.is_store_away
        )
        self._check_evacuations(now)

    def _on_asked(self, link: links.Link) -> None:
        """Poll the store if a peer that is followed may be outdated itself."""
        if not self.watcher.is_following:
            return
        if link not in self.copying.select_watching():
            return
        now = self.services.timers.now()
        if now - self.doubted_at > DOUBT_S:
            self.services.log.write('source doubted', link.peer_name)
        self.doubted_at = now
        self.watcher.is_source_unreliable = not self.is_store_away
        self._poll(now)

    def _poll(self, now: float) -> None:
        if now - self.polled_at < POLL_INTERVAL_S:
            return
        self.is_store_away = (
            self.watcher.doubts.get_answered_at() < self.polled_at
        )
        self.polled_at = now
        self.watcher.poll()

    def _check_evacuations(self, now: float) -> None:
        """List a kind that the peers which this entry follows may not have."""
        kind = self.watcher.decoder.evacuation_kind
        kind_mirror = self.watcher.mirrors.get(kind)
        if kind_mirror is None or not kind_mirror.is_following:
            self.asked_at = None
            return
        serving = self.copying.select_watching()
        if any(self.copying.has_answered(kind, link) for link in serving):
            self.asked_at = None
            return
        if self.asked_at is None:
            self.asked_at = now
        elif now - self.asked_at < UNANSWERED_INTERVAL_S:
            return
        else:
            self.asked_at = now
            kind_mirror.poll()
        self.copying.ask_links(kind, serving)

    def _get_heard_at(self) -> float:
        """Return when a peer that watches the store was last heard."""
        return max(
            (link.received_at for link in self.copying.select_watching()),
            default=self.started_at,
        )
