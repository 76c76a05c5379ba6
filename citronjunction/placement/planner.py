"""Placement of one upstream's hosts, without I/O.

A plan has enough hosts for the load at the target utilisation, and enough
that the load still fits if one data centre loses all its reclaimable hosts.
"""

import collections
import dataclasses
import math
from collections import abc

from citronjunction.placement import models

# Running and queued requests per slot of all hosts:
TARGET_UTILISATION = 0.7
POST_WAVE_UTILISATION = 1.0  # after a data centre lost its reclaimable hosts
SHRINK_UTILISATION = 0.5  # a host may be released below this
BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
MAX_DOUBLINGS = 8
MAX_STARTS_PER_PLAN = 4


@dataclasses.dataclass(slots=True)
class OfferBackoff:
    """Record the consecutive refusals of an offer and when to retry it."""

    count: int = 0
    retry_at: float = 0


class Planner:
    """Plan the hosts of one upstream.

    ``backoffs`` has the offers whose last request the cloud refused, by data
    centre and kind of host.
    """

    __slots__ = ('backoffs',)

    def __init__(self) -> None:
        self.backoffs: dict[tuple[str, models.HostKind], OfferBackoff] = {}

    def record_refusal(
        self,
        zone: str,
        kind: models.HostKind,
        now: float,
    ) -> None:
        """Skip a refused offer for an exponentially growing time."""
        backoff = self.backoffs.setdefault((zone, kind), OfferBackoff())
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**backoff.count)
        backoff.count = min(MAX_DOUBLINGS, backoff.count + 1)
        backoff.retry_at = now + backoff_s

    def record_start(self, zone: str, kind: models.HostKind) -> None:
        """Clear the backoff of an offer that was accepted."""
        self.backoffs.pop((zone, kind), None)

    def plan(
        self,
        demand: models.Demand,
        hosts: abc.Iterable[models.AllocatedHost],
        offers: abc.Iterable[models.Offer],
        now: float,
    ) -> list[models.PlacementDecision]:
        """Return the hosts to start or, if none, at most one to release."""
        staying = [host for host in hosts if not host.is_leaving]
        available = [
            offer for offer in offers if self._is_available(offer, now)
        ]
        starts = self._plan_starts(demand, staying, available)
        if starts:
            return starts
        return _plan_release(demand, staying)

    def _is_available(self, offer: models.Offer, now: float) -> bool:
        backoff = self.backoffs.get((offer.zone, offer.kind))
        return backoff is None or now >= backoff.retry_at

    def _plan_starts(
        self,
        demand: models.Demand,
        hosts: list[models.AllocatedHost],
        available_offers: list[models.Offer],
    ) -> list[models.PlacementDecision]:
        planned_hosts = list(hosts)
        starts: list[models.PlacementDecision] = []
        while available_offers and len(starts) < MAX_STARTS_PER_PLAN:
            reason = describe_shortage(demand, planned_hosts)
            if not reason:
                break
            offer = _choose_offer(planned_hosts, available_offers, reason)
            starts.append(
                models.StartHost(
                    demand.upstream,
                    offer.zone,
                    offer.kind,
                    offer.price,
                    reason,
                ),
            )
            planned_hosts.append(
                models.AllocatedHost('', offer.zone, offer.kind, offer.price),
            )
        return starts


def describe_shortage(
    demand: models.Demand,
    hosts: list[models.AllocatedHost],
) -> str:
    """Return which requirement the hosts miss, or an empty text."""
    needed = count_needed(demand)
    if len(hosts) < needed:
        return f'load needs {needed} hosts'
    survivors = count_survivors(hosts)
    min_survivors = max(
        1, math.ceil(demand.requests / demand.slots / POST_WAVE_UTILISATION)
    )
    if survivors < min_survivors:
        return f'a reclaim wave must leave {min_survivors} hosts'
    return ''


def count_needed(demand: models.Demand) -> int:
    """Return the number of hosts for the load at the target utilisation."""
    by_load = math.ceil(demand.requests / demand.slots / TARGET_UTILISATION)
    return max(demand.minimum, by_load, 1)


def count_survivors(hosts: abc.Iterable[models.AllocatedHost]) -> int:
    """Return the hosts left if one data centre loses all reclaimable ones."""
    listed = list(hosts)
    return len(listed) - max(_count_reclaimable(listed).values(), default=0)


def _count_reclaimable(
    hosts: abc.Iterable[models.AllocatedHost],
) -> collections.Counter[str]:
    return collections.Counter(
        host.zone for host in hosts if host.kind is models.HostKind.reclaimable
    )


def _choose_offer(
    planned_hosts: list[models.AllocatedHost],
    available_offers: list[models.Offer],
    reason: str,
) -> models.Offer:
    reclaimable_by_zone = _count_reclaimable(planned_hosts)
    worst_loss = max(reclaimable_by_zone.values(), default=0)
    is_for_wave = reason.startswith('a reclaim wave')

    ranked = [
        (
            is_for_wave
            and _raises_worst_loss(
                offer, reclaimable_by_zone[offer.zone], worst_loss
            ),
            offer.price,
            reclaimable_by_zone[offer.zone],
            index,
        )
        for index, offer in enumerate(available_offers)
    ]
    return available_offers[min(ranked)[-1]]


def _raises_worst_loss(
    offer: models.Offer,
    zone_count: int,
    worst_loss: int,
) -> bool:
    """Return whether the offer adds to the largest loss in one wave."""
    is_reclaimable = offer.kind is models.HostKind.reclaimable
    return is_reclaimable and zone_count >= max(1, worst_loss)


def _plan_release(
    demand: models.Demand,
    hosts: list[models.AllocatedHost],
) -> list[models.PlacementDecision]:
    needed = math.ceil(demand.requests / demand.slots / SHRINK_UTILISATION)
    if len(hosts) <= max(needed, demand.minimum, 1):
        return []
    # Prefer the most expensive host; at equal prices, the one that has the
    # fewest requests to finish.
    by_price = sorted(hosts, key=lambda host: (-host.price, host.running))
    for host in by_price:
        remaining = [other for other in hosts if other is not host]
        if not describe_shortage(demand, remaining):
            reason = f'load needs {len(remaining)} hosts'
            return [models.ReleaseHost(demand.upstream, host.name, reason)]
    return []
