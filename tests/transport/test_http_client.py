"""HTTP client: failures state whether a request may have run."""

import socket
import struct
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
from tests.support import live


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


@pytest.mark.parametrize('wire', [OTHER + OWN, OWN + OTHER, OTHER * 3 + OWN])
def test_a_response_to_another_call_is_dropped(loop, listener, wire):
    port = answer_with(listener, wire)
    reply = send(loop, port, echo=ECHO)
    assert reply.body == b'own'


def test_a_connection_with_surplus_bytes_is_not_reused(loop, listener):
    port = answer_with(listener, OWN + OTHER)
    send(loop, port, echo=ECHO)
    assert not any(loop.client.idle.values())


def test_a_call_without_its_own_response_fails(loop, listener):
    port = answer_with(listener, OTHER)
    failure = send(loop, port, echo=ECHO)
    assert isinstance(failure, verdicts.MayHaveRun)


def test_a_response_without_length_ends_with_its_connection(loop, listener):
    port = answer_with(listener, BARE)
    assert send(loop, port).body == b'body'


def reset(sock):
    """Close a socket with a reset."""
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def test_a_response_without_length_is_incomplete_after_a_reset(loop, listener):
    def serve():
        sock, _ = listener.accept()
        sock.recv(65536)
        sock.sendall(BARE)
        time.sleep(0.2)
        reset(sock)

    threading.Thread(target=serve, daemon=True).start()
    failure = send(loop, listener.getsockname()[1])
    assert isinstance(failure, verdicts.MayHaveRun)


def shut_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    time.sleep(0.1)
    reset(sock)


def shut_and_close(sock):
    sock.shutdown(socket.SHUT_WR)
    sock.close()


def shut_and_read_on(sock):
    sock.shutdown(socket.SHUT_WR)
    live.read_all(sock)
    sock.close()


def upload(loop, listener, end, **options):
    """Return the result of a long upload that is answered at its start."""
    # Smaller buffers: the upload waits in the client for the server to read.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)

    def serve():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.sendall(BARE)
        end(sock)

    threading.Thread(target=serve, daemon=True).start()
    port = listener.getsockname()[1]
    return send(loop, port, body=b'x' * (6 << 20), **options)


@pytest.mark.parametrize('end', [shut_and_reset, shut_and_close])
def test_a_response_to_an_upload_that_is_reset_is_incomplete(
    loop, listener, end
):
    failure = upload(loop, listener, end)
    assert isinstance(failure, verdicts.MayHaveRun)


def test_a_response_to_an_upload_that_is_read_later_is_complete(loop, listener):
    assert upload(loop, listener, shut_and_read_on).body == b'body'


def test_a_server_that_reads_no_more_of_an_upload_times_out(loop, listener):
    released = threading.Event()

    def stop_reading(sock):
        sock.shutdown(socket.SHUT_WR)
        released.wait(live.TIMEOUT_S)
        sock.close()

    failure = upload(loop, listener, stop_reading, silence_s=0.3)
    released.set()
    assert failure.code == 'timeout'


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
