"""Rollouts: a good version completes, a bad one gets little and reverts."""

import pytest

from tests.support import platform_system

ORDER = {'service': 'app', 'target': 'v2', 'durationS': 20}


@pytest.fixture
def deployed():
    held = platform_system.PlatformSystem().build(gateways=2)
    for _ in range(60):
        ask(held, 1)
    held.add_worker('new-0', 'app', version='v2')
    held.add_worker('new-1', 'app', version='v2')
    held.world.run(0.2)
    return held


def ask(held, count):
    for number in range(count):
        gateway = f'gateway-{number % 2}'
        held.send('/unsafe/x', gateway=gateway, method='POST')
    held.world.run(0.1)


def roll_out(held, seconds):
    held.store.put('rollouts', 'app', ORDER, status={})
    for _ in range(int(seconds * 10)):
        ask(held, 4)


def get_status(held):
    return held.store.objects[('rollouts', 'app')]['status']


def count(held, names):
    return sum(len(held.workers[name].runs) for name in names)


def test_before_the_order_the_new_version_gets_nothing_once_ordered_little(
    deployed,
):
    roll_out(deployed, 8)

    new = count(deployed, ('new-0', 'new-1'))
    assert 1 <= new <= 0.1 * 4 * 80 + 8
    assert get_status(deployed) == {'state': 'in_progress', 'target': 'v2'}


def test_a_good_version_completes_before_its_deadline(deployed):
    roll_out(deployed, 19.5)

    assert get_status(deployed)['state'] == 'complete'
    before = count(deployed, ('app-0', 'app-1'))
    ask(deployed, 10)
    assert count(deployed, ('app-0', 'app-1')) == before


@pytest.mark.parametrize('fault', ['fails', 'slow', 'late'])
def test_a_bad_version_is_reverted_and_gets_no_more(deployed, fault):
    for name in ('new-0', 'new-1'):
        behaviour = deployed.workers[name].behaviour
        if fault == 'fails':
            behaviour.failures_left = 10_000
        elif fault == 'slow':
            behaviour.service_time_s = 0.4
        else:
            host = deployed.worker_hosts[name]
            host.timers.call_later(
                5, lambda held=behaviour: setattr(held, 'failures_left', 10_000)
            )
    roll_out(deployed, 11)

    assert get_status(deployed) == {'state': 'reverted', 'target': 'v2'}
    total = count(deployed, deployed.workers)
    new = count(deployed, ('new-0', 'new-1'))
    assert new <= 0.1 * total + 50
    ask(deployed, 20)
    assert count(deployed, ('new-0', 'new-1')) == new
