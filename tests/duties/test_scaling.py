"""Orders for workers, pattern by pattern, without a network."""

import pytest

from citronjunction.duties import models, scaling
from citronjunction.gateway import models as gateway

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9}
LIMITS = gateway.Scaling(1, 3, 4.0, 0.18, PRICES)


class Market:
    """Give what is ordered, after the boot time, unless it is dry."""

    def __init__(self, on_demand):
        self.scaler = scaling.Scaler('llm')
        self.now = 100.0
        self.held = dict(on_demand)
        self.coming = []
        self.is_dry = False
        self.log = []

    def run(self, seconds, tokens_per_s=None):
        end = self.now + seconds
        while self.now < end:
            self.step(tokens_per_s)
            self.now += 0.5

    def step(self, tokens_per_s):
        for at, key, count in tuple(self.coming):
            if at <= self.now:
                self.coming.remove((at, key, count))
                self.held[key] = count
        standing = {
            key: scaling.WorkerCount(count) for key, count in self.held.items()
        }
        situation = scaling.UpstreamState(LIMITS, standing, tokens_per_s)
        for order in self.scaler.decide(situation, self.now):
            self.scaler.record_sent(order, self.now)
            self.scaler.record_result(order, self._take(order), self.now)

    def _take(self, order):
        self.log.append((self.now, order))
        key = (order.zone, order.is_reclaimable)
        held = self.held.get(key, 0)
        if self.is_dry and order.is_reclaimable and order.count > held:
            return models.CallResult.unobtainable
        if order.count < held:
            self.held[key] = order.count
        elif order.count > held:
            self.coming.append((self.now + 4, key, order.count))
        return models.CallResult.accepted

    def reclaim(self, zone):
        self.held[(zone, True)] = 0

    def count(self, is_reclaimable):
        return sum(
            count
            for (_, reclaimable), count in self.held.items()
            if reclaimable is is_reclaimable
        )


@pytest.fixture
def started():
    market = Market({('a', False): 2, ('b', False): 2, ('c', False): 1})
    market.run(12)
    return market


def test_before_traffic_reclaimable_workers_take_over(started):
    assert started.count(is_reclaimable=True) >= 10
    assert started.count(is_reclaimable=False) == 0


def test_workers_that_register_late_are_counted_before_the_first_order():
    market = Market({})
    for number in range(8):
        market.held[('abcd'[number % 4], False)] = 1 + number // 4
        market.run(0.5)
        assert not market.log
    market.run(10)

    # Twice those found, as far as the data centres have places.
    assert market.count(is_reclaimable=True) == 12


def test_the_least_is_ordered_if_no_worker_registers():
    market = Market({})
    market.run(4)
    assert not market.log
    market.run(8)

    assert market.count(is_reclaimable=True) == 4


def test_the_first_seconds_of_traffic_take_no_worker_away(started):
    before = started.count(is_reclaimable=True)
    started.run(5, tokens_per_s=4000)

    assert started.count(is_reclaimable=True) == before


def test_a_quiet_day_needs_fewer_workers(started):
    started.run(80, tokens_per_s=60_000)

    assert 4 <= started.count(is_reclaimable=True) <= 6


def test_a_burst_keeps_its_workers_for_a_while(started):
    started.run(20, tokens_per_s=80_000)
    started.run(4, tokens_per_s=300_000)
    started.run(6, tokens_per_s=80_000)

    assert started.count(is_reclaimable=True) == 12


def test_reclaimed_with_none_to_be_had_on_demand_stands_in(started):
    started.run(20, tokens_per_s=200_000)
    started.is_dry = True
    for zone in 'abc':
        started.reclaim(zone)
        started.run(3, tokens_per_s=200_000)
    started.run(5, tokens_per_s=200_000)

    total = started.count(is_reclaimable=True)
    total += started.count(is_reclaimable=False)
    assert total >= 8
    for zone in PRICES:
        held = sum(started.held.get((zone, kind), 0) for kind in (True, False))
        assert held <= LIMITS.maximum


def test_on_demand_workers_go_once_reclaimable_ones_are_back(started):
    started.run(20, tokens_per_s=200_000)
    started.is_dry = True
    started.reclaim('a')
    started.reclaim('b')
    started.run(8, tokens_per_s=200_000)
    assert started.count(is_reclaimable=False) > 0
    started.is_dry = False
    started.run(20, tokens_per_s=200_000)

    assert started.count(is_reclaimable=False) == 0
    assert started.count(is_reclaimable=True) >= 10


def test_on_demand_workers_stay_until_reclaimable_ones_have_started(started):
    started.run(20, tokens_per_s=200_000)
    started.is_dry = True
    for zone in 'abc':
        started.reclaim(zone)
    started.run(12, tokens_per_s=200_000)
    before = started.count(is_reclaimable=False)
    started.is_dry = False
    least = before
    for _ in range(20):
        started.run(0.5, tokens_per_s=200_000)
        total = started.count(is_reclaimable=True)
        total += started.count(is_reclaimable=False)
        least = min(least, total)

    assert before >= 3
    assert least >= 200_000 / scaling.MIN_TOKENS_PER_WORKER


def test_a_dry_market_is_not_asked_without_end(started):
    started.run(20, tokens_per_s=200_000)
    started.is_dry = True
    started.reclaim('a')
    before = len(started.log)
    started.run(10, tokens_per_s=200_000)

    assert len(started.log) - before <= 12


def test_an_order_without_effect_is_sent_again(started):
    started.run(20, tokens_per_s=200_000)
    started.coming.clear()
    started.reclaim('a')
    started.step(200_000)
    started.coming.clear()
    before = len(started.log)
    started.run(8, tokens_per_s=200_000)

    started.run(4, tokens_per_s=200_000)

    assert len(started.log) > before
    assert started.held[('a', True)] > 0


def test_a_wave_of_demand_does_not_start_and_stop_workers(started):
    started.run(40, tokens_per_s=125_000)
    before = len(started.log)
    for _ in range(10):
        started.run(2, tokens_per_s=90_000)
        started.run(2, tokens_per_s=125_000)

    assert len(started.log) - before <= 4


def test_workers_on_their_way_are_not_doubled_by_on_demand_ones(started):
    started.run(60, tokens_per_s=30_000)
    started.run(10, tokens_per_s=200_000)

    ordered = [order for _, order in started.log if not order.is_reclaimable]
    assert all(not order.count for order in ordered[-2:])
    assert started.count(is_reclaimable=False) == 0


def test_a_wave_of_reclaims_is_met_before_its_second_loss(started):
    started.run(20, tokens_per_s=200_000)
    started.is_dry = True
    started.reclaim('a')
    started.run(6, tokens_per_s=200_000)
    started.reclaim('b')

    total = started.count(is_reclaimable=True)
    total += started.count(is_reclaimable=False)
    assert total * scaling.MIN_TOKENS_PER_WORKER >= 200_000
