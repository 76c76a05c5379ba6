"""Stand-in of a worker that answers before or after it has read an upload."""

import contextlib
import dataclasses
import fcntl
import http.client
import socket
import struct
import sys
import termios
import threading
import time
from collections import abc

ADDRESS = '127.0.0.1'
HEAD_BYTES = 1000  # of an upload that are read before an early answer
RESET_DELAY_S = 0.1  # so that what was sent arrives before the reset
TIMEOUT_S = 20


def reset(sock):
    """Close a socket with a reset."""
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def reset_later(sock):
    time.sleep(RESET_DELAY_S)
    reset(sock)


def shut_and_reset(sock):
    """End the stream of bytes, and reset the connection a little later."""
    sock.shutdown(socket.SHUT_WR)
    reset_later(sock)


def shut_and_close(sock):
    """Close in two steps; what was not read makes the second one a reset."""
    sock.shutdown(socket.SHUT_WR)
    sock.close()


def close(sock):
    sock.close()


def read_request(sock):
    """Return the first line of a request with a length, read in full.

    It is empty if the client has left.
    """
    with sock.makefile('rb') as stream:
        line = stream.readline()
        fields = http.client.parse_headers(stream)
        stream.read(int(fields.get('Content-Length', 0)))
    return line


def read_head(sock):
    """Return the first bytes of a request; the rest stays unread."""
    return sock.recv(HEAD_BYTES)


def wait_for_upload(size):
    """Return a function that reads the start of an upload.

    It returns once the rest has arrived, too, which stays unread.
    """

    def read(sock):
        head = read_head(sock)
        until = time.monotonic() + TIMEOUT_S
        while count_unread(sock) < size - len(head):
            if time.monotonic() > until:
                raise TimeoutError('the upload has not arrived')
            time.sleep(0.01)
        return head

    return read


def count_unread(sock):
    """Return the bytes that a socket has for its reader."""
    count = fcntl.ioctl(sock, termios.FIONREAD, bytes(4))
    return int.from_bytes(count, sys.byteorder)


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What a worker reads before it answers, and how it ends.

    ``buffer_bytes`` of what it has not read fit into its kernel, twice as
    many on Linux; 0 leaves the default.
    """

    answer: bytes
    end: abc.Callable[[socket.socket], None]
    read: abc.Callable[[socket.socket], bytes] = read_head
    delay_s: float = 0
    buffer_bytes: int = 0


class Worker:
    """Serve each connection on a thread of its own."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.uploads = 0
        self.listener = socket.create_server((ADDRESS, 0), backlog=64)
        if behaviour.buffer_bytes:
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, behaviour.buffer_bytes
            )
        self.port = self.listener.getsockname()[1]
        self.address = f'{ADDRESS}:{self.port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the wait for others
        self.listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        sock.settimeout(TIMEOUT_S)
        behaviour = self.behaviour
        start = behaviour.read(sock)
        if not start.startswith(b'POST'):
            sock.close()
            return
        self.uploads += 1
        time.sleep(behaviour.delay_s)
        with contextlib.suppress(OSError):  # the client has left
            sock.sendall(behaviour.answer)
            behaviour.end(sock)
