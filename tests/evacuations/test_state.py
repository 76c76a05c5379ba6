"""What is evacuated when, as orders come, go and are restored."""

import pytest

from citronjunction.evacuations import models, state


def order(zone, revision=1):
    return models.Order(zone, revision)


def test_everything_is_closed_until_the_orders_are_known():
    evacuations = state.Evacuations(is_known=False)

    assert evacuations.closes('a')
    assert not evacuations.assume_none(100, 5)
    assert not evacuations.assume_none(104.9, 5)
    assert evacuations.assume_none(105, 5)
    assert not evacuations.closes('a')


def test_assuming_none_opens_no_ordered_data_centre():
    evacuations = state.Evacuations(is_known=False)
    evacuations.begin(order('a'), 100)
    evacuations.assume_none(100, 5)
    evacuations.assume_none(105, 5)

    assert evacuations.closes('a')
    assert not evacuations.closes('b')


def test_a_second_order_keeps_the_time_of_the_first():
    evacuations = state.Evacuations()
    assert evacuations.begin(order('a'), 100)
    assert not evacuations.begin(order('a', 2), 103)

    assert evacuations.remove('a', 110).since == 100
    assert not evacuations.closes('a')


def test_a_removal_by_a_restore_waits_for_a_second_order():
    evacuations = state.Evacuations()
    evacuations.begin(order('a'), 100)
    evacuations.begin(order('b'), 100)
    evacuations.begin_era(110)
    assert evacuations.remove('a', 110.2) is None
    assert evacuations.remove('b', 110.2) is None
    evacuations.begin(order('b'), 112)

    assert not evacuations.expire(114)
    assert [ended.order.zone for ended in evacuations.expire(114.6)] == ['a']
    assert evacuations.closes('b')


def test_an_unknown_order_ends_nothing():
    evacuations = state.Evacuations()
    evacuations.begin_era(100)

    assert evacuations.remove('a', 101) is None
    assert not evacuations.expire(200)


@pytest.mark.parametrize(
    ('lasted_s', 'return_s'), [(0, 1), (0.4, 1), (3, 3), (600, 5)]
)
def test_the_time_to_return_follows_the_latest_evacuation(lasted_s, return_s):
    evacuations = state.Evacuations()
    evacuations.begin(order('a'), 10)
    evacuations.begin(order('b'), 100)

    assert evacuations.get_return_s(100 + lasted_s) == return_s
