"""Which entries of a large fleet serve callers, alike at every node.

Few entries with many requests each know the load better, and cost fewer
messages and store calls, than many entries with few requests. The others
stand by: they answer whoever connects and take the place of lost ones.
"""

import math
from collections import abc

from citronjunction.membership import facts, topology

# Measured: 7.5 ms of processor time a request, 0.85 s in flight on average.
CORES_PER_RUNNING = 0.009
HEADROOM = 2.0  # load that a serving entry can take over from lost ones
DECAY_S = 30.0  # time in which the remembered peak of load halves


class ServingSet:
    """Choose serving entries by place, capacity and the load seen."""

    __slots__ = ('min_serving', 'noted_at', 'peak')

    def __init__(self, min_serving: int) -> None:
        """Take the number of entries up to which all of them serve."""
        self.min_serving = min_serving
        self.peak: float = 0
        self.noted_at: float = 0

    def select(
        self,
        live: abc.Iterable[facts.EntryState],
        now: float,
    ) -> list[facts.EntryState]:
        """Return the live entries that serve."""
        states = list(live)
        needed = self._note_load(states, now) * CORES_PER_RUNNING * HEADROOM
        if len(states) <= self.min_serving:
            return states
        chosen: list[facts.EntryState] = []
        rest: list[facts.EntryState] = []
        by_zone = _group(states)
        zone_least = math.ceil(self.min_serving / len(by_zone))
        for zone in by_zone.values():
            zone.sort(key=_rank)
            chosen.extend(zone[:zone_least])
            rest.extend(zone[zone_least:])
        rest.sort(key=_rank)
        cores = sum(state.cores for state in chosen)
        for state in rest:
            if cores >= needed:
                break
            chosen.append(state)
            cores += state.cores
        return chosen

    def _note_load(
        self,
        states: list[facts.EntryState],
        now: float,
    ) -> float:
        """Return the highest load of late; a fall counts slowly."""
        decayed = self.peak * 2 ** ((self.noted_at - now) / DECAY_S)
        running = sum(state.running for state in states)
        self.peak = max(decayed, running)
        self.noted_at = now
        return self.peak


def _group(
    states: list[facts.EntryState],
) -> dict[str, list[facts.EntryState]]:
    by_zone: dict[str, list[facts.EntryState]] = {}
    for state in states:
        by_zone.setdefault(state.zone, []).append(state)
    return by_zone


def _rank(state: facts.EntryState) -> tuple[float, int]:
    return -state.cores, topology.hash_name(state.name)
