"""Sockets: what the system refuses reaches the receiver, not the caller."""

import errno
import socket
import threading

import pytest

from citronjunction.transport import runtime, sockets
from tests.support import live


class Receiver:
    """Record the events of a connection; raise ``error`` on bytes if set."""

    def __init__(self, error=None):
        self.error = error
        self.reason = ''
        self.closed = threading.Event()

    def on_open(self):
        """Do nothing."""

    def on_bytes(self, chunk):
        if self.error is not None:
            raise self.error

    def on_close(self, reason, was_open):
        self.reason = reason
        self.closed.set()


@pytest.fixture
def loop():
    with live.run_in_thread(runtime.Runtime()) as running_loop:
        yield running_loop


def dial(loop, address, receiver):
    loop.timers.call_later(
        0, lambda: loop.sockets.dial(address, receiver, live.TIMEOUT_S)
    )
    assert receiver.closed.wait(live.TIMEOUT_S)


# Guards against CONFIG: timers of mirrors ended with the error.
@pytest.mark.parametrize(
    'code', [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
)
def test_no_descriptor_is_left_for_a_connection(loop, monkeypatch, code):
    def refuse(*arguments):
        raise OSError(code, 'none left')

    monkeypatch.setattr(sockets.socket, 'socket', refuse)
    receiver = Receiver()
    dial(loop, '127.0.0.1:1', receiver)

    assert 'none left' in receiver.reason


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x', '', 'a:b:c']
)
def test_an_address_that_can_not_be_used_closes_the_connection(loop, address):
    receiver = Receiver()
    dial(loop, address, receiver)

    assert receiver.reason
    assert not loop.sockets.connections


def test_an_error_of_a_receiver_closes_its_connection(loop):
    with socket.create_server((live.ADDRESS, 0)) as server:
        server.settimeout(live.TIMEOUT_S)
        port = server.getsockname()[1]
        receiver = Receiver(ValueError('odd bytes'))
        loop.timers.call_later(
            0,
            lambda: loop.sockets.dial(
                f'{live.ADDRESS}:{port}', receiver, live.TIMEOUT_S
            ),
        )
        accepted, _ = server.accept()
        accepted.sendall(b'x')
        assert receiver.closed.wait(live.TIMEOUT_S)
        accepted.close()

    assert 'odd bytes' in receiver.reason


# Guards against a listener that is asked for nothing but errors.
def test_listeners_accept_again_once_descriptors_are_free(loop, monkeypatch):
    accepted = threading.Event()

    def accept(connection):
        accepted.set()
        return Receiver()

    ports = []
    listening = threading.Event()

    def listen():
        ports.append(loop.sockets.listen(live.ADDRESS, 0, accept))
        listening.set()

    loop.timers.call_later(0, listen)
    assert listening.wait(live.TIMEOUT_S)
    refused = []
    usual = socket.socket.accept

    def refuse_first(listener):
        if len(refused) < 3:
            refused.append(listener)
            raise OSError(errno.EMFILE, 'none left')
        return usual(listener)

    monkeypatch.setattr(socket.socket, 'accept', refuse_first)
    with socket.create_connection((live.ADDRESS, ports[0]), live.TIMEOUT_S):
        assert accepted.wait(live.TIMEOUT_S)

    assert len(refused) == 3


def test_an_error_of_a_timer_stops_no_other_timer(loop):
    done = threading.Event()

    def fail():
        raise ValueError('odd')

    loop.timers.call_later(0, fail)
    loop.timers.call_later(0, done.set)
    assert done.wait(live.TIMEOUT_S)
