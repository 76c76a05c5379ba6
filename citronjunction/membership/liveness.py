"""Which entries are alive, as seen from one node."""

import dataclasses
import random

from citronjunction.conf import models as conf
from citronjunction.membership import facts

START_COST_BYTES = 600.0  # sent by a node for one fact, until measured
MAX_LOST_FACTOR = 3.0  # periods without news until a peer is lost
# The same for a peer that tells its period, which is long only for those
# that stand by; a lost one must not be chosen to serve.
REPORTED_LOST_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class ObservedEntry:
    """Hold the last state of an entry and when it changed, monotonic."""

    state: facts.EntryState
    seen_at: float


class LivenessTracker:
    """Judge entries by how recently their state changed."""

    __slots__ = ('heartbeat_bytes', 'settings', 'observed_entries')

    def __init__(self, settings: conf.Membership) -> None:
        """Take the rates."""
        self.settings = settings
        self.observed_entries: dict[str, ObservedEntry] = {}
        self.heartbeat_bytes = START_COST_BYTES

    def record(
        self, state: facts.EntryState, now: float
    ) -> ObservedEntry | None:
        """Note a new state; return the earlier sighting."""
        earlier = self.observed_entries.get(state.name)
        self.observed_entries[state.name] = ObservedEntry(state, now)
        return earlier

    def get_heartbeat_period_s(self) -> float:
        """Return the seconds between states of an entry.

        The period grows with the fleet, so that the bytes per node do not.
        """
        sent = len(self.observed_entries) * self.heartbeat_bytes
        return max(self.settings.heartbeat_s, sent / self.settings.bytes_per_s)

    def select_live(self, now: float) -> list[facts.EntryState]:
        """Return entries that are neither lost nor leaving."""
        usual_s = self.get_heartbeat_period_s()
        return [
            seen.state
            for seen in self.observed_entries.values()
            if now - seen.seen_at <= self._get_lost_s(seen.state, usual_s)
            and not seen.state.is_leaving
        ]

    def _get_lost_s(self, state: facts.EntryState, usual_s: float) -> float:
        if state.period_s:
            lost_s = REPORTED_LOST_FACTOR * state.period_s
        else:
            lost_s = MAX_LOST_FACTOR * usual_s
        return max(self.settings.lost_after_s, lost_s)

    def forget(self, name: str) -> None:
        """Drop an entry."""
        self.observed_entries.pop(name, None)


def order_for_caller(
    live: list[facts.EntryState],
    source: random.Random,
) -> list[facts.EntryState]:
    """Order entries at random, less busy ones more often first."""
    weighted = [
        (source.random() ** (1 + state.running), state.name, state)
        for state in live
    ]
    weighted.sort(reverse=True)
    return [state for _, _, state in weighted]
