"""Places of brittle workers while entries are cut off from all workers."""

import enum

import pytest

from citronjunction.gateway import place_division, reachability
from citronjunction.membership import facts
from tests.support import platform_system

ENTRIES = 5
WORKERS = 4
SLOTS = 6
SERVICE_S = 0.2
CAPACITY_PER_S = WORKERS * SLOTS / SERVICE_S
STABLE_S = 3.0  # after the workers said first that they are brittle, or a cut
USER_TIMEOUT_S = 3.5
ALLOWED_FALLS = 2 + WORKERS / 10


class Cut(enum.Enum):
    """How the links to the workers fail."""

    silent = 'silent'
    refused = 'refused'


def deploy(rejections, seed=0, **behaviour):
    """Start entries and brittle workers."""
    deployed = platform_system.LinkedSystem(seed).build(
        workers=WORKERS, gateways=ENTRIES
    )
    deployed.world.user_timeout_s = USER_TIMEOUT_S
    for worker in deployed.workers.values():
        worker.behaviour.brittle = str(rejections)
        worker.behaviour.slots = SLOTS
        worker.behaviour.service_time_s = SERVICE_S
        for name, setting in behaviour.items():
            setattr(worker.behaviour, name, setting)
    return deployed


def cut(deployed, how, names):
    """Cut entries off from all workers."""
    match how:
        case Cut.silent:
            deployed.world.partition(names, deployed.workers)
        case Cut.refused:
            deployed.world.refuse(names, deployed.workers)


def press(deployed, seconds, per_s, names=None, path='/safe/x'):
    names = names or list(deployed.gateways)
    return deployed.press(names, seconds, per_s, path)


def make_state(name):
    return facts.EntryState(name, 1, 1, '', '', 'z1', 'r1', 0)


def make_report(name, sequence, *upstreams):
    return facts.LostUpstreams(
        name, 1, sequence, upstreams, is_cut_off=False, noticed_at=0
    )


@pytest.fixture
def reach():
    return reachability.Reachability()


@pytest.fixture
def heard():
    return {'b', 'c'}


@pytest.fixture
def divide(reach, heard):
    division = place_division.PlaceDivision(
        'a', reach, lambda name, now: name in heard
    )
    serving = {name: make_state(name) for name in 'abc'}
    return lambda now: division.divide('app', serving, now)


def measure_served(answers):
    return sum(answer.status == 200 for answer in answers) / len(answers)


def count_falls(deployed, since):
    return sum(
        at >= since
        for worker in deployed.workers.values()
        for at in worker.fell_at
    )


# Guards against RECOVER: places that cut-off entries can't use stay unused.
@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize('count', [3, 4])
def test_others_use_the_places_of_cut_off_entries(how, count):
    deployed = deploy(5)
    names = list(deployed.gateways)
    press(deployed, 3, CAPACITY_PER_S / 2)
    cut(deployed, how, names[:count])
    press(deployed, STABLE_S, CAPACITY_PER_S * 0.6)
    answers = press(deployed, 5, CAPACITY_PER_S * 0.6)
    deployed.world.run(1)

    assert measure_served(answers) >= 0.8


# Guards against LIMIT for brittle workers: places that two entries use at once.
@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize('count', [1, 2, 4, 5])
@pytest.mark.parametrize('rejections', [2, 5])
def test_entries_that_are_cut_off_and_return_make_few_workers_fall(
    how, count, rejections
):
    deployed = deploy(rejections)
    names = list(deployed.gateways)
    since = deployed.world.now + STABLE_S
    press(deployed, 3, CAPACITY_PER_S / 2)
    cut(deployed, how, names[:count])
    press(deployed, 6, CAPACITY_PER_S * 1.5)
    deployed.world.heal()
    press(deployed, 6, CAPACITY_PER_S * 1.5)

    assert count_falls(deployed, since) <= ALLOWED_FALLS


# Guards against LIMIT: an entry returns, and its peers don't hear of it.
@pytest.mark.parametrize('count', [1, 4])
def test_entries_that_return_unheard_make_few_workers_fall(count):
    deployed = deploy(2)
    names = list(deployed.gateways)
    since = deployed.world.now + STABLE_S
    press(deployed, 3, CAPACITY_PER_S / 2)
    cut(deployed, Cut.refused, names[:count])
    press(deployed, 5, CAPACITY_PER_S * 1.5)
    deployed.world.heal()
    deployed.world.partition(names[:count], names[count:])
    press(deployed, 6, CAPACITY_PER_S * 1.5)

    assert count_falls(deployed, since) <= ALLOWED_FALLS


# Guards against LIMIT: streams of its peers hold a returning entry's places.
def test_entries_that_return_to_long_streams_make_few_workers_fall():
    deployed = deploy(2, event_count=30, event_interval_s=0.1)
    names = list(deployed.gateways)
    since = deployed.world.now + STABLE_S
    press(deployed, 3, 10, path='/stream/x')
    cut(deployed, Cut.silent, names[:3])
    press(deployed, 8, 20, path='/stream/x')
    deployed.world.heal()
    press(deployed, 8, 20, path='/stream/x')

    assert count_falls(deployed, since) <= ALLOWED_FALLS


def test_entries_that_return_use_their_part_again():
    deployed = deploy(5)
    names = list(deployed.gateways)
    press(deployed, 3, CAPACITY_PER_S / 2)
    cut(deployed, Cut.refused, names[:4])
    press(deployed, 5, CAPACITY_PER_S / 2)
    deployed.world.heal()
    press(deployed, STABLE_S, CAPACITY_PER_S / 2)
    answers = press(deployed, 3, CAPACITY_PER_S / 2)
    deployed.world.run(1)

    assert measure_served(answers) >= 0.9


def test_an_entry_has_no_part_while_it_reports_an_upstream_as_lost(
    divide, reach
):
    reach.apply_report(make_report('b', 1, 'app'), 10)
    reach.apply_report(make_report('c', 1, 'llm'), 10)
    assert divide(10.5) == place_division.Division(['a', 'b', 'c'], 0)
    reach.apply_report(make_report('b', 2, 'app'), 11)
    assert divide(11.5) == place_division.Division(['a', 'c'], 1)
    assert divide(22) == place_division.Division(['a', 'c'], 0)
    reach.apply_report(make_report('b', 3), 22)
    assert divide(22.1) == place_division.Division(['a', 'b', 'c'], 1)
    assert divide(33) == place_division.Division(['a', 'b', 'c'], 0)


# Guards against falls: an entry that is not heard may have returned.
def test_an_entry_that_is_not_heard_keeps_its_part(divide, reach, heard):
    reach.apply_report(make_report('b', 1, 'app'), 10)
    assert divide(12).names == ['a', 'c']
    heard.remove('b')

    assert divide(12).names == ['a', 'b', 'c']


# Guards against falls: peers use an entry's places until they know of its return.
def test_an_entry_that_returns_only_uses_places_that_all_leave_free(
    divide, reach
):
    reach.lost.add('app')
    assert divide(10) == place_division.Division(['a', 'b', 'c'], 3)
    assert reach.record_success('app', 11)
    assert divide(12) == place_division.Division(['a', 'b', 'c'], 3)
    assert divide(14) == place_division.Division(['a', 'b', 'c'], 1)
    assert divide(22) == place_division.Division(['a', 'b', 'c'], 0)
