"""The entries among which tokens are divided, as seen from one entry.

Views change at each entry at another time. What an entry believes about others
therefore only counts after it has had time to hear them. Times are monotonic
seconds.
"""

import dataclasses
from collections import abc

from citronjunction.pacing import models

DELEGATE_S = 12.0  # for which an entry that has served keeps its part
# The same for each known entry; standbys of a large fleet are lost later.
DELEGATE_PER_ENTRY_S = 0.2
START_S = 2.0  # by then an entry has heard of its peers
QUIET_S = 1.0  # after it has heard of the first one, until it knows all
STANDSTILL_S = 0.5  # without a step, after which sends may have been delayed
# The same, after which peers may have counted this entry as lost.
LOST_S = 1.5
SETTLE_S = 2.0  # after a standstill, until the live peers were heard again
# Size assumed of a fleet of which not all seeds were ever heard of; the first
# holds for a time after the start, and the second after it.
ASSUMED_ENTRIES = 200
ASSUMED_S = 30.0
ASSUMED_LATER = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Peers:
    """Names of entries that are known, heard now, and believed to serve.

    ``has_all_seeds`` is whether every seed is or was an entry that is known.
    """

    known: abc.Iterable[str]
    heard: abc.Iterable[str]
    serving: abc.Iterable[str]
    has_all_seeds: bool


class Roster:
    """Keep the view of the fleet that an entry may act upon."""

    __slots__ = (
        'changed_at',
        'has_seeds',
        'is_settled',
        'own_name',
        'peers_at',
        'served_at',
        'settled_at',
        'started_at',
        'stepped_at',
        'version',
        'view',
    )

    def __init__(
        self, own_name: str, now: float, *, has_seeds: bool = True
    ) -> None:
        """Begin without knowing a peer, ``has_seeds`` whether there are any."""
        self.own_name = own_name
        self.has_seeds = has_seeds
        self.served_at: dict[str, float] = {}
        self.settled_at = now + START_S if has_seeds else now
        self.is_settled = not has_seeds
        self.started_at = now
        self.stepped_at = now
        # When this entry first knew of a peer.
        self.peers_at: float | None = None
        # Rises with each change of what parts depend on.
        self.version = 0
        self.changed_at = now
        own = frozenset((own_name,))
        self.view = models.View(own, own, own)

    def step(self, now: float) -> bool:
        """Notice a standstill of this entry; return whether there was one."""
        idle_s = now - self.stepped_at
        self.stepped_at = now
        if idle_s >= LOST_S and self.has_peers():
            self.settled_at = now + SETTLE_S
        is_settled = now >= self.settled_at
        if is_settled is not self.is_settled:
            self.is_settled = is_settled
            self._record_change(now)
        return idle_s >= STANDSTILL_S

    def update(self, peers: Peers, now: float) -> None:
        """Take over what is known of the peers."""
        own = (self.own_name,)
        all_known = frozenset((*peers.known, *own))
        if self.is_settled:
            self.served_at.update((name, now) for name in peers.serving)
        hold_s = max(DELEGATE_S, DELEGATE_PER_ENTRY_S * len(all_known))
        self.served_at = {
            name: at
            for name, at in self.served_at.items()
            if now - at <= hold_s
        }
        all_heard = frozenset((*peers.heard, *own)) & all_known
        if len(all_known) > 1 and self.peers_at is None:
            self.peers_at = now
        all_known |= self._list_assumed(len(all_known), peers, now)
        # Until this entry has settled, those that serve may not be chosen yet.
        delegates = frozenset(self.served_at) or frozenset(
            (*peers.serving, *own)
        )
        if now - self.started_at < hold_s and len(delegates) < len(all_known):
            # Peers know who served before this start.
            delegates |= {f'former-{name}' for name in delegates}
        view = models.View(all_known, all_heard, delegates)
        if view != self.view:
            self.view = view
            self._record_change(now)

    def _record_change(self, now: float) -> None:
        self.version += 1
        self.changed_at = now

    def _list_assumed(
        self, count: int, peers: Peers, now: float
    ) -> frozenset[str]:
        """Return placeholders of entries that others may know."""
        if peers.has_all_seeds or not self.has_seeds:
            return frozenset()
        is_new = now - self.started_at < ASSUMED_S
        missing = range(count, ASSUMED_ENTRIES if is_new else ASSUMED_LATER)
        return frozenset(f'assumed-{index}' for index in missing)

    def has_peers(self) -> bool:
        """Return whether this entry knows of another one or has seeds."""
        return self.has_seeds or self.peers_at is not None

    def is_quiet(self, now: float) -> bool:
        """Return whether this entry can't know yet which tokens it owns."""
        if self.is_settled or not self.has_seeds:
            return False
        return self.peers_at is None or now - self.peers_at < QUIET_S
