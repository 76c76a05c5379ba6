"""Wait until this entry may send a request to a paced worker.

Times are monotonic seconds.
"""

import collections
import dataclasses
from collections import abc

from citronjunction.pacing import division, models, roster

WINDOW_S = 1.05  # a second, and the spread of the times until requests arrive
NO_PART_WAIT_S = 1.0  # wait stated for a worker of which this entry has no part
MAX_WORKERS = 2000  # whose parts are remembered


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A worker by name and upstream, and the time until which it is cold."""

    name: str
    upstream: str
    cold_until: float


class Pacer:
    """Keep the requests of all entries to each worker within its bound."""

    __slots__ = (
        'bounds',
        'current',
        'grants',
        'owners',
        'roster',
        'sends',
        'version',
    )

    def __init__(self, entries: roster.Roster) -> None:
        self.roster = entries
        self.bounds: dict[str, models.Bound] = {}
        self.owners = division.Owners()
        self.grants: dict[str, division.Grant] = {}
        # Workers whose grants follow this version of the roster.
        self.current: set[str] = set()
        self.version = entries.version
        # Times of own sends in the window, by worker.
        self.sends: dict[str, collections.deque[float]] = {}

    def apply(self, bounds: abc.Mapping[str, models.Bound]) -> None:
        """Apply the bounds of workers by upstream."""
        self.bounds = dict(bounds)
        self.current.clear()

    def step(self, now: float) -> None:
        """Notice a standstill, and drop what has left the window.

        Sends of before a standstill count as sent at its end.
        """
        stood_at = self.roster.stepped_at
        if self.roster.step(now):
            for times in self.sends.values():
                late = [at for at in times if stood_at - at < WINDOW_S]
                times.clear()
                times.extend(now for _ in late)
        self.sends = {
            name: times
            for name, times in self.sends.items()
            if times and now - times[-1] < WINDOW_S
        }

    def get_wait_s(self, target: Target, now: float) -> float:
        """Return the time until this entry may send to a worker."""
        bound = self.bounds.get(target.upstream)
        if bound is None:
            return 0
        if now - self.roster.stepped_at >= roster.STANDSTILL_S:
            self.step(now)
        if self.roster.is_quiet(now):
            return NO_PART_WAIT_S
        part = self._get_part(target.name, bound, now)
        count = part.cold if now < target.cold_until else part.usual
        if not count:
            return NO_PART_WAIT_S
        times = self._get_sends(target.name, now)
        if len(times) < count:
            return 0
        return times[-count] + WINDOW_S - now

    def has_share(self) -> bool:
        """Return whether this entry has a part of the pool of each worker."""
        entries = self.roster
        return entries.is_settled and (
            entries.own_name in entries.view.delegates
        )

    def record_send(self, target: Target, now: float) -> None:
        """Count a request that this entry sends."""
        if target.upstream in self.bounds:
            times = self._get_sends(target.name, now)
            times.append(now)
            self.sends[target.name] = times

    def get_cold_s(self, upstream: str) -> float:
        """Return the time for which a worker is cold, 0 if not paced."""
        bound = self.bounds.get(upstream)
        return 0 if bound is None else bound.cold_s

    def _get_sends(self, name: str, now: float) -> collections.deque[float]:
        times = self.sends.get(name)
        if times is None:
            return collections.deque()
        while times and now - times[0] >= WINDOW_S:
            times.popleft()
        return times

    def _get_part(
        self, name: str, bound: models.Bound, now: float
    ) -> division.Part:
        if self.version != self.roster.version:
            self.version = self.roster.version
            self.current.clear()
        grant = self.grants.get(name)
        if grant is None or name not in self.current:
            part = self._divide(name, bound)
            if grant is None:
                grant = self._begin(name, bound, part, now)
            grant.change(part, now)
            self.current.add(name)
        return grant.get(now)

    def _begin(
        self,
        name: str,
        bound: models.Bound,
        part: division.Part,
        now: float,
    ) -> division.Grant:
        """Begin to pace a worker; peers may not have this view yet."""
        entries = self.roster
        raised_at = entries.changed_at + division.RAISE_S
        certain = part
        if now < raised_at:
            certain = division.divide_unsettled(
                name, bound, entries.own_name, entries.view, self.owners
            )
        grant = division.Grant(part, certain, raised_at)
        if len(self.grants) >= MAX_WORKERS:
            self.grants.pop(next(iter(self.grants)))
        self.grants[name] = grant
        return grant

    def _divide(self, name: str, bound: models.Bound) -> division.Part:
        entries = self.roster
        divide = division.divide_unsettled
        if entries.is_settled:
            divide = division.divide
        return divide(name, bound, entries.own_name, entries.view, self.owners)
