"""HTTP server with strict framing, size limits and streamed responses."""

import dataclasses
from collections import abc
from typing import Protocol

from citronjunction.budgeting import ledger, models
from citronjunction.conf import models as conf
from citronjunction.transport import (
    encoding,
    http_connection,
    sockets,
    timer_queue,
)

SWEEP_INTERVAL_S = 1.0  # between checks for idle connections
STREAM_END = b'0\r\n\r\n'
UNAVAILABLE = http_connection.UNAVAILABLE


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """Represent one request; header names are in lower case.

    ``arrived_at`` is the time of its first byte, in monotonic seconds.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = 0


class Application(Protocol):
    """Answer the requests of an HTTP server."""

    def handle(self, exchange: 'Exchange') -> None:
        """Answer one request, now or later through the exchange."""

    def reject(self, exchange: 'Exchange', status: int, reason: str) -> None:
        """Answer a request that violates the protocol or a limit."""


class Exchange:
    """Pair one request with its response on the caller's connection."""

    __slots__ = (
        'connection',
        'is_chunked',
        'is_done',
        'is_started',
        'on_disconnect',
        'request',
        'server',
    )

    def __init__(
        self,
        server: 'HttpServer',
        connection: http_connection.HttpConnection,
        request: Request,
    ) -> None:
        self.server = server
        self.connection = connection
        self.request = request
        self.is_done = False
        self.is_started = False
        self.is_chunked = True
        self.on_disconnect: abc.Callable[[], None] | None = None

    @property
    def has_body(self) -> bool:
        """Return whether the response may have a body."""
        return self.request.method != encoding.HEAD

    def respond(
        self,
        status: int,
        headers: abc.Mapping[str, str],
        body: bytes,
    ) -> None:
        """Send a complete response."""
        if self.is_done:
            return
        self._send_head(status, encoding.encode_headers(headers), len(body))
        if self.has_body:
            self.connection.send(body)
        self._end()

    def start_stream(self, status: int, headers: abc.Mapping[str, str]) -> None:
        """Send the head of a chunked response."""
        self.start(status, encoding.encode_headers(headers), None)

    def start(
        self,
        status: int,
        fields: abc.Iterable[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Send the head of a relayed response; without length it is chunked."""
        self.is_started = True
        self.is_chunked = length is None
        self._send_head(status, fields, length)

    def push(self, chunk: bytes) -> None:
        """Send a part of the body after the head."""
        if not chunk or self.is_done or not self.has_body:
            return
        if self.is_chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self.connection.send(chunk)

    def finish(self) -> None:
        """Complete a response that ``start`` or ``start_stream`` began."""
        if not self.is_done:
            if self.is_chunked and self.has_body:
                self.connection.send(STREAM_END)
            self._end()

    def has_socket(self) -> bool:
        """Return whether the request may open a connection to a server."""
        server = self.server
        return server.ledger.has_socket(
            server.sockets.count_open(), server.timers.now()
        )

    def hold(self, size: int) -> None:
        """Account for bytes of the answer that are not sent yet."""
        self.connection.hold(size)

    def abort(self) -> None:
        """Close the connection; the caller sees an incomplete response."""
        if not self.is_done:
            self.is_done = True
            self.connection.close('aborted')

    def handle_disconnect(self) -> None:
        """End the exchange and call ``on_disconnect``: the caller has left."""
        if not self.is_done:
            self.is_done = True
            if self.on_disconnect is not None:
                self.on_disconnect()

    def _send_head(
        self,
        status: int,
        fields: abc.Iterable[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        lines = [
            b'HTTP/1.1 %d %b' % (status, encoding.get_reason_phrase(status))
        ]
        lines.extend(b'%b: %b' % field for field in fields)
        if length is None:
            lines.append(b'Transfer-Encoding: chunked')
        else:
            lines.append(b'Content-Length: %d' % length)
        if self.connection.is_closing:
            lines.append(b'Connection: close')
        lines.append(b'\r\n')
        self.connection.send(b'\r\n'.join(lines))

    def _end(self) -> None:
        self.is_done = True
        self.connection.complete()


class HttpServer:
    """Serve HTTP requests with an application."""

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        timers: timer_queue.TimerQueue,
        settings: conf.Http,
        application: Application,
        callers: ledger.Ledger | None = None,
        name: str = '',
    ) -> None:
        """Account for callers by name in a ledger that servers may share."""
        self.sockets = process_sockets
        self.timers = timers
        self.settings = settings
        self.application = application
        self.connections: set[http_connection.HttpConnection] = set()
        self.ledger = callers or ledger.Ledger(settings)
        self.ledger.count_sockets = process_sockets.count_open
        self.bodies = self.ledger.bodies
        self.is_closing = False
        self.name = name
        self.port = 0
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    def listen(self, address: str, port: int) -> int:
        """Start to listen; return the port, which is chosen if it was 0."""
        self.port = self.sockets.listen(address, port, self.accept)
        return self.port

    def accept(
        self, connection: sockets.Connection
    ) -> http_connection.HttpConnection:
        """Serve an accepted connection; it is closed if there are too many."""
        connection.max_unsent = self.settings.max_unsent
        receiver = http_connection.HttpConnection(self, connection)
        address = connection.peer_address.rpartition(':')[0]
        now = self.timers.now()
        account = self.ledger.open(self.name, address, receiver.evict, now)
        receiver.account = account or models.Account('', '', receiver.evict, 0)
        if account is None:
            receiver.account.is_open = False
            # Later, many accepted at once could take all descriptors.
            receiver.close('too many connections')
            return receiver
        connection.on_unsent = receiver.on_unsent
        self.connections.add(receiver)
        return receiver

    def open_exchange(
        self, receiver: http_connection.HttpConnection, body: bytes
    ) -> Exchange:
        """Return the exchange of the request that a connection has received."""
        head = receiver.parser.head
        request = Request('GET', '/', '', {}, b'')
        if head is not None:
            path, _, query = head.target.decode('latin-1').partition('?')
            request = Request(
                head.method.decode('latin-1'),
                path,
                query,
                encoding.decode_headers(head.headers),
                body,
                receiver.started_at or self.timers.now(),
            )
        return Exchange(self, receiver, request)

    def count_unsent(self) -> int:
        """Return the number of connections with bytes that wait to be sent."""
        return sum(
            bool(receiver.connection.unsent) for receiver in self.connections
        )

    def _sweep(self) -> None:
        now = self.timers.now()
        for receiver in tuple(self.connections):
            if receiver.is_overdue(now):
                receiver.close('idle or receive timeout')
