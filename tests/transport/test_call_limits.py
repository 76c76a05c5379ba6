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

    def cancel(self):
        """Cancel the call and return once that is done."""
        cancelled = threading.Event()

        def cancel():
            self.exchange.cancel()
            cancelled.set()

        self.loop.timers.call_later(0, cancel)
        assert cancelled.wait(live.TIMEOUT_S)

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
    assert not any(loop.client.pool.idle.values())


UPLOAD_BYTES = 2 << 20  # more than the server's kernel takes


def read_to_end(sock):
    while sock.recv(1 << 20):
        pass


def begin_upload(loop, listener, **options):
    """Return a caller whose upload fits into the kernels only."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return Caller(loop, listener, body=bytes(UPLOAD_BYTES), **options)


# Guards against bytes of a call that are sent after it was given up.
def test_a_call_that_is_given_up_is_sent_no_further(loop, listener):
    caller = begin_upload(loop, listener, silence_s=0.2)
    with accept(listener) as sock:
        failure = caller.wait()
        with pytest.raises(ConnectionResetError):
            read_to_end(sock)

    assert failure.code == 'timeout'


def test_a_call_that_is_cancelled_is_sent_no_further(loop, listener):
    caller = begin_upload(loop, listener)
    with accept(listener) as sock:
        sock.recv(1)
        caller.cancel()
        with pytest.raises(ConnectionResetError):
            read_to_end(sock)


def test_a_call_that_was_received_ends_without_a_reset(loop, listener):
    caller = Caller(loop, listener, silence_s=0.5)
    with accept(listener) as sock:
        sock.recv(65536)
        caller.wait()
        assert sock.recv(1) == b''
