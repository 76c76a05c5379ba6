"""Answers that come late, twice, in part or drop by drop reach no wrong caller.

Each answer names its request, so that a mixed-up one shows.
"""

import pytest

from tests.support import platform_system, scripted

EVENT = b'id: %d\ndata: t%d\n\n'
STALL_S = 2.0


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build(workers=1)


def set_timeout(deployed, timeout_ms):
    deployed.configure(
        routes=[
            {**route, 'timeoutMs': timeout_ms}
            for route in deployed.configuration['routes']
        ],
    )
    deployed.world.run(0.3)


def build_answer(request, body=None, length=None):
    name = scripted.get_header(request, 'Attempt-Id')
    body = name if body is None else body
    return (
        b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
        b'Content-Length: %d\r\n\r\n%b'
        % (name, len(body) if length is None else length, body)
    )


def start_stream(request):
    return (
        b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
        b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
        % scripted.get_header(request, 'Attempt-Id')
    )


@pytest.mark.parametrize('delay_s', [0.0, 0.01, 0.05, 0.4])
@pytest.mark.parametrize('gap_s', [0.0, 0.02, 0.1, 0.6])
def test_a_second_copy_of_an_answer_never_reaches_the_next_caller(
    deployed, delay_s, gap_s
):
    def answer_twice(connection, request):
        connection.send_later(0.01, build_answer(request))
        connection.send_later(0.01 + delay_s, build_answer(request))

    scripted.replace_worker(deployed, 'app-0', answer_twice)
    for _ in range(8):
        answer = deployed.ask('/unsafe/x', method='POST', run_s=0.03 + gap_s)
        if answer.status == 200:
            expected = answer.call.call.headers['Attempt-Id'].encode()
            assert answer.body == expected


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_half_an_answer_is_no_success(deployed, path):
    def break_off(connection, request):
        connection.send(build_answer(request, b'half', length=8))
        connection.close_later(0.01)

    scripted.replace_worker(deployed, 'app-0', break_off)
    answer = deployed.ask(path, method='POST')

    assert answer.status == 502


def test_half_a_stream_does_not_look_complete(deployed):
    def break_off(connection, request):
        connection.send(
            start_stream(request) + scripted.encode_chunk(EVENT % (1, 1))
        )
        connection.close_later(0.01)

    scripted.replace_worker(deployed, 'llm-0', break_off)
    answer = deployed.ask('/stream/x', method='POST')

    assert EVENT % (1, 1) in answer.body
    assert not answer.is_complete


def test_a_slow_sound_stream_is_not_cut(deployed):
    def send_slowly(connection, request):
        connection.send(start_stream(request))
        for number in range(1, 5):
            event = EVENT % (number, number)
            # Each event comes in two parts, as packets may split it.
            connection.send_later(
                1.7 * number, scripted.encode_chunk(event[:5])
            )
            connection.send_later(
                1.7 * number + 0.3, scripted.encode_chunk(event[5:])
            )
        connection.send_later(7.5, b'0\r\n\r\n')

    set_timeout(deployed, 9000)
    scripted.replace_worker(deployed, 'llm-0', send_slowly)
    answer = deployed.ask(
        '/stream/x', method='POST', deadline_ms=9000, run_s=8.5
    )

    assert answer.is_complete
    assert answer.body.count(b'\n\n') == 4


@pytest.mark.parametrize('drip', [b'd', b': still here\n\n'])
def test_a_stream_that_drips_without_an_event_ends(deployed, drip):
    def drip_on(connection, request):
        connection.send(
            start_stream(request) + scripted.encode_chunk(EVENT % (1, 1))
        )
        for number in range(60):
            connection.send_later(0.2 * number, scripted.encode_chunk(drip))

    set_timeout(deployed, 12000)
    scripted.replace_worker(deployed, 'llm-0', drip_on)
    answer = deployed.ask(
        '/stream/x', method='POST', deadline_ms=12000, run_s=13
    )

    assert not answer.is_complete
    assert answer.duration_s <= STALL_S + 0.5


def test_a_resumable_stream_that_drips_goes_on_elsewhere():
    deployed = platform_system.PlatformSystem().build(workers=2)
    set_timeout(deployed, 12000)

    def drip_on(connection, request):
        connection.send(
            start_stream(request) + scripted.encode_chunk(EVENT % (1, 1))
        )
        for number in range(60):
            connection.send_later(0.2 * number, scripted.encode_chunk(b'd'))

    server = scripted.replace_worker(deployed, 'llm-0', drip_on)
    while not server.requests:
        answer = deployed.ask(
            '/stream/r/x', method='POST', deadline_ms=12000, run_s=4
        )

    assert answer.is_complete
    assert answer.body == b''.join(EVENT % (n, n) for n in (1, 2, 3))


@pytest.mark.parametrize('path', ['/stream/x', '/stream/r/x', '/safe/x'])
def test_work_of_a_silent_worker_is_not_begun_again(path):
    deployed = platform_system.PlatformSystem().build(workers=2)
    set_timeout(deployed, 12000)
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 0.5
        worker.behaviour.event_interval_s = 0.5
    answer = deployed.send(path, method='POST', deadline_ms=12000)
    deployed.world.run(0.3)
    for name, worker in deployed.workers.items():
        if worker.runs:
            deployed.worker_hosts[name].pause(4)
    deployed.world.run(8)

    assert answer.is_complete
    assert deployed.count_runs() == 1


def test_requests_of_a_silent_entry_are_not_begun_again():
    deployed = platform_system.PlatformSystem().build(gateways=3)
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 1.0
    answer = deployed.send('/unsafe/x', method='POST', deadline_ms=9000)
    deployed.world.run(0.3)
    deployed.gateway_hosts['gateway-0'].pause(4)
    deployed.world.run(7)

    assert answer.status in {200, 504}
    assert deployed.count_runs() == 1
