"""Watches of the store: configuration, workers and store outages."""

import pytest

from tests.support import platform_system


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build()


def test_a_draining_worker_gets_no_new_request(deployed):
    deployed.set_state('app-0', 'draining')
    deployed.world.run(0.1)

    for _ in range(6):
        assert deployed.ask('/safe/x', run_s=0.3).status == 200
    assert not deployed.workers['app-0'].runs


def test_a_worker_whose_registration_vanished_is_unused_within_two_seconds(
    deployed,
):
    deployed.store.remove('servers', 'app-0')
    deployed.world.run(1.5)

    for _ in range(6):
        assert deployed.ask('/safe/x', run_s=0.3).status == 200
    assert not deployed.workers['app-0'].runs


def test_registrations_that_return_after_an_outage_are_used_again(deployed):
    gateway = deployed.gateways['gateway-0']
    deployed.store.is_down = True
    deployed.world.run(8)
    names = ('app-0', 'app-1')
    specs = {
        name: deployed.store.objects[('servers', name)]['spec']
        for name in names
    }
    for name in names:
        deployed.store.remove('servers', name)
    deployed.store.is_down = False
    deployed.world.run(1.2)
    assert deployed.ask('/safe/x', run_s=0.3).status == 200
    for name, spec in specs.items():
        deployed.store.put('servers', name, spec)
    deployed.world.run(4)

    assert not gateway.services.fleet.workers['app-0'].is_absent
    assert deployed.ask('/safe/x', run_s=0.3).status == 200


def test_a_new_configuration_takes_effect_at_once(deployed):
    routes = [
        platform_system.make_route('new', '/new/', 'safe', 'app'),
    ]
    deployed.configure(routes=routes)
    deployed.world.run(0.1)

    assert deployed.ask('/new/x', run_s=0.3).status == 200
    assert deployed.ask('/safe/x', run_s=0.3).status == 404


def test_an_older_configuration_is_ignored(deployed):
    deployed.configure(routes=[])
    deployed.world.run(0.1)
    old = {**deployed.configuration, 'version': 1}
    deployed.store.put('config', 'main', old)
    deployed.world.run(0.1)

    assert deployed.gateways['gateway-0'].services.configuration.version == 2


def test_objects_are_listed_again_if_the_history_was_compacted(deployed):
    deployed.store.is_down = True
    deployed.world.run(7)
    deployed.configure(routes=[])
    deployed.store.compact()
    deployed.store.is_down = False
    deployed.world.run(3)

    assert deployed.gateways['gateway-0'].services.configuration.version == 2


@pytest.mark.parametrize(
    'spec',
    [
        {},
        {'service': 'app'},
        {'service': 3, 'addr': '10.8.0.1:1', 'zone': 'z', 'state': 'ready'},
        {'service': 'app', 'addr': 'x', 'zone': 'z', 'state': 'ready'},
        {'service': 'app', 'addr': '10.8.0.1:1', 'zone': 'z', 'state': 'odd'},
        'bytes',
        None,
    ],
)
def test_a_malformed_registration_adds_no_worker(deployed, spec):
    deployed.store.put('servers', 'odd', spec)
    deployed.world.run(0.1)

    assert 'odd' not in deployed.gateways['gateway-0'].services.fleet.workers
    assert deployed.ask('/safe/x', run_s=0.3).status == 200


def test_a_worker_that_starts_again_under_its_name_is_a_new_worker(deployed):
    fleet = deployed.gateways['gateway-0'].services.fleet
    before = fleet.workers['app-0']
    deployed.set_state('app-0', 'ready', born=2000)
    deployed.world.run(0.1)
    after = fleet.workers['app-0']
    deployed.set_state('app-0', 'draining', born=1000)
    deployed.world.run(0.1)

    assert after is not before
    assert before.is_draining
    assert not fleet.workers['app-0'].is_draining


def test_a_restarted_gateway_syncs_from_peers_while_the_store_is_down():
    deployed = platform_system.PlatformSystem().build(gateways=2)
    deployed.store.is_down = True
    deployed.gateway_hosts['gateway-1'].kill()
    deployed.world.run(1)
    deployed.add_gateway('gateway-2')
    deployed.world.run(3)

    assert deployed.gateways['gateway-2'].is_ready()
    answer = deployed.ask('/safe/x', gateway='gateway-2', run_s=0.3)
    assert answer.status == 200


def test_a_gateway_without_access_to_the_store_syncs_from_peers():
    deployed = platform_system.PlatformSystem().build(gateways=2)
    deployed.world.partition(['platform'], ['gateway-1'])
    deployed.configure(routes=[])
    deployed.set_state('app-0', 'draining')
    deployed.world.run(8)

    services = deployed.gateways['gateway-1'].services
    assert services.configuration.version == 2
    assert services.fleet.workers['app-0'].is_draining


@pytest.mark.parametrize('lead_s', [0.0, 0.4, 0.9, 2.0, 4.0])
def test_watches_resume_soon_after_a_silent_outage_of_the_store(lead_s):
    deployed = platform_system.PlatformSystem().build()
    deployed.world.run(lead_s)
    deployed.store.is_down = True
    deployed.world.run(4.5)
    deployed.store.is_down = False
    deployed.world.run(0.8)
    deployed.configure(routes=[])
    deployed.world.run(2.0)

    services = deployed.gateways['gateway-0'].services
    assert services.configuration.version == 2


def test_an_idle_gateway_makes_few_calls_to_the_store(deployed):
    deployed.world.run(10)
    before = deployed.store.calls
    deployed.world.run(20)

    watches = 20 / 10 * 2 + 1
    probes = 20
    lease = 20 / 2
    assert deployed.store.calls - before <= watches + probes + lease + 6


def test_changes_that_come_together_share_calls(deployed):
    deployed.world.run(5)
    before = deployed.store.calls
    for number in range(10):
        deployed.add_worker(f'more-{number}', 'app')
        deployed.world.run(0.02)
    deployed.world.run(0.5)

    assert deployed.store.calls - before <= 6
    fleet = deployed.gateways['gateway-0'].services.fleet
    assert len(fleet.select('app')) == 12


# A wrong figure must not lift or tighten the quota that is in force.
def test_the_last_usable_quota_stays_in_force(deployed):
    gateway = deployed.gateways['gateway-0']
    tenant = platform_system.make_tenant('org', 5, 10, 1)
    deployed.configure(tenants=[tenant])
    deployed.world.run(0.2)
    deployed.configure(tenants=[{**tenant, 'burst': -1}])
    deployed.world.run(0.2)

    configured = gateway.services.configuration
    assert configured.version == deployed.configuration['version']
    assert configured.organisations['org'].quota.burst == 10
    assert gateway.log.find('org')[-1]['decision'] == 'quota kept'
