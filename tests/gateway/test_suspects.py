"""Requests that crash workers are refused; lost answers are no crash."""

import pytest

from tests.support import platform_system


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build(workers=4, gateways=2)


def send(deployed, gateway='gateway-0', run_s=0.3):
    return deployed.ask(
        '/unsafe/poison',
        gateway=gateway,
        method='POST',
        body=b'poison',
        run_s=run_s,
    )


def crash_on_arrival(deployed):
    for name in [key for key in deployed.workers if key.startswith('app')]:
        worker = deployed.workers[name]
        host = deployed.worker_hosts[name]
        worker.behaviour.aborts_left = 10_000
        worker.behaviour.service_time_s = 0.01
        finish = worker._finish

        def crash(exchange, host=host, finish=finish):
            finish(exchange)
            host.kill()

        worker._finish = crash


def test_a_request_that_crashes_its_workers_is_refused_at_all_entries(deployed):
    crash_on_arrival(deployed)
    statuses = []
    for number in range(8):
        statuses.append(send(deployed, f'gateway-{number % 2}').status)
        deployed.world.run(2)

    assert deployed.count_runs() <= 4
    last = send(deployed, 'gateway-1')
    assert last.status == 503
    assert deployed.gateways['gateway-0'].services.suspects.by_fingerprint


def test_lost_answers_of_running_workers_make_no_suspect(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.aborts_left = 3
    for _ in range(8):
        send(deployed, run_s=1.5)

    for gateway in deployed.gateways.values():
        assert not gateway.services.suspects.by_fingerprint
    for worker in deployed.workers.values():
        worker.behaviour.aborts_left = 0
    assert send(deployed).status == 200
