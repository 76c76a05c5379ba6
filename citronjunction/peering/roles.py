"""Which entries serve and which stand by, as one node sees it."""

from collections import abc

from citronjunction.conf import models as conf
from citronjunction.membership import facts, gossip, liveness, serving

# An entry that serves sends on about 112 bytes of each state to some ten
# links; with these periods that is 10 kB/s at any size of the fleet.
SERVING_PERIOD_S = 0.12  # between states, for each entry that serves
STANDBY_PERIOD_S = 0.1  # between states, for each entry
# An entry that lost its links and finds new ones must not serve meanwhile.
ROLE_HOLD_S = 2.0  # chosen for so long until an entry that stood by serves


class Roles:
    """Choose the entries that serve, and hold the role of the own node."""

    __slots__ = (
        'chosen_at',
        'live_count',
        'own_name',
        'liveness',
        'serving',
        'serving_set',
        'settings',
        'stands_by',
    )

    def __init__(
        self,
        settings: conf.Membership,
        own_name: str,
        seen: liveness.LivenessTracker,
    ) -> None:
        """Take the own node's name and who is seen."""
        self.settings = settings
        self.own_name = own_name
        self.liveness = seen
        self.serving_set = serving.ServingSet(settings.serving)
        self.serving: dict[str, facts.EntryState] = {}
        self.live_count = 0
        self.chosen_at: float | None = None
        self.stands_by = False

    def update(self, now: float) -> None:
        """Choose anew which entries serve."""
        live = self.liveness.select_live(now)
        chosen = self.serving_set.select(live, now)
        self.live_count = len(live)
        self.serving = {state.name: state for state in chosen}
        self._hold(now)

    def has_standby(self) -> bool:
        """Tell whether some entries stand by."""
        return len(self.serving) < self.live_count

    def get_own_period_s(self) -> float:
        """Return the time between states of the node; 0 is the usual."""
        if not self.has_standby():
            return 0
        heartbeat_s = self.settings.heartbeat_s
        if self.stands_by:
            return max(heartbeat_s, STANDBY_PERIOD_S * self.live_count)
        return max(heartbeat_s, SERVING_PERIOD_S * len(self.serving))

    def get_peer_period_s(self) -> float:
        """Return the time between messages of a linked node."""
        if self.stands_by:
            return SERVING_PERIOD_S * len(self.serving)
        return self.liveness.get_heartbeat_period_s()

    def choose_forwarding(
        self,
        linked: abc.Container[str],
        now: float,
    ) -> gossip.Forwarding:
        """Return over which links periodic facts of others are sent on."""
        if not self.has_standby():
            live = self.liveness.select_live(now)
            if self._has_all(linked, live):
                return gossip.Forwarding.nowhere
        elif not self.stands_by and self._has_all(
            linked,
            self.serving.values(),
        ):
            return gossip.Forwarding.by_role
        # Others may take an entry that stands by for one that serves.
        return gossip.Forwarding.everywhere

    def _has_all(
        self,
        linked: abc.Container[str],
        states: abc.Iterable[facts.EntryState],
    ) -> bool:
        return all(
            state.name in linked or state.name == self.own_name
            for state in states
        )

    def _hold(self, now: float) -> None:
        is_chosen = self.own_name in self.serving or not self.has_standby()
        if not is_chosen:
            self.stands_by = True
            self.chosen_at = None
        elif self.stands_by:
            if self.chosen_at is None:
                self.chosen_at = now
            self.stands_by = now - self.chosen_at < ROLE_HOLD_S
