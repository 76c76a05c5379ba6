"""Calls that must not be delivered once they have expired, on real sockets."""

import contextlib
import socket
import struct
import threading

import pytest

from citronjunction.transport import http_client, runtime
from citronjunction.verdicts import models as verdicts
from tests.support import live

RESETS_AT_CLOSE = (1, 0)
FRAMED = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'


@pytest.fixture
def loop():
    with live.run_in_thread(runtime.Runtime()) as running_loop:
        yield running_loop


@pytest.fixture
def listener():
    with socket.create_server((live.ADDRESS, 0)) as server:
        server.settimeout(live.TIMEOUT_S)
        yield server


class Caller:
    """Send one call; ``result`` is its reply or its failure."""

    def __init__(self, loop, listener, **options):
        self.loop = loop
        self.done = threading.Event()
        self.result = None
        port = listener.getsockname()[1]
        self.call = http_client.Call(
            f'{live.ADDRESS}:{port}', 'POST', '/p', **options
        )
        loop.timers.call_later(0, self._send)

    def wait(self):
        assert self.done.wait(live.TIMEOUT_S)
        return self.result

    def _send(self):
        sink = http_client.ReplyCollector(self._put, self._put)
        self.exchange = self.loop.client.send(self.call, sink)

    def _put(self, result):
        self.result = result
        self.done.set()


def accept(listener):
    sock, _ = listener.accept()
    sock.settimeout(live.TIMEOUT_S)
    return contextlib.closing(sock)


def test_a_call_that_expires_resets_its_connection(loop, listener):
    expired = threading.Event()
    caller = Caller(loop, listener, has_expired=expired.is_set)
    with accept(listener) as sock:
        sock.recv(65536)
        expired.set()
        failure = caller.wait()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)

    assert isinstance(failure, verdicts.MayHaveRun)


def test_a_call_that_gets_no_answer_resets_its_connection(loop, listener):
    caller = Caller(loop, listener, silence_s=0.1, has_expired=lambda: False)
    with accept(listener) as sock:
        sock.recv(65536)
        caller.wait()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)


def test_the_end_of_the_process_resets_the_connection(loop, listener):
    caller = Caller(loop, listener, has_expired=lambda: False)
    with accept(listener) as sock:
        sock.recv(65536)
        option = caller.exchange.connection.sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, 8
        )
        sock.sendall(FRAMED)
        caller.wait()

    assert struct.unpack('ii', option) == RESETS_AT_CLOSE


def test_a_call_that_expires_as_it_connects_is_not_sent(loop, listener):
    caller = Caller(loop, listener, has_expired=lambda: True)
    failure = caller.wait()
    with accept(listener) as sock, contextlib.suppress(ConnectionResetError):
        assert sock.recv(65536) == b''

    assert isinstance(failure, verdicts.NotRun)


def test_an_answered_call_closes_its_own_connection(loop, listener):
    for _ in range(2):
        caller = Caller(loop, listener, has_expired=lambda: False)
        with accept(listener) as sock:
            sock.recv(65536)
            sock.sendall(FRAMED)
            assert caller.wait().body == b'body'
            assert sock.recv(1) == b''
    assert not any(loop.client.idle.values())
