"""The placement decision of one upstream, without I/O.

The plan holds enough hosts for the load at a target use, and enough that
the load still fits after the worst data centre loses its reclaimable hosts.
"""

import collections
import dataclasses
import math
from collections import abc

from citronjunction.placement import models

TARGET_USE = 0.7  # of the slots, in ordinary times
WAVE_USE = 1.0  # of the slots, right after a wave
SHRINK_USE = 0.5  # of the slots, under which a host is given back
BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
MAX_DOUBLINGS = 8
MAX_STARTS = 4  # hosts ordered per decision


@dataclasses.dataclass(slots=True)
class Refusal:
    """Hold how often and until when an offer is refused."""

    count: int = 0
    until: float = 0


class Planner:
    """Plan the hosts of one upstream."""

    __slots__ = ('refusals', 'trend')

    def __init__(self) -> None:
        """Start without refusals."""
        self.refusals: dict[tuple[str, models.HostKind], Refusal] = {}
        self.trend: float = 0

    def record_refusal(
        self,
        zone: str,
        kind: models.HostKind,
        now: float,
    ) -> None:
        """Leave an offer alone for longer after each refusal."""
        refusal = self.refusals.setdefault((zone, kind), Refusal())
        pause_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**refusal.count)
        refusal.count = min(MAX_DOUBLINGS, refusal.count + 1)
        refusal.until = now + pause_s

    def record_start(self, zone: str, kind: models.HostKind) -> None:
        """Forget refusals of an offer that was accepted."""
        self.refusals.pop((zone, kind), None)

    def plan(
        self,
        demand: models.Demand,
        held: abc.Iterable[models.AllocatedHost],
        offers: abc.Iterable[models.Offer],
        now: float,
    ) -> list[models.PlacementDecision]:
        """Return the hosts to order, or one to give back."""
        staying = [host for host in held if not host.is_leaving]
        usable = [offer for offer in offers if self._is_open(offer, now)]
        starts = self._plan_starts(demand, staying, usable)
        if starts:
            return starts
        return _plan_release(demand, staying)

    def _is_open(self, offer: models.Offer, now: float) -> bool:
        refusal = self.refusals.get((offer.zone, offer.kind))
        return refusal is None or now >= refusal.until

    def _plan_starts(
        self,
        demand: models.Demand,
        staying: list[models.AllocatedHost],
        usable: list[models.Offer],
    ) -> list[models.PlacementDecision]:
        planned = list(staying)
        starts: list[models.PlacementDecision] = []
        while usable and len(starts) < MAX_STARTS:
            reason = describe_shortage(demand, planned)
            if not reason:
                break
            offer = _choose_offer(planned, usable, reason)
            starts.append(
                models.StartHost(
                    demand.upstream,
                    offer.zone,
                    offer.kind,
                    offer.price,
                    reason,
                ),
            )
            planned.append(
                models.AllocatedHost('', offer.zone, offer.kind, offer.price),
            )
        return starts


def describe_shortage(
    demand: models.Demand,
    hosts: list[models.AllocatedHost],
) -> str:
    """Tell what the hosts fall short of; an empty text means nothing."""
    needed = count_needed(demand)
    if len(hosts) < needed:
        return f'load needs {needed} hosts'
    surviving = count_survivors(hosts)
    wanted = max(1, math.ceil(demand.requests / demand.slots / WAVE_USE))
    if surviving < wanted:
        return f'a wave must leave {wanted} hosts'
    return ''


def count_needed(demand: models.Demand) -> int:
    """Return the hosts that the load needs in ordinary times."""
    by_load = math.ceil(demand.requests / demand.slots / TARGET_USE)
    return max(demand.minimum, by_load, 1)


def count_survivors(hosts: abc.Iterable[models.AllocatedHost]) -> int:
    """Return the hosts left after the worst single-zone reclaim."""
    listed = list(hosts)
    return len(listed) - max(_count_exposed(listed).values(), default=0)


def _count_exposed(
    hosts: abc.Iterable[models.AllocatedHost],
) -> collections.Counter[str]:
    return collections.Counter(
        host.zone for host in hosts if host.kind is models.HostKind.reclaimable
    )


def _choose_offer(
    planned: list[models.AllocatedHost],
    usable: list[models.Offer],
    reason: str,
) -> models.Offer:
    exposed = _count_exposed(planned)
    worst = max(exposed.values(), default=0)
    for_wave = reason.startswith('a wave')

    ranked = [
        (
            for_wave and _adds_exposure(offer, exposed[offer.zone], worst),
            offer.price,
            exposed[offer.zone],
            index,
        )
        for index, offer in enumerate(usable)
    ]
    return usable[min(ranked)[-1]]


def _adds_exposure(offer: models.Offer, exposed: int, worst: int) -> bool:
    is_exposed = offer.kind is models.HostKind.reclaimable
    return is_exposed and exposed >= max(1, worst)


def _plan_release(
    demand: models.Demand,
    staying: list[models.AllocatedHost],
) -> list[models.PlacementDecision]:
    low = math.ceil(demand.requests / demand.slots / SHRINK_USE)
    if len(staying) <= max(low, demand.minimum, 1):
        return []
    # The dearest go first; among equals the one with the least to finish.
    ordered = sorted(staying, key=lambda host: (-host.price, host.running))
    for host in ordered:
        rest = [other for other in staying if other is not host]
        if not describe_shortage(demand, rest):
            reason = f'load needs {len(rest)} hosts'
            return [models.ReleaseHost(demand.upstream, host.name, reason)]
    return []
