"""HTTP client: failures state whether a request may have run."""

import contextlib
import dataclasses
import socket
import threading
import time

import pytest

from citronjunction.transport import (
    echoes,
    http_client,
    keep_alive,
    runtime,
)
from citronjunction.verdicts import models as verdicts
from tests.support import early, live


class Result:
    def __init__(self):
        self.done = threading.Event()
        self.value = None

    def put(self, value):
        self.value = value
        self.done.set()


def send(loop, port, **options):
    result = Result()
    call = http_client.Call(f'{live.ADDRESS}:{port}', 'POST', '/p', **options)
    sink = http_client.ReplyCollector(result.put, result.put)
    loop.timers.call_later(0, lambda: loop.client.send(call, sink))
    assert result.done.wait(live.TIMEOUT_S)
    return result.value


@pytest.fixture
def loop():
    with live.run_in_thread(runtime.Runtime()) as running_loop:
        yield running_loop


@pytest.fixture
def listener():
    with socket.create_server((live.ADDRESS, 0)) as server:
        server.settimeout(live.TIMEOUT_S)
        yield server


def answer_with(listener, wire):
    """Accept one connection, read a request, answer, and close."""

    def serve():
        sock, _ = listener.accept()
        sock.recv(65536)
        sock.sendall(wire)
        sock.close()

    threading.Thread(target=serve, daemon=True).start()
    return listener.getsockname()[1]


def test_a_refused_connection_counts_as_not_run(loop, listener):
    port = listener.getsockname()[1]
    listener.close()
    assert isinstance(send(loop, port), verdicts.NotRun)


def test_a_connection_lost_after_sending_counts_as_may_have_run(loop, listener):
    port = answer_with(listener, b'')
    failure = send(loop, port)
    assert isinstance(failure, verdicts.MayHaveRun)
    assert failure.code == 'connection_lost'


@pytest.mark.parametrize(
    'wire',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
        b'garbage\r\n\r\n',
    ],
)
def test_a_truncated_response_counts_as_may_have_run(loop, listener, wire):
    port = answer_with(listener, wire)
    assert isinstance(send(loop, port), verdicts.MayHaveRun)


def test_a_silent_server_counts_as_may_have_run_after_a_timeout(loop, listener):
    failure = send(loop, listener.getsockname()[1], silence_s=0.1)
    assert isinstance(failure, verdicts.MayHaveRun)
    assert failure.code == 'timeout'


def test_connections_are_reused(loop):
    application = live.EchoApplication()
    with live.serve(application) as (port, _):
        replies = [send(loop, port, body=b'x') for _ in range(3)]
        count = len(loop.sockets.connections)
    assert [reply.body for reply in replies] == [b'/px'] * 3
    assert count == 1


ECHO = echoes.Echo('x-call', 'own')
OWN = b'HTTP/1.1 200 OK\r\nX-Call: own\r\nContent-Length: 3\r\n\r\nown'
OTHER = b'HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 5\r\n\r\nother'
BARE = b'HTTP/1.1 200 OK\r\n\r\nbody'
REJECTION = b'HTTP/1.1 413 Content Too Large\r\n\r\nbody'
FRAMED = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'


@pytest.mark.parametrize('wire', [OTHER + OWN, OWN + OTHER, OTHER * 3 + OWN])
def test_a_response_to_another_call_is_dropped(loop, listener, wire):
    port = answer_with(listener, wire)
    reply = send(loop, port, echo=ECHO)
    assert reply.body == b'own'


def test_a_connection_with_surplus_bytes_is_not_reused(loop, listener):
    port = answer_with(listener, OWN + OTHER)
    send(loop, port, echo=ECHO)
    assert not any(loop.client.pool.idle.values())


def test_a_call_without_its_own_response_fails(loop, listener):
    port = answer_with(listener, OTHER)
    failure = send(loop, port, echo=ECHO)
    assert isinstance(failure, verdicts.MayHaveRun)


def test_a_sink_may_cancel_a_response_without_length(loop, listener):
    class CancellingSink(http_client.ReplyCollector):
        def on_head(self, head):
            exchange.cancel()
            result.put(head.status)

    exchange = None
    result = Result()
    port = answer_with(listener, BARE)
    call = http_client.Call(f'{live.ADDRESS}:{port}', 'POST', '/p')

    def start():
        nonlocal exchange
        exchange = loop.client.send(call, CancellingSink(None, None))

    loop.timers.call_later(0, start)
    assert result.done.wait(live.TIMEOUT_S)
    assert result.value == 200
    assert send(loop, answer_with(listener, FRAMED)).body == b'body'


def test_a_response_without_length_ends_with_its_connection(loop, listener):
    port = answer_with(listener, BARE)
    assert send(loop, port).body == b'body'


def test_a_response_without_length_is_incomplete_after_a_reset(loop, listener):
    def serve():
        sock, _ = listener.accept()
        sock.recv(65536)
        sock.sendall(BARE)
        early.reset_later(sock)

    threading.Thread(target=serve, daemon=True).start()
    failure = send(loop, listener.getsockname()[1])
    assert isinstance(failure, verdicts.MayHaveRun)


