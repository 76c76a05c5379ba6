"""Bounds that a fleet keeps together hold while old entries are in it."""

import pytest

from citronjunction.membership import facts
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


def get_gateways(deployed, *, is_old):
    return [
        gateway
        for name, gateway in deployed.gateways.items()
        if (name in deployed.old_names) is is_old
    ]


# Guards against BRITTLE in an upgrade: an old entry takes the places of brittle
# workers without regard to others, so the new ones leave it its part.
@pytest.mark.parametrize('old_count', range(1, ENTRIES))
def test_new_entries_leave_old_ones_their_parts_of_places(old_count):
    deployed = build('257d141', old_count)
    press(deployed, 5, '/safe/x')
    worker = deployed.workers['app-0']
    start_key = (
        deployed.gateways['gateway-6']
        .services.fleet.workers[worker.name]
        .registration.start_key
    )

    for gateway in get_gateways(deployed, is_old=False):
        turn = gateway.services.fleet.brittleness.get_turn(
            start_key, deployed.world.now
        )
        assert turn.entries == ENTRIES
        assert turn.known_share <= (ENTRIES - old_count) / ENTRIES


# Guards against requests that an old entry would count twice.
def test_requests_are_forwarded_to_entries_that_know_marks_only():
    deployed = build('257d141', 4)
    for gateway in get_gateways(deployed, is_old=False):
        forwarder = gateway.services.forwarder
        names = {entry.name for entry in forwarder.select_live()}
        assert names == {'gateway-4', 'gateway-5', 'gateway-6'}


# Guards against BUDGET in an upgrade.
@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('old_count', [1, 3, 6])
def test_the_retry_budget_holds_in_mixed_fleets(commit, old_count):
    deployed = build(commit, old_count)
    for worker in deployed.workers.values():
        worker.behaviour.failures_left = 100_000
    answers = press(deployed, 20, '/safe/x')
    deployed.world.run(1)
    arrivals = sum(len(worker.arrivals) for worker in deployed.workers.values())

    assert arrivals - len(answers) <= 0.2 * len(answers) + 50


# Parts refused, withdrawn versions and leaving workers, by fact.
SHARED = {
    'suspect_part/7': lambda now: facts.SuspectPart(
        7, (('app-0/1000', now - 1, now), ('app-1/1000', now - 1, now)), 0
    ),
    'suspect/7': lambda now: facts.SuspectRequest(7, ('app-0',), now),
    'withdrawn/app/v2': lambda now: facts.WithdrawnVersion(
        'app', 'v2', 3, 'fails'
    ),
    'leaving_worker/app-0/1000': lambda now: facts.LeavingWorker(
        'app-0', 1000, now
    ),
    'stored_usage/7': lambda now: facts.StoredUsage(7, {'org': 3}, now),
}


@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('key', SHARED)
@pytest.mark.parametrize('origin', ['gateway-0', 'gateway-6'])
def test_what_old_entries_know_reaches_all_in_both_directions(
    commit, key, origin
):
    deployed = build(commit, 3)
    peers = deployed.gateways[origin].peers
    own = facts
    if origin in deployed.old_names:
        own = deployed.code.facts
    now = peers.loop.timers.wall_time()
    fact = SHARED[key](now)
    fields = {name: getattr(fact, name) for name in fact.__dataclass_fields__}
    peers.publish(getattr(own, type(fact).__name__)(**fields))
    deployed.world.run(2)

    for gateway in deployed.gateways.values():
        assert key in gateway.peers.table.facts_by_key


# Guards against CONFIG in an upgrade: entries without the store get copies.
@pytest.mark.parametrize('commit', old_reader.BUILDS)
@pytest.mark.parametrize('is_old', [False, True])
def test_configuration_is_copied_between_builds(commit, is_old):
    deployed = build(commit, 3 if is_old else 4)
    deployed.configure()
    deployed.world.run(2)
    name = 'gateway-3'
    deployed.world.partition([name], ['platform'])
    deployed.replace(name, is_old=not is_old)
    deployed.world.run(5)

    assert (
        deployed.gateways[name].services.configuration.version
        == deployed.configuration['version']
    )
