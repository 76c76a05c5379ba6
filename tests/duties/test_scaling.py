"""Scaling decisions for typical demand and losses, without a network."""

import pytest

from citronjunction.duties import demand, scaling
from tests.support import scaled_platform


@pytest.fixture
def started():
    platform = scaled_platform.FakePlatform(
        {('a', False): 2, ('b', False): 2, ('c', False): 1}
    )
    platform.run(12)
    return platform


def test_reclaimable_workers_replace_on_demand_ones_before_traffic(started):
    assert started.count(is_reclaimable=True) >= 10
    assert started.count(is_reclaimable=False) == 0


def test_workers_that_register_late_are_counted_before_the_first_order():
    platform = scaled_platform.FakePlatform({})
    for number in range(8):
        platform.running[('abcd'[number % 4], False)] = 1 + number // 4
        platform.run(0.5)
        assert not platform.orders
    platform.run(10)

    # Twice the workers found, as far as the data centres have places.
    assert platform.count(is_reclaimable=True) == 12


def test_the_minimum_is_ordered_if_no_worker_registers():
    platform = scaled_platform.FakePlatform({})
    platform.run(4)
    assert not platform.orders
    platform.run(8)

    assert platform.count(is_reclaimable=True) == 4


def test_the_first_seconds_of_traffic_remove_no_worker(started):
    count_before = started.count(is_reclaimable=True)
    started.run(5, tokens_per_s=4000)

    assert started.count(is_reclaimable=True) == count_before


def test_low_demand_needs_fewer_workers(started):
    started.run(80, tokens_per_s=60_000)

    assert 4 <= started.count(is_reclaimable=True) <= 6


def test_a_burst_keeps_its_workers_for_a_while(started):
    started.run(20, tokens_per_s=80_000)
    started.run(4, tokens_per_s=300_000)
    started.run(6, tokens_per_s=80_000)

    assert started.count(is_reclaimable=True) == 12


def test_on_demand_workers_replace_reclaimed_ones_during_a_shortage(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    for zone in 'abc':
        started.reclaim(zone)
        started.run(3, tokens_per_s=200_000)
    started.run(5, tokens_per_s=200_000)

    total = started.count(is_reclaimable=True)
    total += started.count(is_reclaimable=False)
    assert total >= 8
    for zone in scaled_platform.PRICES:
        running = sum(
            started.running.get((zone, kind), 0) for kind in (True, False)
        )
        assert running <= scaled_platform.LIMITS.maximum


def test_on_demand_workers_stop_once_reclaimable_ones_are_back(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    started.reclaim('a')
    started.reclaim('b')
    started.run(8, tokens_per_s=200_000)
    assert started.count(is_reclaimable=False) > 0
    started.refuses_reclaimable = False
    started.run(20, tokens_per_s=200_000)

    assert started.count(is_reclaimable=False) == 0
    assert started.count(is_reclaimable=True) >= 10


def test_on_demand_workers_stay_until_reclaimable_ones_have_started(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    for zone in 'abc':
        started.reclaim(zone)
    started.run(12, tokens_per_s=200_000)
    count_before = started.count(is_reclaimable=False)
    started.refuses_reclaimable = False
    fewest = count_before
    for _ in range(20):
        started.run(0.5, tokens_per_s=200_000)
        total = started.count(is_reclaimable=True)
        total += started.count(is_reclaimable=False)
        fewest = min(fewest, total)

    assert count_before >= 3
    assert fewest >= 200_000 / demand.MAX_WORKER_TOKENS_PER_S


def test_orders_are_limited_while_the_platform_refuses(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    started.reclaim('a')
    count_before = len(started.orders)
    started.run(10, tokens_per_s=200_000)

    assert len(started.orders) - count_before <= 12


def test_an_order_without_effect_is_sent_again(started):
    started.run(20, tokens_per_s=200_000)
    started.starting.clear()
    started.reclaim('a')
    started.step(200_000)
    started.starting.clear()
    count_before = len(started.orders)
    started.run(8, tokens_per_s=200_000)

    started.run(4, tokens_per_s=200_000)

    assert len(started.orders) > count_before
    assert started.running[('a', True)] > 0


def test_oscillating_demand_does_not_start_and_stop_workers(started):
    started.run(40, tokens_per_s=125_000)
    count_before = len(started.orders)
    for _ in range(10):
        started.run(2, tokens_per_s=90_000)
        started.run(2, tokens_per_s=125_000)

    assert len(started.orders) - count_before <= 4


def test_starting_workers_are_not_duplicated_by_on_demand_ones(started):
    started.run(60, tokens_per_s=30_000)
    started.run(10, tokens_per_s=200_000)

    ordered = [order for _, order in started.orders if not order.is_reclaimable]
    assert all(not order.count for order in ordered[-2:])
    assert started.count(is_reclaimable=False) == 0


def test_capacity_is_prepared_for_the_second_loss_of_a_wave(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    started.reclaim('a')
    started.run(6, tokens_per_s=200_000)
    started.reclaim('b')

    total = started.count(is_reclaimable=True)
    total += started.count(is_reclaimable=False)
    assert total * demand.MAX_WORKER_TOKENS_PER_S >= 200_000


def lose_holder(platform, seconds, measured_after_s=2):
    """Decide nothing for a while, then go on with a new holder."""
    platform.now += seconds
    platform.scaler = scaling.Scaler('llm')
    platform.has_callers = True
    fewest = count_all(platform)
    for number in range(20):
        is_measured = number * 0.5 >= measured_after_s
        platform.run(0.5, tokens_per_s=200_000 if is_measured else None)
        fewest = min(fewest, count_all(platform))
    return fewest


def count_all(platform):
    return platform.count(is_reclaimable=True) + platform.count(
        is_reclaimable=False
    )


def test_a_new_holder_keeps_on_demand_workers_in_a_dry_reclaim_wave(started):
    # All data centres are reclaimed one by one; the store, and with it the
    # lease, is away while none can be had.
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    for zone in scaled_platform.PRICES:
        started.reclaim(zone)
        started.run(3, tokens_per_s=200_000)
    started.run(6, tokens_per_s=200_000)
    count_before = count_all(started)

    assert count_before >= 200_000 / demand.MAX_WORKER_TOKENS_PER_S
    assert lose_holder(started, 8) >= count_before


def test_a_new_holder_keeps_on_demand_workers_while_callers_return(started):
    # Their rate is low at first, as after a loss of all entries.
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    for zone in scaled_platform.PRICES:
        started.reclaim(zone)
    started.run(8, tokens_per_s=200_000)
    count_before = count_all(started)
    started.scaler = scaling.Scaler('llm')
    started.has_callers = True
    started.run(2)
    started.run(4, tokens_per_s=30_000)

    assert count_all(started) >= count_before > 0


def test_a_new_holder_replaces_on_demand_workers_by_reclaimable_ones(started):
    started.run(20, tokens_per_s=200_000)
    started.refuses_reclaimable = True
    started.reclaim('a')
    started.reclaim('b')
    started.run(8, tokens_per_s=200_000)
    assert started.count(is_reclaimable=False)
    started.refuses_reclaimable = False
    lose_holder(started, 4)
    started.run(12, tokens_per_s=200_000)

    assert not started.count(is_reclaimable=False)