def shut_and_read_on(sock):
    sock.shutdown(socket.SHUT_WR)
    live.read_all(sock)
    sock.close()


def upload(loop, listener, end, wire=BARE, **options):
    """Return the result of a long upload that is answered at its start."""
    # Smaller buffers: the upload waits in the client for the server to read.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)

    def serve():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.sendall(wire)
        end(sock)

    threading.Thread(target=serve, daemon=True).start()
    port = listener.getsockname()[1]
    return send(loop, port, body=b'x' * (6 << 20), **options)


@pytest.mark.parametrize('wire', [BARE, REJECTION])
@pytest.mark.parametrize('end', [early.shut_and_reset, early.shut_and_close])
def test_a_response_to_an_upload_that_is_reset_is_incomplete(
    loop, listener, end, wire
):
    failure = upload(loop, listener, end, wire)
    assert isinstance(failure, verdicts.MayHaveRun)


@pytest.mark.parametrize('wire', [REJECTION, FRAMED])
def test_a_response_to_an_upload_that_is_read_later_is_complete(
    loop, listener, wire
):
    assert upload(loop, listener, shut_and_read_on, wire).body == b'body'


def test_a_success_that_began_during_its_upload_is_incomplete(loop, listener):
    failure = upload(loop, listener, shut_and_read_on)
    assert isinstance(failure, verdicts.MayHaveRun)
    assert failure.code == 'bad_answer'


@pytest.mark.parametrize(
    ('wire', 'code'), [(REJECTION, 'timeout'), (BARE, 'bad_answer')]
)
def test_a_server_that_reads_no_more_of_an_upload_fails_it(
    loop, listener, wire, code
):
    released = threading.Event()

    def stop_reading(sock):
        sock.shutdown(socket.SHUT_WR)
        released.wait(live.TIMEOUT_S)
        sock.close()

    failure = upload(loop, listener, stop_reading, wire, silence_s=0.3)
    released.set()
    assert failure.code == code


def upload_into_kernel(loop, size, behaviour):
    """Return the result of an upload that fits into the server's kernel."""
    behaviour = dataclasses.replace(behaviour, buffer_bytes=1 << 22)
    with contextlib.closing(early.Worker(behaviour)) as worker:
        return send(loop, worker.port, body=bytes(size))


LONG_SIZES = [(1 << 14) + 1, 1 << 16, 1 << 18, 1 << 20]


@pytest.mark.parametrize('delay_s', [0, 0.2])
@pytest.mark.parametrize('wire', [BARE, REJECTION])
@pytest.mark.parametrize('size', LONG_SIZES)
@pytest.mark.parametrize('end', [early.shut_and_reset, early.shut_and_close])
def test_a_response_to_a_long_upload_that_was_not_read_is_incomplete(
    loop, size, end, wire, delay_s
):
    behaviour = early.Behaviour(wire, end, delay_s=delay_s)
    failure = upload_into_kernel(loop, size, behaviour)
    assert isinstance(failure, verdicts.MayHaveRun)


# Guards against half a response to a short upload that looks whole.
@pytest.mark.parametrize('reset_s', [0.3, 1.2])
@pytest.mark.parametrize('size', [1, 8000, 1 << 14, 1 << 17])
def test_a_response_to_an_upload_that_is_reset_soon_after_is_incomplete(
    loop, size, reset_s
):
    def shut_and_reset(sock):
        sock.shutdown(socket.SHUT_WR)
        time.sleep(reset_s)
        early.reset(sock)

    read = early.wait_for_upload(size)
    behaviour = early.Behaviour(BARE, shut_and_reset, read)
    failure = upload_into_kernel(loop, size, behaviour)
    assert isinstance(failure, verdicts.MayHaveRun)


@pytest.mark.xfail(strict=True, reason='KNOWN-RED.txt: a reset long after')
@pytest.mark.parametrize('size', [1 << 14, 1 << 17])
def test_a_response_to_an_upload_that_is_reset_long_after_is_incomplete(
    loop, size
):
    released = threading.Event()

    def shut_and_reset_when_released(sock):
        sock.shutdown(socket.SHUT_WR)
        released.wait(live.TIMEOUT_S)
        early.reset(sock)

    read = early.wait_for_upload(size)
    behaviour = early.Behaviour(BARE, shut_and_reset_when_released, read)
    failure = upload_into_kernel(loop, size, behaviour)
    released.set()
    assert isinstance(failure, verdicts.MayHaveRun)


@pytest.mark.parametrize('size', [0, 1, *LONG_SIZES])
@pytest.mark.parametrize('end', [early.close, early.shut_and_close])
def test_a_response_to_an_upload_that_was_read_is_complete(loop, size, end):
    behaviour = early.Behaviour(BARE, end, early.read_request)
    assert upload_into_kernel(loop, size, behaviour).body == b'body'


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ('', keep_alive.MAX_IDLE_S),
        ('timeout=10', 7.0),
        ('timeout=1, max=5', 0.7),
        ('max=5', keep_alive.MAX_IDLE_S),
    ],
)
def test_the_idle_timeout_of_the_server_limits_reuse(stated, expected):
    headers = {'keep-alive': stated}
    assert keep_alive.get_idle_s(headers) == pytest.approx(expected)
