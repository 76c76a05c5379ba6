"""Stored records of landed builds in the present one, and of this in theirs."""

import copy

import pytest

from citronjunction.duties import checkpoint, lease_client, reporting
from tests.golden import old_reader
from tests.support import mixed_system, platform_system

LEASE = (lease_client.KIND, lease_client.NAME)
SAMPLES = {build: old_reader.load(build) for build in old_reader.BUILDS}
PHASES = [
    (build, phase) for build in SAMPLES for phase in SAMPLES[build]['stored']
]


def restore(deployed, stored):
    """Put the recorded objects into the store of a deployment."""
    for kind, objects in stored['objects'].items():
        for name, recorded in objects.items():
            deployed.store.put(kind, name, copy.deepcopy(recorded['spec']))
            deployed.store.objects[(kind, name)]['status'] = recorded['status']


def start(build, phase):
    """Start entries on the records of a build, at the time of the records."""
    stored = SAMPLES[build]['stored'][phase]
    deployed = platform_system.PlatformSystem()
    deployed.configuration['tenants'][0].update({'ratePerS': 20, 'burst': 10})
    deployed.world.run(stored['at'] - deployed.world.now)
    restore(deployed, stored)
    deployed.add_worker('app-new', 'app', version='v2')
    return deployed.build(gateways=2), stored['objects']


@pytest.mark.parametrize(('build', 'phase'), PHASES)
def test_the_lease_of_a_landed_build_is_taken_over(build, phase):
    deployed, recorded = start(build, phase)
    deployed.world.run(6)

    before = recorded['citron-leases']['duties']['spec']
    after = deployed.store.objects[LEASE]['spec']
    assert after['epoch'] == before['epoch'] + 1
    assert after['holder'].startswith('gateway-')
    assert before.keys() <= after.keys()


@pytest.mark.parametrize(('build', 'phase'), PHASES)
def test_the_usage_of_a_landed_build_is_reported_as_it_was_stored(build, phase):
    deployed, recorded = start(build, phase)
    deployed.world.run(20)

    stored = recorded[reporting.KIND]
    reports = deployed.cloud.group_usage()
    for window, counts in reports.items():
        if str(window) in stored:
            assert counts == [stored[str(window)]['spec']['counts']]
    checkpointed = recorded[checkpoint.KIND][checkpoint.NAME]['spec']['begun']
    total = sum(
        count
        for windows in checkpointed.values()
        for window, counts in windows.items()
        if window not in stored
        for count in counts.values()
    )
    reported = sum(
        count
        for window, counts in reports.items()
        if str(window) not in stored
        for count in counts[0].values()
    )
    assert reported == total


@pytest.mark.parametrize(('build', 'phase'), PHASES)
def test_the_quota_use_of_a_landed_build_counts_on(build, phase):
    deployed, recorded = start(build, phase)

    used = recorded[checkpoint.KIND][checkpoint.NAME]['spec']['used']
    assert used
    for gateway in deployed.gateways.values():
        assert gateway.services.quotas.is_past_use_known


@pytest.mark.parametrize(
    ('phase', 'version'), [('begun', 'v1'), ('over', 'v2')]
)
@pytest.mark.parametrize('build', SAMPLES)
def test_the_rollout_of_a_landed_build_goes_on(build, phase, version):
    deployed, _ = start(build, phase)
    for _ in range(10):
        assert deployed.ask('/safe/x', run_s=0.2).status == 200
    runs = {
        name: len(worker.runs)
        for name, worker in deployed.workers.items()
        if name.startswith('app')
    }

    new_runs = runs.pop('app-new')
    assert (new_runs > sum(runs.values())) == (version == 'v2')


@pytest.mark.parametrize('build', SAMPLES)
@pytest.mark.parametrize('old_count', [0, 2])
def test_builds_take_the_lease_over_from_each_other(build, old_count):
    names = ('gateway-0', 'gateway-1')
    deployed = mixed_system.MixedSystem(build, names[:old_count])
    deployed.build(gateways=2)
    for name in names:
        for number in range(10):
            deployed.send('/safe/x', gateway=names[number % 2])
            deployed.world.run(0.5)
        deployed.world.run(2)
        deployed.replace(name, is_old=not old_count)
        deployed.world.run(3)
    deployed.world.run(15)

    lease = deployed.store.objects[LEASE]['spec']
    assert lease['epoch'] >= 2
    reports = deployed.cloud.group_usage()
    assert sum(counts[0]['org'] for counts in reports.values()) == 20
    for counts in reports.values():
        assert all(again == counts[0] for again in counts)


def test_a_lease_of_an_unknown_format_is_left_alone(caplog):
    deployed = platform_system.PlatformSystem()
    spec = {'format': 2, 'owner': 'someone'}
    deployed.store.put(*LEASE, dict(spec))
    deployed.build(gateways=2)
    deployed.world.run(15)

    assert deployed.store.objects[LEASE]['spec'] == spec
    lines = [line for line in caplog.messages if 'has format 2' in line]
    assert len(lines) == 2  # one of each entry
    assert not deployed.cloud.group_usage()


def test_counts_of_an_unknown_format_are_left_alone():
    deployed = platform_system.PlatformSystem().build()
    window = int(deployed.gateway_hosts['gateway-0'].timers.wall_time() // 5)
    spec = {'format': 2, 'sums': {}}
    deployed.store.put(reporting.KIND, str(window), dict(spec))
    assert deployed.ask('/safe/x').status == 200
    deployed.world.run(15)

    stored = deployed.store.objects[(reporting.KIND, str(window))]
    assert stored['spec'] == spec
    assert window not in deployed.cloud.group_usage()
