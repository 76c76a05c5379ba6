"""Division of a worker's tokens among entries, the same at all of them."""

import bisect
import dataclasses
from collections import abc

from citronjunction.membership import topology
from citronjunction.pacing import models

# Until a larger part is used: a window, and the time in which views change.
RAISE_S = 2.0
POINTS = 16  # of an entry on the ring


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """Requests that an entry may send to a worker in a sliding second."""

    usual: int
    cold: int


@dataclasses.dataclass(slots=True)
class Grant:
    """The part that an entry uses; a larger one only counts after a while.

    By then those that had it before no longer use it. ``raised_at`` is the
    monotonic time at which ``part`` counts, ``before`` holds until then.
    """

    part: Part
    before: Part
    raised_at: float

    def get(self, now: float) -> Part:
        """Return the part that may be used now."""
        return self.part if now >= self.raised_at else self.before

    def change(self, part: Part, now: float) -> None:
        """Change the part: what is lost at once, what is gained later."""
        if part == self.part:
            self.before = _limit(self.before, part)
            return
        used = self.get(now)
        self.before = _limit(used, part)
        self.part = part
        self.raised_at = now if self.before == part else now + RAISE_S


def _limit(first: Part, second: Part) -> Part:
    return Part(min(first.usual, second.usual), min(first.cold, second.cold))


class Owners:
    """The owners of workers' tokens by consistent hashing over the entries."""

    __slots__ = ('known', 'names', 'points')

    def __init__(self) -> None:
        self.known: frozenset[str] = frozenset()
        self.points: list[int] = []
        self.names: list[str] = []

    def find(
        self, worker: str, tokens: abc.Iterable[int], known: frozenset[str]
    ) -> list[str]:
        """Return the owners of tokens of a worker among the known entries."""
        if known != self.known:
            self._build(known)
        return [self._find(worker, index) for index in tokens]

    def _find(self, worker: str, index: int) -> str:
        point = topology.hash_name(f'{worker} {index}')
        found = bisect.bisect(self.points, point)
        return self.names[found % len(self.names)]

    def _build(self, known: frozenset[str]) -> None:
        self.known = known
        ring = sorted(
            (topology.compute_weight(str(index), name), name)
            for name in known
            for index in range(POINTS)
        )
        self.points = [point for point, _ in ring]
        self.names = [name for _, name in ring]


def divide(
    worker: str,
    bound: models.Bound,
    own_name: str,
    view: models.View,
    owners: Owners,
) -> Part:
    """Return an entry's part: of the pool as a delegate, and its reserve.

    The pool holds the tokens of the entries that it hears. Groups that don't
    hear each other have different pools.
    """
    reserved = range(bound.pooled, bound.pooled + bound.reserved)
    reserve = owners.find(worker, reserved, view.known)
    return Part(
        _divide_pool(worker, bound.pooled, own_name, view, owners)
        + reserve.count(own_name),
        _divide_pool(worker, bound.cold, own_name, view, owners),
    )


def divide_unsettled(
    worker: str,
    bound: models.Bound,
    own_name: str,
    view: models.View,
    owners: Owners,
) -> Part:
    """Return the part of an entry whose view of its peers may be wrong.

    Peers that don't hear it leave its own tokens to it, the others its part of
    the pool; it uses no more than either.
    """
    tokens = range(bound.pooled + bound.reserved)
    owned = owners.find(worker, tokens, view.known)
    part = divide(worker, bound, own_name, view, owners)
    return Part(
        min(part.usual, owned.count(own_name)),
        min(part.cold, owned[: bound.cold].count(own_name)),
    )


def _divide_pool(
    worker: str,
    count: int,
    own_name: str,
    view: models.View,
    owners: Owners,
) -> int:
    if own_name not in view.delegates:
        return 0
    if view.heard != view.known:
        names = owners.find(worker, range(count), view.known)
        count = sum(name in view.heard for name in names)
    ranked = sorted(
        view.delegates,
        key=lambda name: topology.compute_weight(worker, name),
        reverse=True,
    )
    share, rest = divmod(count, len(ranked))
    return share + (ranked.index(own_name) < rest)
