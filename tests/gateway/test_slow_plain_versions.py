"""Pattern: a new version of a plain service with few requests is slow at times.

A share of the requests that is small enough for a busy service brings a quiet
one too few samples to tell a fault before its rollout is due.
"""

import pytest

from tests.support import platform_system

DURATION_S = 15
GATEWAYS = 7
REQUESTS_PER_S = 14
SERVICE_S = 0.04
SLOW_FACTOR = 8
SLOW_PERCENT = 40
SHARE, SLACK = 0.1, 50  # of the requests that a bad version may get
PATHS = ('/safe/x', '/unsafe/x', '/unsafe/x')


def slow_down(system, name):
    """Make some of a worker's answers slow, at random."""
    worker = system.workers[name]
    accept = worker._accept

    def accept_slowly(exchange):
        is_slow = system.world.random.randrange(100) < SLOW_PERCENT
        worker.behaviour.service_time_s = SERVICE_S * (
            SLOW_FACTOR if is_slow else 1
        )
        accept(exchange)

    worker._accept = accept_slowly


def serve(system, seconds):
    for number in range(int(seconds * REQUESTS_PER_S)):
        system.send(
            PATHS[number % len(PATHS)],
            gateway=f'gateway-{system.world.random.randrange(GATEWAYS)}',
            method='POST',
        )
        system.world.run(1 / REQUESTS_PER_S)


def count(system):
    runs = {name: len(worker.runs) for name, worker in system.workers.items()}
    new = sum(runs[name] for name in runs if name.startswith('new'))
    return new, sum(runs.values())


def roll_out(seed, *, is_slow):
    """Return the final state and the requests of the new and all versions."""
    system = platform_system.PlatformSystem(seed)
    system.build(workers=2, gateways=GATEWAYS)
    for name in ('app-0', 'app-1'):
        system.workers[name].behaviour.service_time_s = SERVICE_S
    serve(system, 6)
    for name in ('new-0', 'new-1'):
        worker = system.add_worker(name, 'app', version='v2')
        worker.behaviour.service_time_s = SERVICE_S
        if is_slow:
            slow_down(system, name)
    _, before = count(system)
    system.store.put(
        'rollouts',
        'app',
        {'service': 'app', 'target': 'v2', 'durationS': DURATION_S},
        status={},
    )
    serve(system, DURATION_S + 1)
    status = system.store.objects[('rollouts', 'app')]['status']
    new, total = count(system)
    return status['state'], new, total - before


# Guards against EXPOSURE: a slow version of a quiet service that is kept.
@pytest.mark.parametrize('seed', range(5))
def test_a_version_of_a_quiet_service_that_is_slow_at_times_is_reverted(seed):
    state, new, total = roll_out(seed, is_slow=True)

    assert state == 'reverted'
    assert new <= SHARE * total + SLACK


@pytest.mark.parametrize('seed', range(2))
def test_an_equal_version_of_a_quiet_service_completes(seed):
    state, _, _ = roll_out(seed, is_slow=False)

    assert state == 'complete'
