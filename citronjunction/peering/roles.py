"""Roles of entries, serving or standby, as seen from one node."""

from collections import abc

from citronjunction.conf import models as conf
from citronjunction.membership import (
    facts,
    gossip,
    liveness,
    serving,
    topology,
)

# The time between states grows with the number of entries. A serving entry
# forwards about 112 bytes of each state over about ten links; with these
# periods that is 10 kB/s for any number of entries.
SERVING_PERIOD_S = 0.12  # between states of a serving entry, per serving entry
STANDBY_PERIOD_S = 0.1  # between states of a standby, per live entry
# A standby that lost its links may choose itself until it has found new ones,
# and must not serve in that time.
PROMOTION_DELAY_S = 2.0  # a standby serves after being chosen for this long


class Roles:
    """Choose the entries that serve, and decide on the own node's role."""

    __slots__ = (
        'chosen_at',
        'live_count',
        'liveness',
        'own_name',
        'serving',
        'serving_set',
        'settings',
        'stands_by',
    )

    def __init__(
        self,
        settings: conf.Membership,
        own_name: str,
        tracker: liveness.LivenessTracker,
    ) -> None:
        self.settings = settings
        self.own_name = own_name
        self.liveness = tracker
        self.serving_set = serving.ServingSet(settings.serving)
        self.serving: dict[str, facts.EntryState] = {}
        self.live_count = 0
        self.chosen_at: float | None = None
        self.stands_by = False

    def update(self, now: float) -> None:
        """Choose again which entries serve."""
        live = self.liveness.select_live(now)
        chosen = self.serving_set.select(live, now)
        self.live_count = len(live)
        self.serving = {state.name: state for state in chosen}
        self._update_own_role(now)

    def has_standby(self) -> bool:
        """Return whether some live entries are standbys."""
        return len(self.serving) < self.live_count

    def is_serving(self, name: str) -> bool:
        """Return whether a live entry does not stand by."""
        return not self.has_standby() or name in self.serving

    def owns(self, key: str) -> bool:
        """Return whether this node is chosen for a key among those serving."""
        owner = max(
            self.serving,
            key=lambda name: topology.compute_weight(key, name),
            default=self.own_name,
        )
        return owner == self.own_name

    def get_own_period_s(self) -> float:
        """Return the time between own states; 0 means the default period."""
        if not self.has_standby():
            return 0
        heartbeat_s = self.settings.heartbeat_s
        if self.stands_by:
            return max(heartbeat_s, STANDBY_PERIOD_S * self.live_count)
        return max(heartbeat_s, SERVING_PERIOD_S * len(self.serving))

    def get_peer_period_s(self) -> float:
        """Return the expected time between messages of a linked node."""
        if self.stands_by:
            return SERVING_PERIOD_S * len(self.serving)
        return self.liveness.get_heartbeat_period_s()

    def choose_forwarding(
        self,
        linked: abc.Container[str],
        now: float,
    ) -> gossip.Forwarding:
        """Return over which links to forward periodic facts of others."""
        if not self.has_standby():
            live = self.liveness.select_live(now)
            if self._is_linked_to_all(linked, live):
                return gossip.Forwarding.nowhere
        elif not self.stands_by and self._is_linked_to_all(
            linked,
            self.serving.values(),
        ):
            return gossip.Forwarding.by_role
        # Standbys also forward everywhere: a node that counts one as serving
        # doesn't forward the facts received from it to serving entries.
        return gossip.Forwarding.everywhere

    def _is_linked_to_all(
        self,
        linked: abc.Container[str],
        states: abc.Iterable[facts.EntryState],
    ) -> bool:
        return all(
            state.name in linked or state.name == self.own_name
            for state in states
        )

    def _update_own_role(self, now: float) -> None:
        is_chosen = self.own_name in self.serving or not self.has_standby()
        if not is_chosen:
            self.stands_by = True
            self.chosen_at = None
        elif self.stands_by:
            if self.chosen_at is None:
                self.chosen_at = now
            self.stands_by = now - self.chosen_at < PROMOTION_DELAY_S
