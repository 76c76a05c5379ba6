"""Entries of another writer do not keep gateways from following the store."""

import pytest

from tests.support import broken, platform_system

CONFIG_S = 3.0


def add_entry(system, wire):
    system.store.raw[broken.MARK] = wire
    spec = system.store.objects[('servers', 'app-0')]['spec']
    system.store.put('servers', 'foreign', {**spec, 'slots': broken.MARK})


# Guards against RECOVER: no gateway got ready after a kill.
@pytest.mark.parametrize('wire', broken.VALUES.values(), ids=broken.VALUES)
def test_gateways_start_beside_an_entry_that_can_not_be_read(wire):
    system = platform_system.PlatformSystem().build()
    add_entry(system, wire)
    system.gateway_hosts['gateway-0'].kill()
    system.world.run(1)
    system.start_again('gateway-0')
    system.world.run(3)

    assert system.gateways['gateway-0'].is_ready()
    assert system.ask('/unsafe/x', method='POST').status == 200


# Guards against DRAIN and CONFIG: removed workers stayed in use.
@pytest.mark.parametrize('wire', broken.VALUES.values(), ids=broken.VALUES)
def test_gateways_follow_workers_beside_an_entry_that_can_not_be_read(wire):
    system = platform_system.PlatformSystem().build()
    add_entry(system, wire)
    system.world.run(1)
    for name in ('app-0', 'app-1'):
        system.store.remove('servers', name)
    new = system.add_worker('app-9', 'app')
    system.world.run(CONFIG_S)

    for _ in range(5):
        assert system.ask('/safe/x', run_s=0.2).status == 200
    assert len(new.runs) == 5


@pytest.mark.parametrize(
    'odd',
    [
        {'addr': '10.8.0.1:99999'},
        {'addr': '10.8.0.1:-1'},
        {'addr': '10.8.0.1:0'},
        {'addr': '10.8.0.999:80'},
        {'addr': '1.2.3.4:' + '9' * 5000},
        {'slots': 10**400},
        {'slots': 0},
        {'coldLeftMs': float('inf')},
        {'coldLeftMs': float('-inf')},
        {'born': -1},
        {'born': 10**400},
        {'state': 'unknown'},
        {'service': ''},
    ],
)
def test_an_entry_out_of_range_names_no_worker(odd):
    system = platform_system.PlatformSystem().build()
    spec = system.store.objects[('servers', 'app-0')]['spec']
    system.store.put('servers', 'foreign', {**spec, **odd})
    system.world.run(1)

    gateway = system.gateways['gateway-0']
    assert 'foreign' not in gateway.services.fleet.workers
    assert system.ask('/unsafe/x', method='POST').status == 200
