"""A good version's rollout completes; a bad one gets little and reverts."""

import random

import pytest

from citronjunction.gateway import models, rollouts
from citronjunction.releases import evidence
from tests.support import platform_system

ROLLOUT = {'service': 'app', 'target': 'v2', 'durationS': 20}


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem().build(gateways=2)
    for _ in range(60):
        ask(system, 1)
    system.add_worker('new-0', 'app', version='v2')
    system.add_worker('new-1', 'app', version='v2')
    system.world.run(0.2)
    return system


def ask(system, count):
    for number in range(count):
        gateway = f'gateway-{number % 2}'
        system.send('/unsafe/x', gateway=gateway, method='POST')
    system.world.run(0.1)


def roll_out(system, seconds):
    system.store.put('rollouts', 'app', ROLLOUT, status={})
    for _ in range(int(seconds * 10)):
        ask(system, 4)


def get_status(system):
    return system.store.objects[('rollouts', 'app')]['status']


def count(system, names):
    return sum(len(system.workers[name].runs) for name in names)


def test_a_new_version_gets_nothing_before_its_rollout_and_little_at_first(
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
def test_a_bad_version_is_reverted_and_gets_no_more_requests(deployed, fault):
    for name in ('new-0', 'new-1'):
        behaviour = deployed.workers[name].behaviour
        if fault == 'fails':
            behaviour.failures_left = 10_000
        elif fault == 'slow':
            behaviour.service_time_s = 0.4
        else:
            host = deployed.worker_hosts[name]
            host.timers.call_later(
                5,
                lambda faulty=behaviour: setattr(
                    faulty, 'failures_left', 10_000
                ),
            )
    roll_out(deployed, 11)

    assert get_status(deployed) == {'state': 'reverted', 'target': 'v2'}
    total = count(deployed, deployed.workers)
    new = count(deployed, ('new-0', 'new-1'))
    assert new <= 0.1 * total + 50
    ask(deployed, 20)
    assert count(deployed, ('new-0', 'new-1')) == new


def test_a_restarted_entry_does_not_try_a_withdrawn_version_again(deployed):
    for name in ('new-0', 'new-1'):
        deployed.workers[name].behaviour.failures_left = 10_000
    roll_out(deployed, 4)
    # The state is not written, so that only peers know of the withdrawal.
    deployed.store.put(
        'rollouts',
        'app',
        deployed.store.objects[('rollouts', 'app')]['spec'],
        {'state': 'in_progress', 'target': 'v2'},
    )
    deployed.world.partition(['platform'], ['gateway-0', 'gateway-9'])
    deployed.gateway_hosts['gateway-1'].kill()
    restarted = deployed.add_gateway('gateway-9')
    deployed.world.run(3)

    trial = restarted.services.rollouts.trials['app']
    assert trial.withdrawal_reason


def remove_new_workers(system):
    for name in ('new-0', 'new-1'):
        system.store.remove('servers', name)
        system.worker_hosts[name].kill()


def test_a_version_without_workers_is_not_completed(deployed):
    remove_new_workers(deployed)
    roll_out(deployed, 30)

    assert get_status(deployed) == {'state': 'in_progress', 'target': 'v2'}
    before = count(deployed, ('app-0', 'app-1'))
    ask(deployed, 10)
    assert count(deployed, ('app-0', 'app-1')) == before + 10


def test_a_version_that_loses_its_workers_is_not_completed(deployed):
    roll_out(deployed, 8)
    remove_new_workers(deployed)
    for _ in range(150):
        ask(deployed, 4)

    assert get_status(deployed) == {'state': 'in_progress', 'target': 'v2'}


def test_a_version_whose_workers_start_late_is_tried_first(deployed):
    remove_new_workers(deployed)
    roll_out(deployed, 16)
    deployed.add_worker('new-2', 'app', version='v2')
    deployed.add_worker('new-3', 'app', version='v2')
    before = count(deployed, deployed.workers)
    for _ in range(30):
        ask(deployed, 4)

    new = count(deployed, ('new-2', 'new-3'))
    assert 1 <= new <= 0.15 * (count(deployed, deployed.workers) - before)


def test_doubt_stops_the_progress_of_a_trial():
    rollout = models.Rollout('app', 'v2', 20, 1, None)
    trial = rollouts.Trial(rollout, 0, evidence.FaultDetector(0.01))
    trial.record_workers(has_ready=True, now=0)
    for at in range(5, 10):
        trial.record_doubt(is_doubtful=True, now=at)
    trial.record_doubt(is_doubtful=False, now=10)

    assert trial.get_progress(12) * 20 == pytest.approx(7)


def test_a_rollout_without_workers_holds_no_orders_after_its_deadline():
    tracked = rollouts.Rollouts(random.Random(1), 0.01)
    tracked.update(models.Rollout('app', 'v2', 20, 1, None), 0)

    assert tracked.holds_workers('app', 19)
    assert not tracked.holds_workers('app', 21)
    tracked.trials['app'].record_workers(has_ready=True, now=21)
    assert tracked.holds_workers('app', 30)
