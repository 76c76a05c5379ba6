"""TCP connections of a process, inbound and outbound, on one poller."""

import dataclasses
import errno
import socket
from collections import abc
from typing import Protocol

import circuits
from circuits.core import handlers

from citronjunction.transport import poller, timer_queue

RECEIVE_SIZE = 65536  # bytes
BACKLOG = 1024  # connections
MAX_ACCEPTS = 64  # connections accepted per turn of the loop
IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))
CLOSED_BY_PEER = 'closed by peer'
KEEPALIVE_IDLE_S = 1  # silence before the first probe
KEEPALIVE_INTERVAL_S = 1  # between probes
KEEPALIVE_PROBES = 2  # unanswered probes until a connection is lost
UNACKNOWLEDGED_MS = 2000  # age of sent bytes that loses a connection


class Receiver(Protocol):
    """Take what happens on a connection."""

    def on_open(self) -> None:
        """Start to use the connection."""

    def on_bytes(self, chunk: bytes) -> None:
        """Take bytes that have arrived."""

    def on_close(self, reason: str, was_open: bool) -> None:
        """Learn that the connection is gone."""


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """Hold the state of a socket; times are monotonic seconds."""

    sock: socket.socket
    peer_address: str
    receiver: Receiver | None = None
    unsent: bytearray = dataclasses.field(default_factory=bytearray)
    max_unsent: int = 1 << 20
    is_open: bool = False
    is_closed: bool = False
    is_finishing: bool = False
    active_at: float = 0
    dialling: timer_queue.Timer | None = None


Accept = abc.Callable[[Connection], Receiver]


class Sockets(circuits.BaseComponent):
    """Own the sockets of a process."""

    channel = 'sockets'

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        """Take the timers of the process."""
        super().__init__()
        self.timers = timers
        self.poller = poller.HashedPoller().register(self)
        self.listeners: dict[socket.socket, Accept] = {}
        self.connections: dict[socket.socket, Connection] = {}

    def listen(self, address: str, port: int, accept: Accept) -> int:
        """Listen for connections; return the port."""
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
        """Connect to ``IP:PORT`` without blocking."""
        host, _, port = address.rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        set_options(sock)
        connection = Connection(sock, address, receiver)
        self.connections[sock] = connection
        connection.dialling = self.timers.call_later(
            timeout_s,
            lambda: self.close(connection, 'connect timed out'),
        )
        code = sock.connect_ex((host, int(port)))
        if code and code not in IN_PROGRESS:
            reason = errno.errorcode.get(code, str(code))
            self.timers.call_later(0, lambda: self.close(connection, reason))
            return connection
        self.poller.addWriter(self, sock)
        return connection

    def send(self, connection: Connection, chunk: bytes) -> None:
        """Send bytes; a peer that reads too slowly is cut off."""
        if connection.is_closed:
            return
        if connection.unsent or not connection.is_open:
            self._keep_unsent(connection, chunk)
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
            self._keep_unsent(connection, chunk[sent:])

    def finish(self, connection: Connection) -> None:
        """Close a connection once all its bytes are sent."""
        if connection.unsent:
            connection.is_finishing = True
        else:
            self.close(connection, 'finished')

    def close(self, connection: Connection, reason: str) -> None:
        """Close a connection now."""
        if connection.is_closed:
            return
        connection.is_closed = True
        if connection.dialling is not None:
            connection.dialling.cancel()
        self.poller.discard(connection.sock)
        self.connections.pop(connection.sock, None)
        connection.sock.close()
        connection.unsent.clear()
        if connection.receiver is not None:
            connection.receiver.on_close(reason, connection.is_open)

    def _keep_unsent(self, connection: Connection, chunk: bytes) -> None:
        connection.unsent.extend(chunk)
        if len(connection.unsent) > connection.max_unsent:
            self._close_later(connection, 'peer reads too slowly')

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
            chunk = sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(connection, str(error))
            return
        if not chunk:
            self.close(connection, CLOSED_BY_PEER)
            return
        connection.active_at = self.timers.now()
        connection.receiver.on_bytes(chunk)

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
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(connection, errno.errorcode.get(code, str(code)))
            return False
        connection.dialling.cancel()
        connection.is_open = True
        connection.active_at = self.timers.now()
        self.poller.addReader(self, connection.sock)
        connection.receiver.on_open()
        return not connection.is_closed

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
        if connection.unsent:
            return
        self.poller.removeWriter(connection.sock)
        if connection.is_finishing:
            self.close(connection, 'finished')

    def _accept(self, listener: socket.socket) -> None:
        accept = self.listeners[listener]
        for _ in range(MAX_ACCEPTS):
            try:
                sock, address = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            set_options(sock)
            connection = Connection(sock, f'{address[0]}:{address[1]}')
            connection.is_open = True
            connection.active_at = self.timers.now()
            self.connections[sock] = connection
            self.poller.addReader(self, sock)
            connection.receiver = accept(connection)


def set_options(sock: socket.socket) -> None:
    """Send at once, and notice a peer that no longer answers."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
