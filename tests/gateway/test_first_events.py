"""First events that are due are settled however a request ends.

A request that stays due would keep others away from its worker for good.
"""

import pytest

from tests.support import platform_system


class Following(platform_system.PlatformSystem):
    """Follow how workers answer, as ``deploy/node.ini`` says."""

    def configure_settings(self, settings):
        settings.pacing.follows_answers = True


@pytest.fixture
def deployed():
    system = Following()
    system.build(workers=2)
    return system


def list_due(deployed):
    return [
        request
        for gateway in deployed.gateways.values()
        for worker in gateway.services.fleet.workers.values()
        for request in worker.pace.outstanding.due_by_request
    ]


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
def test_after_an_answer(deployed, path):
    method = 'GET' if path == '/safe/x' else 'POST'
    answer = deployed.send(path, method=method)
    deployed.world.run(0.005)
    assert len(list_due(deployed)) == 1
    deployed.world.run(3)

    assert answer.status == 200
    assert not list_due(deployed)


def test_after_the_deadline(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    deployed.send('/stream/x', method='POST', deadline_ms=500)
    deployed.world.run(0.2)
    assert list_due(deployed)
    deployed.world.run(1)

    assert not list_due(deployed)


def test_after_the_caller_has_gone(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    answer = deployed.send('/stream/x', method='POST')
    deployed.world.run(0.2)
    answer.call.cancel()
    deployed.world.run(0.2)

    assert not list_due(deployed)


def test_after_the_worker_was_killed(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    deployed.send('/stream/r/x', method='POST')
    deployed.world.run(0.2)
    for host in deployed.worker_hosts.values():
        host.kill()
    deployed.world.run(5)

    assert not list_due(deployed)


def test_a_worker_that_starts_again_is_limited_until_it_has_answered(deployed):
    fleet = deployed.gateways['gateway-0'].services.fleet
    assert all(worker.pace.learned is None for worker in fleet.workers.values())
    deployed.add_worker('llm-9', 'llm')
    deployed.world.run(2)
    started = fleet.workers['llm-9']
    assert not started.pace.permits(1, deployed.world.now)
    for _ in range(40):
        deployed.send('/stream/x', method='POST')
        deployed.world.run(0.05)

    assert started.pace.permits(1, deployed.world.now)
