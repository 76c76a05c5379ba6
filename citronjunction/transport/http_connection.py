"""Connection of a caller, whose requests are parsed one at a time."""

from typing import TYPE_CHECKING

import h11
from absl import logging

from citronjunction.budgeting import bodies, models
from citronjunction.transport import framing, request_parser, sockets

if TYPE_CHECKING:
    from citronjunction.transport import http_server

REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
INTERNAL_ERROR = 500
UNAVAILABLE = 503
REQUEST_PARTS = (models.Part.receiving, models.Part.parsed, models.Part.held)


class HttpConnection:
    """Parse the requests on a caller's connection, one at a time."""

    __slots__ = (
        'account',
        'connection',
        'exchange',
        'keeps_alive',
        'parser',
        'pipelined',
        'server',
        'started_at',
    )

    def __init__(
        self, server: 'http_server.HttpServer', connection: sockets.Connection
    ) -> None:
        self.server = server
        self.connection = connection
        self.account: models.Account | None = None
        self.pipelined = bytearray()
        self._reset()

    def on_open(self) -> None:
        """Do nothing: an accepted connection is already open."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse bytes, or buffer them while a response is pending."""
        if self.connection.is_closed:
            return
        if self.exchange is not None or self.connection.unsent:
            self._buffer(chunk)
            return
        if self.started_at is None:
            self.started_at = self.server.timers.now()
            self.account.begin_step(self.started_at)
        self.account.moved += len(chunk)
        self._parse(chunk)

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report the caller's disconnect to the current exchange."""
        self.server.connections.discard(self)
        self.server.ledger.close(self.account)
        self.parser.release()
        self.pipelined.clear()
        exchange = self.exchange
        # Refers back to the connection; its request would stay in memory.
        self.exchange = None
        if exchange is not None:
            exchange.handle_disconnect()

    def send(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        self.server.sockets.send(self.connection, chunk)

    def close(self, reason: str) -> None:
        """Close the connection now."""
        self.server.sockets.close(self.connection, reason)

    def evict(self, ended: models.Ended) -> None:
        """Refuse the request in receipt, or close the connection."""
        if self.exchange is None and self.started_at is not None:
            status = REQUEST_TIMEOUT if ended.is_slow else UNAVAILABLE
            self._reject(status, f'callers take all room ({ended.limit.value})')
        self.close(f'evicted: {ended.limit.value}')

    def hold(self, size: int) -> None:
        """Account for the bytes of an answer that come before it is sent."""
        account = self.account
        previous = account.parts[models.Part.held]
        if not previous:
            # The time that a worker took is not the caller's.
            account.begin_step(self.server.timers.now())
        account.moved += max(0, size - previous)
        if not self.charge(models.Part.held, size):
            self.close('callers take all memory')

    def on_unsent(self, size: int) -> None:
        """Account for the bytes that the caller has not read."""
        now = self.server.timers.now()
        account = self.account
        previous = account.parts[models.Part.unsent]
        if size and not previous:
            account.begin_step(now)
        account.moved += max(0, previous - size)
        if not self.charge(models.Part.unsent, size):
            self.server.timers.call_later(
                0, lambda: self.close('callers take all memory')
            )
        elif not size and self.exchange is None:
            self._resume()

    def charge(self, part: models.Part, size: int) -> bool:
        """Account for bytes; return whether they fit."""
        now = self.server.timers.now()
        return self.server.ledger.charge(self.account, part, size, now)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection closes after the response."""
        return not self.keeps_alive or self.server.is_closing

    def complete(self) -> None:
        """Close the connection or start on its next request."""
        if self.connection.is_closed:
            return
        self._release_request()
        if self.is_closing:
            self.server.sockets.finish(self.connection)
            return
        self._reset()
        if not self.connection.unsent:
            self._resume()

    def is_overdue(self, now: float) -> bool:
        """Return whether a request takes too long or the connection is idle."""
        settings = self.server.settings
        if self.exchange is not None and not self.exchange.is_done:
            return False
        if self.started_at is not None:
            return now - self.started_at > settings.receive_s
        return now - self.connection.active_at > settings.idle_s

    def _reset(self) -> None:
        self.parser = request_parser.RequestParser(self.server.settings)
        self.exchange: 'http_server.Exchange | None' = None
        self.keeps_alive = True
        self.started_at: float | None = None

    def _release_request(self) -> None:
        self.server.ledger.bodies.release(self.account)
        self.account.is_running = False
        self.account.is_idle = True
        for part in REQUEST_PARTS:
            self.charge(part, 0)

    def _buffer(self, chunk: bytes) -> None:
        """Keep bytes of later requests until the response has been sent."""
        self.pipelined.extend(chunk)
        size = len(self.pipelined)
        if size > self.server.settings.max_head:
            self.close('more pipelined bytes than max_head')
        elif not self.charge(models.Part.waiting, size):
            self.close('callers take all memory')

    def _resume(self) -> None:
        """Parse the bytes that came behind the last request."""
        if self.pipelined:
            chunk = bytes(self.pipelined)
            self.pipelined.clear()
            self.charge(models.Part.waiting, 0)
            self.server.timers.call_later(0, lambda: self.on_bytes(chunk))

    def _parse(self, chunk: bytes) -> None:
        try:
            self._process_events(chunk)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
            return
        if self.exchange is not None or self.connection.is_closed:
            return
        excess = self.parser.describe_excess()
        if excess:
            self._reject(framing.BAD_REQUEST, excess)
        elif not self.charge(models.Part.receiving, self.parser.count_kept()):
            self._reject(UNAVAILABLE, bodies.NO_ROOM)

    def _process_events(self, chunk: bytes) -> None:
        for event in self.parser.feed(chunk):
            match event:
                case h11.Request() as head:
                    self._receive_head(head)
                case h11.Data(data=part):
                    self.parser.body.extend(part)
                    self._admit_body(len(self.parser.body))
                case h11.EndOfMessage():
                    self._dispatch()
                case _:
                    return

    def _receive_head(self, head: h11.Request) -> None:
        options = self.parser.receive_head(head)
        self.keeps_alive = options.keeps_alive
        if not self.charge(models.Part.parsed, options.kept_bytes):
            self._reject(UNAVAILABLE, bodies.NO_ROOM)
        elif self._admit_body(options.length) and options.is_expecting:
            self.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _admit_body(self, size: int) -> bool:
        """Reject a body for which there is no room; return whether there is."""
        limit = self.server.settings.max_body
        now = self.server.timers.now()
        if size > limit:
            self._reject(BODY_TOO_LARGE, f'request body exceeds {limit} bytes')
            return False
        has_room = self.server.ledger.reserve_body(self.account, size, now)
        if not has_room:
            self._reject(UNAVAILABLE, bodies.NO_ROOM)
        return has_room

    def _dispatch(self) -> None:
        trailing, _ = self.parser.h11.trailing_data
        self.pipelined.extend(trailing)
        self.charge(models.Part.waiting, len(self.pipelined))
        self.charge(models.Part.receiving, self.parser.count_kept())
        exchange = self.server.open_exchange(self, bytes(self.parser.body))
        self.exchange = exchange
        self.parser.release()
        self.account.is_running = True
        self.started_at = None
        try:
            self.server.application.handle(exchange)
        except Exception as error:
            logging.exception('request handler failed: %s', error)
            reason = 'internal error'
            self.server.application.reject(exchange, INTERNAL_ERROR, reason)

    def _reject(self, status: int, reason: str) -> None:
        """Answer a request that was not passed on, and take no more bytes."""
        self.keeps_alive = False
        self.exchange = self.server.open_exchange(self, b'')
        self.parser.release()
        self.server.application.reject(self.exchange, status, reason)
