"""Division of the places of brittle workers among entries, without I/O.

Entries that are cut off from the workers of an upstream have no part: the
others use their places. An entry that reaches the workers again first waits
until its peers know, or have stopped to hear it, as they count only entries
that they hear as cut off. After a change, parts are only used where there is
room, since requests of the former users may still run. Times are monotonic
seconds.
"""

import dataclasses
from collections import abc

from citronjunction.gateway import reachability
from citronjunction.membership import facts

HOLD_S = 1.0  # after a report, until the places of a cut-off entry are used
# After the return of an entry; its peers notice sooner that they don't hear it.
RETURN_S = 2.0
SETTLE_S = 10.0  # after a change, in which earlier requests may still run


@dataclasses.dataclass(slots=True, frozen=True)
class Division:
    """Names of the entries that have parts, and the room that these need.

    An entry uses its part of a worker's places only if ``spare`` of them are
    free as far as it knows; with 0 it always does.
    """

    names: abc.Sequence[str]
    spare: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    """The entries that were left out since a time."""

    left_out: frozenset[str]
    at: float


class PlaceDivision:
    """Choose the entries that share places, by what they report as lost."""

    __slots__ = ('changes', 'is_heard', 'own_name', 'reach')

    def __init__(
        self,
        own_name: str,
        reach: reachability.Reachability,
        is_heard: abc.Callable[[str, float], bool],
    ) -> None:
        """Set how to find out whether a peer is heard at a time."""
        self.own_name = own_name
        self.reach = reach
        self.is_heard = is_heard
        self.changes: dict[str, _Change] = {}

    def divide(
        self,
        upstream: str,
        serving: abc.Mapping[str, facts.EntryState],
        now: float,
    ) -> Division:
        """Return which of the serving entries share the places now."""
        left_out = frozenset(
            name
            for name, entry in serving.items()
            if name != self.own_name and self._is_left_out(entry, upstream, now)
        )
        names = sorted(serving.keys() - left_out)
        if self._may_be_left_out(upstream, now):
            return Division(names, len(serving))
        return Division(names, int(self._is_changed(upstream, left_out, now)))

    def _is_left_out(
        self, entry: facts.EntryState, upstream: str, now: float
    ) -> bool:
        lost_at = self.reach.get_lost_at(entry, upstream)
        if lost_at is None or now - lost_at < HOLD_S:
            return False
        return self.is_heard(entry.name, now)

    def _may_be_left_out(self, upstream: str, now: float) -> bool:
        """Return whether peers may use this entry's part."""
        if upstream in self.reach.lost:
            return True
        returned_at = self.reach.returned_at.get(upstream)
        return returned_at is not None and now - returned_at < RETURN_S

    def _is_changed(
        self, upstream: str, left_out: frozenset[str], now: float
    ) -> bool:
        """Return whether parts have changed lately."""
        known = self.changes.get(upstream)
        if known is None and not left_out:
            return self._has_returned(upstream, now)
        if known is None or known.left_out != left_out:
            known = _Change(left_out, now)
            self.changes[upstream] = known
        is_recent = now - known.at < SETTLE_S
        return is_recent or self._has_returned(upstream, now)

    def _has_returned(self, upstream: str, now: float) -> bool:
        returned_at = self.reach.returned_at.get(upstream)
        return returned_at is not None and now - returned_at < SETTLE_S
