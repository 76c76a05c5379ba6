"""Streams that end with their connection, without a length or chunks.

A worker that crashes in such a stream closes its connection as if the answer
were complete; only the unfinished event shows that it isn't.
"""

import pytest

from tests.support import platform_system, scripted

EVENT = b'id: %d\ndata: t%d\n\n'
HEAD = (
    b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
    b'Content-Type: text/event-stream\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n'


def start_answer(connection, request, fields=b''):
    name = scripted.get_header(request, 'Attempt-Id')
    connection.send(HEAD % name + fields + b'\r\n')


def end_inside_an_event(connection, request):
    start_answer(connection, request)
    connection.send(EVENT % (1, 1) + b'id: 2\nda')
    connection.close_later(0.01)


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build(workers=1)


@pytest.mark.parametrize(
    'rest', [b'i', b'id: 2', b'id: 2\n', b'id: 2\ndata: t']
)
def test_an_unframed_stream_that_ends_inside_an_event_is_not_complete(
    deployed, rest
):
    def break_off(connection, request):
        start_answer(connection, request)
        connection.send(EVENT % (1, 1) + rest)
        connection.close_later(0.01)

    scripted.replace_worker(deployed, 'llm-0', break_off)
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.body == EVENT % (1, 1)
    assert not answer.is_complete


def test_a_chunked_stream_that_ends_inside_an_event_is_not_complete(deployed):
    def break_off(connection, request):
        start_answer(connection, request, CHUNKED)
        connection.send(
            scripted.encode_chunk(EVENT % (1, 1))
            + scripted.encode_chunk(b'id: 2\nda')
        )
        connection.send(b'0\r\n\r\n')

    scripted.replace_worker(deployed, 'llm-0', break_off)
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.body == EVENT % (1, 1)
    assert not answer.is_complete


@pytest.mark.parametrize('body', [b'', b'id: 1\ndata: t'])
def test_an_unframed_stream_without_an_event_is_no_success(deployed, body):
    def break_off(connection, request):
        start_answer(connection, request)
        connection.send(body)
        connection.close_later(0.01)

    scripted.replace_worker(deployed, 'llm-0', break_off)
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.status == 502
    assert answer.is_complete


def test_a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere():
    deployed = platform_system.PlatformSystem().build(workers=2)
    server = scripted.replace_worker(deployed, 'llm-0', end_inside_an_event)
    while not server.requests:
        answer = deployed.ask('/stream/r/x', method='POST')

    assert answer.is_complete
    assert answer.body == b''.join(EVENT % (n, n) for n in (1, 2, 3))


def test_a_whole_unframed_stream_is_delivered(deployed):
    def end(connection, request):
        start_answer(connection, request)
        connection.send(EVENT % (1, 1))
        connection.send_later(0.01, EVENT % (2, 2))
        connection.close_later(0.02)

    scripted.replace_worker(deployed, 'llm-0', end)
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.is_complete
    assert answer.body == EVENT % (1, 1) + EVENT % (2, 2)


def test_a_worker_whose_streams_break_off_is_ejected(deployed):
    scripted.replace_worker(deployed, 'llm-0', end_inside_an_event)
    for _ in range(3):
        deployed.ask('/stream/x', method='POST', run_s=0.1)

    (gateway,) = deployed.gateways.values()
    worker = gateway.services.fleet.workers['llm-0']
    assert worker.health.is_ejected(deployed.world.now)
