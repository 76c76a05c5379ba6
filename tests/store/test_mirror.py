"""A mirror goes on after errors and long outages."""

import pytest

from citronjunction.store import mirror
from tests.support import platform_system

CONFIG_S = 3.0
LONG_OUTAGE_S = 900.0
STEPS = ['_on_list', '_on_watch', '_watch', '_list', 'start', '_retry']


@pytest.fixture
def system():
    return platform_system.PlatformSystem().build()


def add_route(system):
    route = platform_system.make_route('new', '/new/', 'safe', 'app')
    system.configure(routes=[*system.configuration['routes'], route])


# Guards against CONFIG: the pause of the 1025th retry overflowed.
def test_a_mirror_goes_on_after_lists_failed_for_long(system):
    system.store.fails_lists = True
    system.store.cut_watches()
    system.world.run(LONG_OUTAGE_S)
    system.store.fails_lists = False
    add_route(system)
    system.set_state('app-0', 'draining')
    system.world.run(CONFIG_S)

    workers = system.gateways['gateway-0'].services.fleet.workers
    assert workers['app-0'].is_draining
    assert system.ask('/new/x').status == 200


# Guards against CONFIG: a mirror that met an error stopped for good.
@pytest.mark.parametrize('call', [1, 2, 5])
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize(
    'error', [OSError, MemoryError, RecursionError, ValueError]
)
def test_a_mirror_goes_on_after_an_error(monkeypatch, step, call, error):
    system = platform_system.PlatformSystem().build()
    system.world.on_error = lambda raised: None
    usual = getattr(mirror.Mirror, step)
    calls = []

    def fail_once(self, *arguments):
        calls.append(step)
        if len(calls) == call:
            raise error('odd')
        usual(self, *arguments)

    monkeypatch.setattr(mirror.Mirror, step, fail_once)
    for number in range(4):
        system.store.compact()
        system.set_state('app-0', 'ready', seq=number + 2)
        system.world.run(0.5)
    add_route(system)
    system.set_state('app-0', 'draining')
    system.world.run(CONFIG_S)

    workers = system.gateways['gateway-0'].services.fleet.workers
    assert workers['app-0'].is_draining
    assert system.ask('/new/x').status == 200
