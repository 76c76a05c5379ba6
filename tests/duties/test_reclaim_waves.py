"""Dry reclaim waves: data centres lose their workers one after the other.

None can be had there for a while, and the holder of the duties may change.
"""

import pytest

from citronjunction.duties import demand
from citronjunction.gateway import models as gateway
from tests.support import scaled_platform

ZONES = ('a', 'b', 'c', 'd')
LIMITS = gateway.Scaling(1, 28, 4.0, 0.18, scaled_platform.PRICES)
NEED = 46
DEMAND = NEED * demand.TARGET_WORKER_TOKENS_PER_S
MIN_WORKERS = DEMAND / demand.MAX_WORKER_TOKENS_PER_S


@pytest.fixture
def platform():
    started = scaled_platform.FakePlatform(
        {(zone, True): 12 for zone in ZONES}, LIMITS
    )
    started.run(30, DEMAND)
    return started


def lose(platform, zone):
    platform.dry_zones.add(zone)
    platform.reclaim(zone)


def count_all(platform):
    return sum(platform.running.values())


def run_and_find_fewest(platform, seconds):
    fewest = count_all(platform)
    for _ in range(round(seconds * 2)):
        platform.run(0.5, DEMAND)
        fewest = min(fewest, count_all(platform))
    return fewest


def test_other_data_centres_carry_the_share_of_a_short_one(platform):
    lose(platform, 'a')
    platform.run(8, DEMAND)

    assert platform.count(is_reclaimable=True) >= NEED


def test_a_new_holder_stops_no_worker_that_is_needed(platform):
    lose(platform, 'a')
    lose(platform, 'b')
    platform.run(10, DEMAND)
    before = platform.count(is_reclaimable=True)
    platform.replace_holder(observed_s=15, tokens_per_s=DEMAND)

    assert before >= NEED
    assert run_and_find_fewest(platform, 6) >= NEED


def test_the_third_loss_leaves_enough_workers(platform):
    lose(platform, 'a')
    platform.run(3, DEMAND)
    lose(platform, 'b')
    platform.run(8, DEMAND)
    lose(platform, 'c')

    assert run_and_find_fewest(platform, 8) >= MIN_WORKERS


def test_two_more_losses_at_once_leave_enough_workers(platform):
    lose(platform, 'a')
    lose(platform, 'b')
    platform.run(10, DEMAND)
    lose(platform, 'c')
    lose(platform, 'd')

    assert run_and_find_fewest(platform, 8) >= MIN_WORKERS


def test_workers_stay_until_those_of_returned_data_centres_have_started(
    platform,
):
    lose(platform, 'a')
    lose(platform, 'b')
    platform.run(12, DEMAND)
    platform.dry_zones.clear()

    assert run_and_find_fewest(platform, 20) >= NEED
    assert platform.count(is_reclaimable=False) == 0
    assert platform.count(is_reclaimable=True) <= NEED + len(ZONES)


def test_a_short_data_centre_is_asked_again_without_haste(platform):
    lose(platform, 'a')
    platform.orders.clear()
    platform.run(20, DEMAND)

    asked = [
        order
        for _, order in platform.orders
        if order.zone == 'a' and order.is_reclaimable
    ]
    assert 8 <= len(asked) <= 14


def test_a_new_holder_that_has_measured_the_demand_orders_at_once(platform):
    for zone in 'abc':
        lose(platform, zone)
    platform.replace_holder(observed_s=15, tokens_per_s=DEMAND)
    platform.orders.clear()
    platform.step(DEMAND)

    ordered = {order.zone: order.count for _, order in platform.orders}
    assert ordered.keys() >= {'a', 'b', 'c'}
    assert sum(ordered.values()) + platform.running['d', True] >= NEED


def test_an_entry_without_the_lease_forgets_its_own_orders(platform):
    platform.scaler.observe(platform.build_state(DEMAND), platform.now)

    assert not platform.scaler.sent


def test_a_new_holder_stops_no_on_demand_worker_before_it_knows_the_short(
    platform,
):
    platform.has_callers = True
    for zone in 'abc':
        lose(platform, zone)
    platform.run(8, DEMAND)
    before = platform.count(is_reclaimable=False)
    platform.replace_holder(observed_s=15, tokens_per_s=DEMAND)
    platform.step(DEMAND)

    assert platform.count(is_reclaimable=False) >= min(before, NEED - 28)
    assert run_and_find_fewest(platform, 6) >= NEED


def test_on_demand_workers_stay_for_a_burst_while_none_can_be_had(platform):
    for zone in ZONES:
        lose(platform, zone)
    platform.run(8, DEMAND)
    before = platform.count(is_reclaimable=False)
    platform.run(20, 0.8 * DEMAND)

    assert before >= MIN_WORKERS
    assert platform.count(is_reclaimable=False) >= 0.95 * before


def test_on_demand_workers_beyond_the_need_stop_also_while_none_can_be_had(
    platform,
):
    for zone in ZONES:
        lose(platform, zone)
    platform.run(8, DEMAND)
    platform.run(60, 0.1 * DEMAND)

    assert platform.count(is_reclaimable=False) <= NEED / 3
