"""Choice of serving entries: enough of them, from all data centres."""

import collections

import pytest

from citronjunction.membership import facts, serving

ZONES = ('z1', 'z2', 'z3', 'z4')


def make_states(count, running=0, with_more_cores=()):
    return [
        facts.EntryState(
            f'e{number}',
            1,
            1,
            f'10.0.0.{number}:80',
            f'10.0.0.{number}:81',
            ZONES[number % len(ZONES)],
            'r',
            0.0,
            running=running,
            cores=0.7 if number in with_more_cores else 0.5,
        )
        for number in range(count)
    ]


def test_all_entries_of_a_small_fleet_serve():
    states = make_states(12)

    assert serving.ServingSet(12).select(states, 0.0) == states


def test_a_subset_of_a_large_fleet_serves_from_all_data_centres():
    chosen = serving.ServingSet(12).select(make_states(60), 0.0)

    zones = collections.Counter(state.zone for state in chosen)
    assert zones == dict.fromkeys(ZONES, 3)


def test_entries_with_more_cores_serve_first():
    with_more_cores = {44, 45, 46, 47, 56, 57, 58, 59}
    chosen = serving.ServingSet(12).select(
        make_states(60, with_more_cores=with_more_cores), 0.0
    )

    names = {state.name for state in chosen}
    assert names >= {f'e{number}' for number in with_more_cores}


def test_more_entries_serve_under_load_and_for_some_time_after():
    serving_set = serving.ServingSet(12)
    calm = len(serving_set.select(make_states(60), 0.0))
    busy = len(serving_set.select(make_states(60, running=12), 1.0))
    after = len(serving_set.select(make_states(60), 11.0))
    later = len(serving_set.select(make_states(60), 200.0))

    assert calm == later == 12
    assert busy * 0.5 >= 12 * 60 * serving.CORES_PER_RUNNING * serving.HEADROOM
    assert calm < after <= busy


def test_the_choice_does_not_depend_on_the_order_of_entries():
    states = make_states(60, running=8)
    one = serving.ServingSet(12).select(states, 0.0)
    other = serving.ServingSet(12).select(states[::-1], 0.0)

    assert {state.name for state in one} == {state.name for state in other}


@pytest.mark.parametrize('lost', [1, 5, 11])
def test_lost_entries_are_replaced(lost):
    serving_set = serving.ServingSet(12)
    states = make_states(60)
    chosen = serving_set.select(states, 0.0)
    gone = {state.name for state in chosen[:lost]}
    left = [state for state in states if state.name not in gone]

    assert len(serving_set.select(left, 1.0)) == 12
