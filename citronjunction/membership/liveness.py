"""Failure detection by the heartbeats of entries, as seen from one node."""

import dataclasses
import random

from citronjunction.conf import models as conf
from citronjunction.membership import facts

# Assumed bytes per heartbeat over all links of a node, until the first own
# heartbeat gives the number.
INITIAL_HEARTBEAT_BYTES = 600.0
DEFAULT_LOST_FACTOR = 3.0  # heartbeat periods without news until a peer is lost
# The same for peers that announce their period. Only standbys announce a long
# one, and a lost standby must not be chosen to serve.
ANNOUNCED_LOST_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class ObservedEntry:
    """Last state of an entry and the monotonic time when it was received."""

    state: facts.EntryState
    seen_at: float


class LivenessTracker:
    """Decide which entries are alive by the age of their last state."""

    __slots__ = ('heartbeat_bytes', 'observed_entries', 'settings')

    def __init__(self, settings: conf.Membership) -> None:
        self.settings = settings
        self.observed_entries: dict[str, ObservedEntry] = {}
        self.heartbeat_bytes = INITIAL_HEARTBEAT_BYTES

    def record(
        self, state: facts.EntryState, now: float
    ) -> ObservedEntry | None:
        """Record a new state; return the previous observation, if any."""
        previous = self.observed_entries.get(state.name)
        self.observed_entries[state.name] = ObservedEntry(state, now)
        return previous

    def get_heartbeat_period_s(self) -> float:
        """Return the seconds between two states of an entry.

        The period grows with the number of entries, to bound the bytes that a
        node sends per second.
        """
        round_bytes = len(self.observed_entries) * self.heartbeat_bytes
        return max(
            self.settings.heartbeat_s, round_bytes / self.settings.bytes_per_s
        )

    def select_live(self, now: float) -> list[facts.EntryState]:
        """Return the states of entries that are neither lost nor leaving."""
        default_s = self.get_heartbeat_period_s()
        return [
            observed.state
            for observed in self.observed_entries.values()
            if now - observed.seen_at
            <= self._get_lost_s(observed.state, default_s)
            and not observed.state.is_leaving
        ]

    def _get_lost_s(self, state: facts.EntryState, default_s: float) -> float:
        if state.period_s:
            lost_s = ANNOUNCED_LOST_FACTOR * state.period_s
        else:
            lost_s = DEFAULT_LOST_FACTOR * default_s
        return max(self.settings.lost_after_s, lost_s)

    def forget(self, name: str) -> None:
        """Remove an entry."""
        self.observed_entries.pop(name, None)


def order_for_caller(
    live: list[facts.EntryState],
    source: random.Random,
) -> list[facts.EntryState]:
    """Return entries in random order, less busy ones more often first."""
    weighted = [
        (source.random() ** (1 + state.running), state.name, state)
        for state in live
    ]
    weighted.sort(reverse=True)
    return [state for _, _, state in weighted]
