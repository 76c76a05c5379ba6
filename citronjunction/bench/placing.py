"""Placement in virtual time: prices, waves and refused starts."""

import dataclasses
import math
import random
from collections import abc

from citronjunction.bench import mixes
from citronjunction.placement import models, planner

HOURS = 24
STEP_S = 120.0
START_S = 120.0  # time from an order to a serving host
RECLAIMABLE_PRICE = 0.35
ON_DEMAND_PRICE = 1.0
WAVE_INTERVAL_S = 4 * 3600.0
REFUSAL_RATE = 0.1
ZONES = ('z1', 'z2', 'z3', 'z4')
SLOTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Hold what a day of placement cost, and its lack of slots."""

    cost: float
    short_share: float


class Placing:
    """Run a day of one policy."""

    def __init__(
        self,
        mix: mixes.Mix,
        kinds: abc.Container[models.HostKind],
        seed: int,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        """Take the kinds of hosts that may be ordered."""
        self.mix = mix
        self.source = random.Random(seed)  # noqa: S311
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
        self.started = 0

    def run(self) -> Figures:
        """Run the day."""
        cost: float = 0
        lacking: float = 0
        wanted: float = 0
        for step in range(int(HOURS * 3600 / STEP_S)):
            now = step * STEP_S
            requests = self._get_load(now)
            if step and now % WAVE_INTERVAL_S == 0:
                self._reclaim()
            self._plan(requests, now)
            ready = sum(self.ready_at[held.name] <= now for held in self.hosts)
            cost += sum(held.price for held in self.hosts)
            if step > START_S / STEP_S:
                lacking += max(0, requests - ready * SLOTS)
                wanted += requests
        return Figures(cost * STEP_S / 3600, lacking / wanted)

    def _get_load(self, now: float) -> float:
        peak = self.mix.workers * SLOTS * planner.TARGET_USE
        wave = (1 - math.cos(now / 43200 * math.pi)) / 2
        return peak * (0.25 + 0.75 * wave)

    def _reclaim(self) -> None:
        zone = self.source.choice(ZONES)
        self.hosts = [
            held
            for held in self.hosts
            if held.zone != zone or held.kind is models.HostKind.on_demand
        ]

    def _plan(self, requests: float, now: float) -> None:
        demand = models.Demand('llm', requests, SLOTS, 1)
        for decision in self.planner.plan(demand, self.hosts, self.offers, now):
            match decision:
                case models.StartHost():
                    self._start(decision, now)
                case models.ReleaseHost(name=name):
                    self.hosts = [
                        held for held in self.hosts if held.name != name
                    ]

    def _start(self, decision: models.StartHost, now: float) -> None:
        is_reclaimable = decision.kind is models.HostKind.reclaimable
        if is_reclaimable and self.source.random() < REFUSAL_RATE:
            self.planner.record_refusal(decision.zone, decision.kind, now)
            return
        self.planner.record_start(decision.zone, decision.kind)
        self.started += 1
        name = f'h{self.started}'
        self.ready_at[name] = now + START_S
        self.hosts.append(
            models.AllocatedHost(
                name, decision.zone, decision.kind, decision.price
            ),
        )


def measure(mix: mixes.Mix, seed: int) -> dict[str, float]:
    """Compare with all hosts on demand, and with one data centre only."""
    every = frozenset(models.HostKind)
    planned = Placing(mix, every, seed).run()
    steady = Placing(mix, {models.HostKind.on_demand}, seed).run()
    narrow = Placing(mix, {models.HostKind.reclaimable}, seed, ZONES[:1]).run()
    return {
        'placement_cost_ratio': round(planned.cost / steady.cost, 3),
        'short_share': round(planned.short_share, 5),
        'short_share_on_demand': round(steady.short_share, 5),
        'short_share_one_zone': round(narrow.short_share, 5),
    }
