"""Bounds that a fleet keeps together hold while old entries are in it."""

import pytest

from tests.golden import old_reader
from tests.support import mixed_system

ENTRIES = 7
LIMIT_WINDOW_S = 4.0
STABLE_S = 3.0
QUOTA_WINDOW_S = 8.0
RATE = 8
BURST = 16
# The deployments allow a tenth more than rate and burst, and some slack.
QUOTA_ALLOWED = (RATE * QUOTA_WINDOW_S + BURST) * 1.28


def build(commit, old_count, quota=None):
    old_names = [f'gateway-{number}' for number in range(old_count)]
    deployed = mixed_system.MixedSystem(commit, old_names)
    if quota:
        deployed.configuration['tenants'][0].update(quota)
    return deployed.build(workers=3, gateways=ENTRIES)


def press(deployed, seconds, path, per_s=50):
    """Send requests to the entries in turn and return the answers."""
    answers = []
    for number in range(round(seconds * per_s)):
        method = 'POST' if path.startswith('/stream') else 'GET'
        gateway = f'gateway-{number % ENTRIES}'
        answers.append(deployed.send(path, gateway, method=method))
        deployed.world.run(1 / per_s)
    return answers


def count_worst(times, window_s):
    return max(
        (sum(0 <= at - start < window_s for at in times) for start in times),
        default=0,
    )


# Guards against LIMIT in an upgrade: 257d141 knows no limits of workers.
@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('path', ['/stream/x', '/safe/x'])
@pytest.mark.parametrize('old_count', range(1, ENTRIES))
def test_the_limit_of_a_worker_holds_at_every_split(commit, path, old_count):
    deployed = build(commit, old_count)
    name = 'llm-0' if path.startswith('/stream') else 'app-0'
    worker = deployed.workers[name]
    worker.behaviour.limit = '1'
    since = deployed.world.now + STABLE_S
    answers = press(deployed, 12, path)
    deployed.world.run(1)

    binding = [at for at in worker.arrived_at if at >= since]
    allowed = 1.5 * LIMIT_WINDOW_S + 5
    assert count_worst(binding, LIMIT_WINDOW_S) <= allowed
    assert all(answer.status == 200 for answer in answers)


# Guards against QUOTA in an upgrade.
@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('old_count', range(1, ENTRIES))
def test_the_quota_of_an_organisation_holds_at_every_split(commit, old_count):
    quota = {'ratePerS': RATE, 'burst': BURST}
    deployed = build(commit, old_count, quota)
    press(deployed, 20, '/safe/x')
    deployed.world.run(1)
    arrived = sorted(
        at for worker in deployed.workers.values() for at in worker.arrived_at
    )

    worst = count_worst(arrived, QUOTA_WINDOW_S)
    assert RATE * QUOTA_WINDOW_S / 2 <= worst <= QUOTA_ALLOWED


# Guards against QUOTA: entries are stopped and replaced one after the other.
@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('is_back', [False, True])
def test_the_quota_holds_over_an_upgrade_and_going_back(commit, is_back):
    quota = {'ratePerS': RATE, 'burst': BURST}
    deployed = build(commit, 0 if is_back else ENTRIES, quota)
    press(deployed, 4, '/safe/x')
    for name, host in tuple(deployed.gateway_hosts.items()):
        deployed.stop(name)
        press(deployed, 2, '/safe/x')
        deployed.world.run_until(lambda: not host.is_alive)
        deployed.replace(name, is_old=is_back)
        press(deployed, 3, '/safe/x')
    arrived = sorted(
        at for worker in deployed.workers.values() for at in worker.arrived_at
    )

    assert count_worst(arrived, QUOTA_WINDOW_S) <= QUOTA_ALLOWED
