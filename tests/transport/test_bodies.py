"""Bodies of requests: their memory is bounded, and freed with the request."""

import gc

import pytest

from citronjunction.budgeting import bodies
from citronjunction.conf import budgets, models
from citronjunction.gateway import models as gateway_models
from citronjunction.transport import http_client, http_server
from tests.support import platform_system

BODY_BYTES = 100_000
REQUESTS = 50
HOLDERS = (http_client.Call, http_server.Request, gateway_models.CallerRequest)


@pytest.fixture
def system():
    return platform_system.PlatformSystem().build()


def count_bodies():
    """Count the objects that hold a body of a request."""
    return sum(
        isinstance(held, HOLDERS) and len(held.body) == BODY_BYTES
        for held in gc.get_objects()
    )


# Guards against LOST: bodies in reference cycles filled the memory.
@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
def test_an_answered_request_frees_its_body_at_once(system, path):
    for worker in system.workers.values():
        worker.runs = worker.arrivals = ()
        worker.handle = lambda exchange: exchange.respond(
            200, {'Signature': 's'}, b''
        )
    system.ask(path, method='POST', run_s=0.5)
    gc.collect()
    gc.disable()
    try:
        before = count_bodies()
        for _ in range(REQUESTS):
            answer = system.ask(
                path, method='POST', body=b'x' * BODY_BYTES, run_s=0.2
            )
            assert answer.status == 200
        after = count_bodies()
    finally:
        gc.enable()

    assert after <= before


# Guards against LOST: bodies of long requests filled the memory.
def test_bodies_beyond_the_budget_are_refused_as_not_run(system):
    gateway = system.gateways['gateway-0']
    gateway.settings.http.max_bodies = 3 * BODY_BYTES
    for worker in system.workers.values():
        worker.behaviour.service_time_s = 0.5
    answers = [
        system.send('/unsafe/x', method='POST', body=b'x' * BODY_BYTES)
        for _ in range(5)
    ]
    system.world.run(0.2)
    assert gateway.http_server.bodies.total == 3 * BODY_BYTES
    system.world.run(1.0)

    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200, 200, 200, 503, 503]
    refused = [answer for answer in answers if answer.status == 503]
    assert all(float(answer.headers['retry-after']) > 0 for answer in refused)
    assert system.count_runs() == 3
    assert not gateway.http_server.bodies.total


def test_callers_that_leave_free_their_bytes(system):
    gateway = system.gateways['gateway-0']
    for worker in system.workers.values():
        worker.behaviour.is_silent = True
    answers = [
        system.send('/safe/x', method='POST', body=b'x' * BODY_BYTES)
        for _ in range(5)
    ]
    system.world.run(0.2)
    assert gateway.http_server.bodies.total == 5 * BODY_BYTES
    for answer in answers:
        answer.call.cancel()
    system.world.run(0.2)

    assert not gateway.http_server.bodies.total


def test_one_body_always_fits():
    budget = bodies.BodyBudget(models.Http(max_bodies=10))

    assert budget.reserve('a', 50)
    assert not budget.reserve('b', 1)
    budget.release('a')
    assert budget.reserve('b', 1)
    assert budget.total == 1


@pytest.mark.parametrize(
    'memory_mb, expected', [(300, 66), (200, 33), (110, 4), (0, 67), (9000, 67)]
)
def test_the_budget_follows_from_the_memory_limit(memory_mb, expected):
    settings = models.Settings()
    settings.process.memory_mb = memory_mb
    budgets.limit_http(settings)

    assert settings.http.max_bodies // 1_000_000 == expected


# Guards against CONFIG: callers had taken all descriptors.
@pytest.mark.parametrize(
    'descriptors, expected',
    [(1535, 1001), (4100, 2925), (8192, 4096), (1, 256)],
)
def test_callers_leave_descriptors_to_the_store_and_workers(
    descriptors, expected
):
    settings = models.Settings()
    settings.process.descriptors = descriptors
    budgets.limit_http(settings)

    assert settings.http.max_connections == expected
