"""Placement in virtual time, with prices, reclaim waves and refused starts."""

import dataclasses
import math
import random
from collections import abc

from citronjunction.bench import mixes
from citronjunction.placement import models, planner

HOURS = 24
STEP_S = 120.0
HOST_START_S = 120.0  # from an order until the host serves
RECLAIMABLE_PRICE = 0.35
ON_DEMAND_PRICE = 1.0
WAVE_INTERVAL_S = 4 * 3600.0
REFUSAL_RATE = 0.1
ZONES = ('z1', 'z2', 'z3', 'z4')
SLOTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Cost of a day, and the share of requests that lacked a slot."""

    cost: float
    short_share: float


class PlacementSimulation:
    """Simulate a day of placement."""

    def __init__(
        self,
        mix: mixes.Mix,
        kinds: abc.Container[models.HostKind],
        seed: int,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        """Create a deployment; it may order ``kinds`` of hosts in ``zones``."""
        self.mix = mix
        self.rng = random.Random(seed)  # noqa: S311
        self.planner = planner.Planner()
        prices = {
            models.HostKind.reclaimable: RECLAIMABLE_PRICE,
            models.HostKind.on_demand: ON_DEMAND_PRICE,
        }
        self.offers = [
            models.Offer(zone, kind, price)
            for zone in zones
            for kind, price in prices.items()
            if kind in kinds
        ]
        self.hosts: list[models.AllocatedHost] = []
        self.ready_at: dict[str, float] = {}
        self.start_count = 0

    def run(self) -> Figures:
        """Run the day and return its figures."""
        cost: float = 0
        unserved: float = 0
        requested: float = 0
        for step in range(int(HOURS * 3600 / STEP_S)):
            now = step * STEP_S
            requests = self._get_load(now)
            if step and now % WAVE_INTERVAL_S == 0:
                self._reclaim()
            self._plan(requests, now)
            ready = sum(self.ready_at[host.name] <= now for host in self.hosts)
            cost += sum(host.price for host in self.hosts)
            if step > HOST_START_S / STEP_S:
                unserved += max(0, requests - ready * SLOTS)
                requested += requests
        return Figures(cost * STEP_S / 3600, unserved / requested)

    def _get_load(self, now: float) -> float:
        peak = self.mix.workers * SLOTS * planner.TARGET_UTILISATION
        wave = (1 - math.cos(now / 43200 * math.pi)) / 2
        return peak * (0.25 + 0.75 * wave)

    def _reclaim(self) -> None:
        zone = self.rng.choice(ZONES)
        self.hosts = [
            host
            for host in self.hosts
            if host.zone != zone or host.kind is models.HostKind.on_demand
        ]

    def _plan(self, requests: float, now: float) -> None:
        demand = models.Demand('llm', requests, SLOTS, 1)
        for decision in self.planner.plan(demand, self.hosts, self.offers, now):
            match decision:
                case models.StartHost():
                    self._start(decision, now)
                case models.ReleaseHost(name=name):
                    self.hosts = [
                        host for host in self.hosts if host.name != name
                    ]

    def _start(self, decision: models.StartHost, now: float) -> None:
        is_reclaimable = decision.kind is models.HostKind.reclaimable
        if is_reclaimable and self.rng.random() < REFUSAL_RATE:
            self.planner.record_refusal(decision.zone, decision.kind, now)
            return
        self.planner.record_start(decision.zone, decision.kind)
        self.start_count += 1
        name = f'h{self.start_count}'
        self.ready_at[name] = now + HOST_START_S
        self.hosts.append(
            models.AllocatedHost(
                name, decision.zone, decision.kind, decision.price
            ),
        )


def measure(mix: mixes.Mix, seed: int) -> dict[str, float]:
    """Return the relative cost, and the shares of requests that lacked a slot.

    Compare with on-demand hosts only, and with reclaimable hosts in a single
    data centre.
    """
    all_kinds = frozenset(models.HostKind)
    planned = PlacementSimulation(mix, all_kinds, seed).run()
    on_demand_only = PlacementSimulation(
        mix, {models.HostKind.on_demand}, seed
    ).run()
    one_zone = PlacementSimulation(
        mix, {models.HostKind.reclaimable}, seed, ZONES[:1]
    ).run()
    return {
        'placement_cost_ratio': round(planned.cost / on_demand_only.cost, 3),
        'short_share': round(planned.short_share, 5),
        'short_share_on_demand': round(on_demand_only.short_share, 5),
        'short_share_one_zone': round(one_zone.short_share, 5),
    }
