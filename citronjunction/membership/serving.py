"""Choice of the entries that serve callers, the same at every node.

A few entries with many requests each see the load more accurately, and need
fewer messages and store calls, than many entries with few requests. The
others are standbys: they answer callers that connect, and replace serving
entries that are lost.
"""

import math
from collections import abc

from citronjunction.membership import facts, topology

# A request takes 7.5 ms of CPU time and is in flight for 0.85 s on average.
CORES_PER_RUNNING = 0.009
HEADROOM = 2.0  # ratio of capacity to load, to take over from lost entries
PEAK_HALF_LIFE_S = 30.0  # half-life of the recorded peak load


class ServingSet:
    """Choose serving entries by data centre, cores and recent load."""

    __slots__ = ('min_serving', 'peak', 'peak_at')

    def __init__(self, min_serving: int) -> None:
        """Set the number of entries up to which all of them serve."""
        self.min_serving = min_serving
        self.peak: float = 0
        self.peak_at: float = 0

    def select(
        self,
        live: abc.Iterable[facts.EntryState],
        now: float,
    ) -> list[facts.EntryState]:
        """Return the entries of ``live`` that serve."""
        states = list(live)
        needed_cores = (
            self._update_peak(states, now) * CORES_PER_RUNNING * HEADROOM
        )
        if len(states) <= self.min_serving:
            return states
        chosen: list[facts.EntryState] = []
        candidates: list[facts.EntryState] = []
        by_zone = _group(states)
        zone_min = math.ceil(self.min_serving / len(by_zone))
        for zone in by_zone.values():
            zone.sort(key=_rank)
            chosen.extend(zone[:zone_min])
            candidates.extend(zone[zone_min:])
        candidates.sort(key=_rank)
        cores = sum(state.cores for state in chosen)
        for state in candidates:
            if cores >= needed_cores:
                break
            chosen.append(state)
            cores += state.cores
        return chosen

    def _update_peak(
        self,
        states: list[facts.EntryState],
        now: float,
    ) -> float:
        """Return the peak of running requests, which decays exponentially."""
        decayed = self.peak * 2 ** ((self.peak_at - now) / PEAK_HALF_LIFE_S)
        running = sum(state.running for state in states)
        self.peak = max(decayed, running)
        self.peak_at = now
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
