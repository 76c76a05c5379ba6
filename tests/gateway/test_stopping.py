"""A graceful shutdown cuts off no request and leaves the directory at once."""

import json

import pytest

from citronjunction.transport import http_client
from tests.support import platform_system


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build(gateways=2)


def get(deployed, gateway, listener, path):
    answer = platform_system.Answer(deployed.world)
    address = getattr(deployed.gateways[gateway].settings.listeners, listener)
    call = http_client.Call(address, 'GET', path)
    deployed.caller_host.client.send(call, answer)
    deployed.world.run(0.1)
    return answer


def list_entries(deployed, gateway='gateway-0'):
    path = '/api/resolve?name=x.example&region=r&zone=z1'
    answer = get(deployed, gateway, 'directory', path)
    return json.loads(answer.body)['addrs']


def test_the_directory_lists_all_ready_entries(deployed):
    expected = {
        gateway.settings.listeners.front
        for gateway in deployed.gateways.values()
    }

    assert set(list_entries(deployed)) == expected
    assert get(deployed, 'gateway-0', 'readiness', '/api/readyz').status == 200


def test_a_stopping_entry_leaves_the_directory_and_is_not_ready(deployed):
    gateway = deployed.gateways['gateway-1']
    deployed.gateway_hosts['gateway-1'].on_stop()
    deployed.world.run(0.4)

    front = gateway.settings.listeners.front
    assert front not in list_entries(deployed)
    assert front not in list_entries(deployed, 'gateway-1')
    assert get(deployed, 'gateway-1', 'readiness', '/api/readyz').status == 503


def test_requests_of_the_first_seconds_after_the_signal_are_served(deployed):
    deployed.gateway_hosts['gateway-1'].on_stop()
    deployed.world.run(1)
    answer = deployed.ask('/unsafe/x', gateway='gateway-1', method='POST')

    assert answer.status == 200
    assert answer.headers['connection'] == 'close'


def test_a_running_stream_completes_before_the_process_ends(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 40
        worker.behaviour.event_interval_s = 0.1
    answer = deployed.send('/stream/x', gateway='gateway-1', deadline_ms=9000)
    deployed.gateways['gateway-1'].services.routes.hosts['x.example']
    deployed.world.run(0.5)
    deployed.gateway_hosts['gateway-1'].on_stop()
    deployed.world.run(2)
    assert deployed.gateway_hosts['gateway-1'].is_alive
    deployed.world.run(6)

    assert not deployed.gateway_hosts['gateway-1'].is_alive
    assert answer.body.count(b'\n\n') >= 15


def test_late_requests_are_refused_as_not_run(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    deployed.send('/stream/x', gateway='gateway-1', deadline_ms=9000)
    deployed.gateway_hosts['gateway-1'].on_stop()
    deployed.world.run(3)
    before = deployed.count_runs()
    answer = deployed.ask(
        '/unsafe/x', gateway='gateway-1', method='POST', run_s=0.2
    )

    assert answer.status in {503, 0}
    assert deployed.count_runs() == before


def test_an_idle_entry_ends_within_seconds(deployed):
    deployed.gateway_hosts['gateway-1'].on_stop()
    deployed.world.run(3.5)

    assert not deployed.gateway_hosts['gateway-1'].is_alive


def test_an_entry_without_configuration_refuses_and_is_not_listed():
    deployed = platform_system.PlatformSystem()
    deployed.add_gateway('gateway-0')
    deployed.world.run(2)

    answer = deployed.ask('/unsafe/x', method='POST', run_s=0.2)
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert list_entries(deployed) == []


# Guards against LOST: answers were cut that callers were reading.
def test_a_stop_waits_for_bytes_that_callers_still_read(deployed):
    gateway = deployed.gateways['gateway-0']
    host = deployed.gateway_hosts['gateway-0']
    deployed.ask('/unsafe/x', method='POST', run_s=0.5)
    reading = next(iter(gateway.http_server.connections))
    reading.connection.unsent.extend(b'the end of an answer')

    host.on_stop()
    deployed.world.run(6)
    assert host.is_alive
    reading.connection.unsent.clear()
    deployed.world.run(1)
    assert not host.is_alive


def test_a_stop_ends_before_the_kill_beside_a_caller_that_reads_nothing(
    deployed,
):
    gateway = deployed.gateways['gateway-0']
    host = deployed.gateway_hosts['gateway-0']
    deployed.ask('/unsafe/x', method='POST', run_s=0.5)
    reading = next(iter(gateway.http_server.connections))
    reading.connection.unsent.extend(b'the end of an answer')

    host.on_stop()
    deployed.world.run(gateway.settings.gateway.grace_s)
    assert not host.is_alive


def build_slow(grace_s, service_time_s):
    """Return two gateways with slow workers; gateway-1 has the grace."""
    deployed = platform_system.PlatformSystem().build(gateways=2)
    deployed.configure(
        routes=[
            {**route, 'timeoutMs': 30000}
            for route in deployed.configuration['routes']
        ],
    )
    deployed.world.run(0.3)
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = service_time_s
        worker.behaviour.event_interval_s = service_time_s
    deployed.gateways['gateway-1'].settings.gateway.grace_s = grace_s
    return deployed


def is_run(deployed, answer):
    return deployed.count_runs(answer.call.call.headers['Attempt-Id']) > 0


# Guards against LOST: requests were passed on and cut without an answer.
@pytest.mark.parametrize('grace_s', [1.0, 2.0, 3.0, 8.0, 20.0])
@pytest.mark.parametrize('service_time_s', [0.3, 1.0, 30.0])
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
def test_requests_passed_on_during_a_stop_are_answered(
    grace_s, service_time_s, path
):
    deployed = build_slow(grace_s, service_time_s)
    host = deployed.gateway_hosts['gateway-1']
    host.on_stop()
    end = deployed.world.now + grace_s
    answers = []
    while host.is_alive and deployed.world.now < end:
        sent = deployed.send(
            path, gateway='gateway-1', method='POST', deadline_ms=30000
        )
        answers.append(sent)
        deployed.world.run(0.1)
    deployed.world.run(grace_s)

    assert not host.is_alive
    passed_on = [answer for answer in answers if is_run(deployed, answer)]
    assert passed_on
    for answer in passed_on:
        # Only a stream that has begun can't be given another status.
        is_begun = path == '/stream/x' and answer.status == 200
        assert answer.is_complete or is_begun
        assert answer.status in {200, 504}
    refused = [answer for answer in answers if answer.status == 503]
    assert not any(is_run(deployed, answer) for answer in refused)
    assert all(float(answer.headers['retry-after']) > 0 for answer in refused)


@pytest.mark.parametrize('grace_s', [1.0, 2.0, 3.0, 8.0])
def test_no_request_is_passed_on_late_in_the_grace_period(grace_s):
    deployed = build_slow(grace_s, 30.0)
    host = deployed.gateway_hosts['gateway-1']
    deployed.send('/unsafe/x', gateway='gateway-1', deadline_ms=30000)
    deployed.world.run(0.1)
    host.on_stop()
    deployed.world.run(grace_s / 2)
    before = deployed.count_runs()
    late = deployed.ask('/unsafe/x', gateway='gateway-1', run_s=0.1)

    assert late.status == 503
    assert deployed.count_runs() == before
