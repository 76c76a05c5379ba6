"""Non-blocking TCP connections of a process, on one poller."""

import dataclasses
import errno
import fcntl
import socket
import struct
import sys
import termios
from collections import abc
from typing import Protocol

import circuits
from absl import logging
from circuits.core import handlers

from citronjunction.transport import poller, timer_queue

RECEIVE_BYTES = 65536  # per read
BACKLOG = 1024  # connections
MAX_ACCEPTS_PER_EVENT = 64
ACCEPT_PAUSE_S = 0.1  # after a lack of descriptors or buffers
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))
CLOSED_BY_PEER = 'closed by peer'
CONNECT_TIMED_OUT = 'connect timed out'
RESET_CHECK_S = 0.01  # between checks for a reset by a peer that sends no more
KEEPALIVE_IDLE_S = 1  # without traffic before the first probe
KEEPALIVE_INTERVAL_S = 1  # between probes
KEEPALIVE_PROBES = 3  # unanswered ones, where no user timeout is known
# The connection fails if sent bytes, or keep-alive probes, stay unanswered. The
# kernel repeats sent bytes after 0.2, 0.6, 1.4 and 3 s.
USER_TIMEOUT_MS = 3500


class Receiver(Protocol):
    """Receive the events of a connection."""

    def on_open(self) -> None:
        """Receive the success of an outbound connect."""

    def on_bytes(self, chunk: bytes) -> None:
        """Receive bytes of the peer."""

    def on_close(self, reason: str, was_open: bool) -> None:
        """Receive the end of the connection, also of a failed connect."""


