"""HTTP server with strict framing, size limits and streamed responses."""

import dataclasses
from collections import abc
from typing import Protocol

import h11
from absl import logging

from citronjunction.conf import models
from citronjunction.transport import (
    bodies,
    encoding,
    framing,
    sockets,
    timer_queue,
)

SWEEP_INTERVAL_S = 1.0  # between checks for idle connections
STREAM_END = b'0\r\n\r\n'
BODY_TOO_LARGE = 413
INTERNAL_ERROR = 500
UNAVAILABLE = 503


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
        connection: 'HttpConnection',
        request: Request,
    ) -> None:
        self.server = server
        self.connection = connection
        self.request = request
        self.is_done = False
        self.is_started = False
        self.is_chunked = True
        self.on_disconnect: abc.Callable[[], None] | None = None

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
        if self.request.method != 'HEAD':
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
        if not chunk or self.is_done:
            return
        if self.is_chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self.connection.send(chunk)

    def finish(self) -> None:
        """Complete a response that ``start`` or ``start_stream`` began."""
        if not self.is_done:
            if self.is_chunked:
                self.connection.send(STREAM_END)
            self._end()

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


class HttpConnection:
    """Parse the requests on a caller's connection, one at a time."""

    __slots__ = (
        'body',
        'connection',
        'exchange',
        'head',
        'keeps_alive',
        'parser',
        'pipelined',
        'received',
        'server',
        'started_at',
    )

    def __init__(
        self, server: 'HttpServer', connection: sockets.Connection
    ) -> None:
        self.server = server
        self.connection = connection
        self.pipelined = bytearray()
        self._reset()

    def on_open(self) -> None:
        """Do nothing: an accepted connection is already open."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse bytes, or buffer them while a response is pending."""
        if self.exchange is not None:
            self.pipelined.extend(chunk)
            if len(self.pipelined) > self.server.settings.max_head:
                self.close('more pipelined bytes than max_head')
            return
        if self.started_at is None:
            self.started_at = self.server.timers.now()
        self._parse(chunk)

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report the caller's disconnect to the current exchange."""
        self.server.connections.discard(self)
        self.server.bodies.release(self)
        if self.exchange is not None:
            self.exchange.handle_disconnect()

    def send(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        self.server.sockets.send(self.connection, chunk)

    def close(self, reason: str) -> None:
        """Close the connection now."""
        self.server.sockets.close(self.connection, reason)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection closes after the response."""
        return not self.keeps_alive or self.server.is_closing

    def complete(self) -> None:
        """Close the connection or start on its next request."""
        if self.is_closing:
            self.server.sockets.finish(self.connection)
            return
        self._reset()
        if self.pipelined:
            chunk = bytes(self.pipelined)
            self.pipelined.clear()
            self.server.timers.call_later(0, lambda: self.on_bytes(chunk))

    def is_overdue(self, now: float) -> bool:
        """Return whether a request takes too long or the connection is idle."""
        settings = self.server.settings
        if self.exchange is not None:
            return False
        if self.started_at is not None:
            return now - self.started_at > settings.receive_s
        return now - self.connection.active_at > settings.idle_s

    def _reset(self) -> None:
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.server.settings.max_head,
        )
        self.head: h11.Request | None = None
        self.server.bodies.release(self)
        self.body = bytearray()
        self.received = 0
        self.exchange: Exchange | None = None
        self.keeps_alive = True
        self.started_at: float | None = None

    def _parse(self, chunk: bytes) -> None:
        self.parser.receive_data(chunk)
        self.received += len(chunk)
        try:
            self._process_events()
            self._check_overhead()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _process_events(self) -> None:
        while self.exchange is None:
            match self.parser.next_event():
                case h11.Request() as head:
                    self._receive_head(head)
                case h11.Data(data=chunk):
                    self._receive_body(chunk)
                case h11.EndOfMessage():
                    self._dispatch()
                case _:
                    return

    def _check_overhead(self) -> None:
        """Reject a request with more bytes beside its body than it needs."""
        if self.exchange is not None:
            return
        # The head and the trailers may each be as large as a head.
        base = 2 * self.server.settings.max_head
        excess = framing.describe_excess(self.received, len(self.body), base)
        if excess:
            self._reject(framing.BAD_REQUEST, excess)

    def _receive_head(self, head: h11.Request) -> None:
        framing.check_head(head, self.server.settings.max_head)
        self.head = head
        headers = dict(head.headers)
        connection_options = headers.get(b'connection', b'').lower()
        self.keeps_alive = (
            head.http_version == b'1.1' and b'close' not in connection_options
        )
        length = int(headers.get(b'content-length', b'0'))
        is_expecting = headers.get(b'expect', b'').lower() == b'100-continue'
        if self._admit_body(length) and is_expecting:
            self.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _receive_body(self, chunk: bytes) -> None:
        self.body.extend(chunk)
        self._admit_body(len(self.body))

    def _admit_body(self, size: int) -> bool:
        """Reject a body for which there is no room; return whether there is."""
        limit = self.server.settings.max_body
        if size > limit:
            self._reject(BODY_TOO_LARGE, f'request body exceeds {limit} bytes')
        elif not self.server.bodies.reserve(self, size):
            self._reject(UNAVAILABLE, bodies.NO_ROOM)
        return self.exchange is None

    def _dispatch(self) -> None:
        trailing, _ = self.parser.trailing_data
        self.pipelined.extend(trailing)
        request = self._build_request()
        self.body = bytearray()
        self.started_at = None
        self.exchange = Exchange(self.server, self, request)
        try:
            self.server.application.handle(self.exchange)
        except Exception as error:
            logging.exception('request handler failed: %s', error)
            reason = 'internal error'
            self.server.application.reject(
                self.exchange, INTERNAL_ERROR, reason
            )

    def _build_request(self) -> Request:
        if self.head is None:
            return Request('GET', '/', '', {}, b'')
        target = self.head.target.decode('latin-1')
        path, _, query = target.partition('?')
        return Request(
            self.head.method.decode('latin-1'),
            path,
            query,
            encoding.decode_headers(self.head.headers),
            bytes(self.body),
            self.started_at or self.server.timers.now(),
        )

    def _reject(self, status: int, reason: str) -> None:
        self.keeps_alive = False
        self.exchange = Exchange(self.server, self, self._build_request())
        self.server.application.reject(self.exchange, status, reason)


class HttpServer:
    """Serve HTTP requests with an application."""

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        timers: timer_queue.TimerQueue,
        settings: models.Http,
        application: Application,
    ) -> None:
        self.sockets = process_sockets
        self.timers = timers
        self.settings = settings
        self.application = application
        self.connections: set[HttpConnection] = set()
        self.bodies = bodies.BodyBudget(settings)
        self.is_closing = False
        self.port = 0
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    def listen(self, address: str, port: int) -> int:
        """Start to listen; return the port, which is chosen if it was 0."""
        self.port = self.sockets.listen(address, port, self.accept)
        return self.port

    def accept(self, connection: sockets.Connection) -> HttpConnection:
        """Serve an accepted connection; it is closed if there are too many."""
        connection.max_unsent = self.settings.max_unsent
        receiver = HttpConnection(self, connection)
        self.connections.add(receiver)
        if len(self.connections) > self.settings.max_connections:
            self.timers.call_later(
                0, lambda: receiver.close('too many connections')
            )
        return receiver

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
