"""Orders while a data centre is evacuated: its share is ordered elsewhere."""

import pytest

from citronjunction.duties import demand, models, scaling
from citronjunction.gateway import models as gateway

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9}
LIMITS = gateway.Scaling(1, 6, 4.0, 0.18, PRICES)
DEMAND = 8 * demand.TARGET_WORKER_TOKENS_PER_S
STEP_S = 0.5


class Platform:
    """Carry out orders at once; some data centres may be evacuated."""

    def __init__(self):
        self.scaler = scaling.Scaler('llm')
        self.now = 100.0
        self.closed = set()
        self.orders = []
        self.running = {(zone, True): 2 for zone in PRICES}

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            workers = {
                key: scaling.WorkerCount(count)
                for key, count in self.running.items()
            }
            state = scaling.UpstreamState(
                LIMITS, workers, DEMAND, closed_zones=self.closed
            )
            for order in self.scaler.decide(state, self.now):
                self.scaler.record_sent(order, self.now)
                accepted = models.CallResult.accepted
                self.scaler.record_result(order, accepted, self.now)
                self.orders.append(order)
                self.running[(order.zone, order.is_reclaimable)] = order.count
            self.now += STEP_S

    def count_open(self):
        return sum(
            count
            for (zone, _), count in self.running.items()
            if zone not in self.closed
        )


@pytest.fixture
def platform():
    platform = Platform()
    platform.run(30)
    platform.orders.clear()
    return platform


def test_the_share_is_ordered_elsewhere_at_the_next_decision(platform):
    before = platform.count_open()
    platform.closed = {'b'}
    platform.run(STEP_S)

    assert platform.count_open() >= before
    assert {order.zone for order in platform.orders} <= {'a', 'c', 'd'}


def test_what_is_there_is_kept(platform):
    before = platform.running[('b', True)]
    platform.closed = {'b'}
    platform.run(60)

    assert platform.running[('b', True)] == before


def test_nothing_shrinks_elsewhere_before_it_may_carry_its_share(platform):
    platform.closed = {'b'}
    platform.run(20)
    platform.orders.clear()
    elsewhere = platform.count_open()
    platform.closed = set()
    platform.run(demand.SHRINK_DELAY_S - STEP_S)
    assert not platform.orders
    platform.run(30)

    assert platform.count_open() < elsewhere + 2


def test_no_orders_are_sent_while_all_are_evacuated(platform):
    platform.closed = set(PRICES)
    platform.run(30)

    assert not platform.orders