@dataclasses.dataclass(slots=True, frozen=True)
class Linger:
    """How long a reset may still follow the end of a peer's stream.

    The wait is ``wait_s`` seconds, or until ``latest_at`` in monotonic seconds
    if that is sooner, but at least ``min_wait_s``.
    """

    wait_s: float
    min_wait_s: float
    latest_at: float

    def compute_end(self, ended_at: float) -> float:
        """Return when a stream that ended at a time has ended for good."""
        end = min(ended_at + self.wait_s, self.latest_at)
        return max(end, ended_at + self.min_wait_s)


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """Store the state of a socket; times are monotonic seconds.

    ``active_at`` is when it opened or last sent or received bytes. There is no
    socket if the system could not provide one. ``on_unsent`` receives the number
    of unsent bytes as it changes. With ``linger``, a connection whose peer
    sends no more counts as closed by it only once the peer has acknowledged all
    that was sent, and has sent no reset for so long after it; ``on_input_end``
    is called before.
    """

    sock: socket.socket | None
    peer_address: str
    receiver: Receiver | None = None
    unsent: bytearray = dataclasses.field(default_factory=bytearray)
    max_unsent: int = 1 << 20
    is_open: bool = False
    is_closed: bool = False
    is_finishing: bool = False
    active_at: float = 0
    connect_timer: timer_queue.Timer | None = None
    on_unsent: abc.Callable[[int], None] | None = None
    linger: Linger | None = None
    on_input_end: abc.Callable[[], None] | None = None
    is_reset_at_close: bool = False

    def set_reset_at_close(self, *, is_reset: bool) -> None:
        """Choose whether closing resets the connection, also by a kill.

        After a reset the kernel no longer sends what the peer has not got.
        """
        is_changed = is_reset is not self.is_reset_at_close
        self.is_reset_at_close = is_reset
        if is_changed and self.sock is not None and not self.is_closed:
            linger = struct.pack('ii', is_reset, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def count_undelivered(self) -> int:
        """Return the bytes that the peer has not acknowledged, if known."""
        if self.sock is None:
            return len(self.unsent)
        return len(self.unsent) + count_unacknowledged(self.sock)

    def report_unsent(self) -> None:
        """Report the number of unsent bytes."""
        if self.on_unsent is not None:
            self.on_unsent(len(self.unsent))


OnAccept = abc.Callable[[Connection], Receiver]


class Sockets(circuits.BaseComponent):
    """Manage the listening and connected sockets of a process."""

    channel = 'sockets'

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        super().__init__()
        self.timers = timers
        self.poller = poller.HashedPoller().register(self)
        self.listeners: dict[socket.socket, OnAccept] = {}
        self.connections: dict[socket.socket, Connection] = {}

    def listen(self, address: str, port: int, accept: OnAccept) -> int:
        """Listen for connections; return the port, chosen if it was 0."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((address, port))
        listener.listen(BACKLOG)
        self.listeners[listener] = accept
        self.poller.addReader(self, listener)
        return listener.getsockname()[1]

    def dial(
        self,
        address: str,
        receiver: Receiver,
        timeout_s: float,
    ) -> Connection:
        """Connect to ``IP:PORT`` without blocking; report to the receiver.

        No error is raised: the receiver gets the close of the connection.
        """
        connection = Connection(None, address, receiver)
        connection.connect_timer = self.timers.call_later(
            timeout_s,
            lambda: self.close(connection, CONNECT_TIMED_OUT),
        )
        try:
            self._connect(connection, address)
        except (OSError, ValueError, OverflowError) as error:
            # No descriptor is left, or the address can't be used.
            self._close_later(connection, f'{address}: {error}')
        return connection

    def send(self, connection: Connection, chunk: bytes) -> None:
        """Send bytes; close the connection if more than ``max_unsent`` wait."""
        if connection.is_closed:
            return
        if connection.unsent or not connection.is_open:
            self._buffer_unsent(connection, chunk)
            return
        try:
            sent = connection.sock.send(chunk)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._close_later(connection, str(error))
            return
        connection.active_at = self.timers.now()
        if sent < len(chunk):
            self.poller.addWriter(self, connection.sock)
            self._buffer_unsent(connection, chunk[sent:])

    def count_open(self) -> int:
        """Return the number of open sockets."""
        return len(self.connections) + len(self.listeners)

    def finish(self, connection: Connection) -> None:
        """Close a connection once its buffered bytes are sent."""
        if connection.unsent:
            connection.is_finishing = True
        else:
            self.close(connection, 'finished')

    def close(self, connection: Connection, reason: str) -> None:
        """Close a connection now, dropping unsent bytes."""
        if connection.is_closed:
            return
        connection.is_closed = True
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
        if connection.sock is not None:
            self.poller.discard(connection.sock)
            self.connections.pop(connection.sock, None)
            connection.sock.close()
        connection.unsent.clear()
        connection.on_unsent = None
        connection.on_input_end = None
        if connection.receiver is not None:
            connection.receiver.on_close(reason, connection.is_open)

    def _connect(self, connection: Connection, address: str) -> None:
        """Begin to connect; raise an error if the system can't."""
        host, _, port = address.rpartition(':')
        target = (host, int(port))
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.sock = sock
        self.connections[sock] = connection
        sock.setblocking(False)
        set_tcp_options(sock)
        code = sock.connect_ex(target)
        if code and code not in IN_PROGRESS:
            reason = errno.errorcode.get(code, str(code))
            self._close_later(connection, reason)
            return
        self.poller.addWriter(self, sock)

    def _buffer_unsent(self, connection: Connection, chunk: bytes) -> None:
        connection.unsent.extend(chunk)
        if len(connection.unsent) > connection.max_unsent:
            self._close_later(connection, 'peer reads too slowly')
        connection.report_unsent()

    def _close_later(self, connection: Connection, reason: str) -> None:
        self.timers.call_later(0, lambda: self.close(connection, reason))

    @handlers.handler('_read')
    def _on_readable(self, sock: socket.socket) -> None:
        if sock in self.listeners:
            self._accept(sock)
            return
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            chunk = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(connection, str(error))
            return
        if not chunk:
            self._end_input(connection)
            return
        connection.active_at = self.timers.now()
        self._notify(connection, lambda: connection.receiver.on_bytes(chunk))

    def _end_input(self, connection: Connection) -> None:
        """Close a connection whose peer sends no more."""
        linger = connection.linger
        if linger is None:
            self.close(connection, CLOSED_BY_PEER)
            return
        self.poller.removeReader(connection.sock)
        if connection.on_input_end is not None:
            self._notify(connection, connection.on_input_end)
        self._linger(connection, linger.compute_end(self.timers.now()))

    def _linger(self, connection: Connection, until: float) -> None:
        """Close at a time, later while bytes wait, or after a reset."""
        if connection.is_closed:
            return
        # Counted first: a reset also drops the bytes that wait.
        waiting = connection.count_undelivered()
        if self._close_if_failed(connection):
            return
        now = self.timers.now()
        if waiting:
            until = connection.linger.compute_end(now)
        elif now >= until:
            self.close(connection, CLOSED_BY_PEER)
            return
        self.timers.call_later(
            RESET_CHECK_S, lambda: self._linger(connection, until)
        )

    @handlers.handler('_write')
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self.connections.get(sock)
        if connection is None:
            return
        if not connection.is_open and not self._open(connection):
            return
        self._flush(connection)

    @handlers.handler('_disconnect')
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self.connections.get(sock)
        if connection is not None:
            self.close(connection, 'connection refused or reset')

    def _open(self, connection: Connection) -> bool:
        if self._close_if_failed(connection):
            return False
        connection.connect_timer.cancel()
        connection.is_open = True
        connection.active_at = self.timers.now()
        self.poller.addReader(self, connection.sock)
        self._notify(connection, connection.receiver.on_open)
        return not connection.is_closed

    def _close_if_failed(self, connection: Connection) -> bool:
        """Close a connection with a pending error; return whether it had one."""
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(connection, errno.errorcode.get(code, str(code)))
        return bool(code)

    def _notify(
        self, connection: Connection, notify: abc.Callable[[], None]
    ) -> None:
        """Notify the receiver; its connection is closed if that fails."""
        try:
            notify()
        except Exception as error:
            logging.exception('connection failed: %r', error)
            self.close(connection, f'internal error: {error!r}')

    def _flush(self, connection: Connection) -> None:
        if connection.unsent:
            try:
                sent = connection.sock.send(connection.unsent)
            except BlockingIOError:
                return
            except OSError as error:
                self.close(connection, str(error))
                return
            del connection.unsent[:sent]
            connection.active_at = self.timers.now()
        if not connection.unsent:
            self.poller.removeWriter(connection.sock)
            if connection.is_finishing:
                self.close(connection, 'finished')
                return
        connection.report_unsent()

    def _accept(self, listener: socket.socket) -> None:
        accept = self.listeners[listener]
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, address = listener.accept()
            except OSError as error:
                if error.errno in EXHAUSTED:
                    self._pause_accepting(listener)
                return
            sock.setblocking(False)
            set_tcp_options(sock)
            connection = Connection(sock, f'{address[0]}:{address[1]}')
            connection.is_open = True
            connection.active_at = self.timers.now()
            self.connections[sock] = connection
            self.poller.addReader(self, sock)
            connection.receiver = accept(connection)

    def _pause_accepting(self, listener: socket.socket) -> None:
        """Leave new connections in the backlog for a while."""
        self.poller.removeReader(listener)
        self.timers.call_later(
            ACCEPT_PAUSE_S,
            lambda: self.poller.addReader(self, listener),
        )


def count_unacknowledged(sock: socket.socket) -> int:
    """Return the sent bytes without an acknowledgement, 0 if unknown."""
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def set_tcp_options(sock: socket.socket) -> None:
    """Disable send delays and detect a peer that no longer answers."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
