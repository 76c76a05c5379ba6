"""A mirror goes on after long outages."""

import pytest

from tests.support import platform_system

CONFIG_S = 3.0
LONG_OUTAGE_S = 900.0


@pytest.fixture
def system():
    return platform_system.PlatformSystem().build()


def add_route(system):
    route = platform_system.make_route('new', '/new/', 'safe', 'app')
    system.configure(routes=[*system.configuration['routes'], route])


def test_a_mirror_goes_on_after_lists_failed_for_long(system):
    """Guard against CONFIG: the pause of the 1025th retry overflowed."""
    system.store.fails_lists = True
    system.store.cut_watches()
    system.world.run(LONG_OUTAGE_S)
    system.store.fails_lists = False
    add_route(system)
    system.world.run(CONFIG_S)

    assert system.ask('/new/x').status == 200
