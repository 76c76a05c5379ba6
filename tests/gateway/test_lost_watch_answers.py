"""Answers of watches that are lost in a cut of all entries from the store.

Nothing tells an entry that its watch has ended; the peers lack the change too.
"""

import pytest

from tests.support import platform_system

HEARD_S = 5.0


@pytest.fixture
def system():
    built = platform_system.PlatformSystem()
    built.build(workers=3, gateways=3)
    # The watches have just begun to wait again.
    built.world.run(9)
    return built


def test_a_version_whose_watch_answers_are_all_lost_is_heard(system):
    system.store.watches.clear()
    system.configuration['version'] += 7
    system.store.put('config', 'main', system.configuration)
    system.world.run(HEARD_S)

    assert {
        gateway.services.configuration.version
        for gateway in system.gateways.values()
    } == {system.configuration['version']}


def test_a_worker_that_drains_unheard_is_noticed(system):
    name = next(iter(system.gateways['gateway-0'].services.fleet.workers))
    spec = dict(system.store.objects['servers', name]['spec'])
    spec['state'] = 'draining'
    system.store.watches.clear()
    system.store.put('servers', name, spec)
    system.world.run(HEARD_S)

    for gateway in system.gateways.values():
        assert gateway.services.fleet.workers[name].is_draining


def test_nothing_is_listed_anew_while_nothing_changes(system):
    mirrors = [
        kind_mirror
        for gateway in system.gateways.values()
        for kind_mirror in gateway.watcher.mirrors.values()
    ]
    before = [kind_mirror.generation for kind_mirror in mirrors]
    system.world.run(10)

    assert [kind_mirror.generation for kind_mirror in mirrors] == before
