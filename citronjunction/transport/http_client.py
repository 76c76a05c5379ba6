"""HTTP client with pooled connections and streamed responses.

Its failures state whether the server may have run the request.
"""

import dataclasses
import math
from collections import abc
from typing import Protocol

from citronjunction.transport import (
    call_limits,
    connection_pool,
    echoes,
    encoding,
    keep_alive,
    responses,
    sockets,
    timer_queue,
    unframed,
)
from citronjunction.verdicts import models as verdicts

MAX_REPLY_BYTES = 8388608  # longer bodies fail a call by default
MAX_UNSENT_BYTES = 8388608  # more unsent bytes close the connection
NO_REUSE_S = -1.0  # as ``max_idle_s``: always open a new connection


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """Describe one request to a server at ``IP:PORT``.

    ``connect_s`` limits the connect, ``silence_s`` the time without a byte in
    either direction, ``limit_s`` the time until the response has ended,
    ``max_idle_s`` how long a reused connection may have been idle. A response
    with a different echo belongs to another call and is dropped.

    ``has_expired`` tells whether the call must not be delivered any more. Such
    a call takes a connection of its own, whose opening shows that there is a
    path, and resets it if it is given up.

    A response without a length to a request with a body is complete once no
    reset has followed its end for a while, if possible within ``end_s`` of the
    start of the call. Without ``checks_end`` it is complete at its end, which is
    enough for content that can't be cut unnoticed.
    """

    address: str
    method: str
    path: str
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    connect_s: float = 1.0
    silence_s: float = 20.0
    limit_s: float = math.inf
    max_idle_s: float = keep_alive.MAX_IDLE_S
    host: str = ''
    echo: echoes.Echo | None = None
    has_expired: abc.Callable[[], bool] | None = None
    end_s: float = math.inf
    checks_end: bool = True

    def is_identified_by(self, headers: abc.Mapping[str, str]) -> bool:
        """Return whether a later copy of a response can be told from others."""
        echo = self.echo
        return echo is None or echo.is_optional or echo.name in headers

    @property
    def pool_key(self) -> connection_pool.Key:
        """Return the pool of connections that the call may use."""
        return self.address, self.echo is not None


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Represent the head of a response; keys of ``headers`` are in lower case.

    ``fields`` are the headers as received. ``is_framed`` is false if only the
    end of the connection ends the body.
    """

    status: int
    headers: dict[str, str]
    fields: list[tuple[bytes, bytes]]
    is_framed: bool = True


class BodyTooLarge(Exception):
    """Raised by a sink for a body that it can't hold."""


class Sink(Protocol):
    """Receive the response of a call."""

    def on_head(self, head: 'Head') -> None:
        """Receive the status and headers."""

    def on_data(self, chunk: bytes) -> None:
        """Receive a part of the body, or raise ``BodyTooLarge``."""

    def on_end(self) -> None:
        """Finish: the response is complete."""

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Finish with a failure: no complete response arrives."""


class Exchange:
    """Run one call at a time on a connection that later calls may reuse."""

    __slots__ = (
        'body_bytes',
        'call',
        'client',
        'connection',
        'idle_s',
        'is_head_delivered',
        'is_reused',
        'is_sent',
        'loss_code',
        'on_input_end',
        'opened_at',
        'reader',
        'sink',
        'started_at',
        'timer',
    )

    def __init__(self, client: 'HttpClient', call: Call, sink: Sink) -> None:
        self.client = client
        self.connection: sockets.Connection | None = None
        self.timer = call_limits.CallTimer(client.timers, self)
        self.idle_s = keep_alive.MAX_IDLE_S
        self.is_reused = False
        self.assign(call, sink)

    def assign(self, call: Call, sink: Sink) -> None:
        """Reset the state for the next call on the connection."""
        self.call = call
        self.sink: Sink | None = sink
        self.body_bytes = len(call.body)
        self.is_sent = False
        self.started_at = self.client.timers.now()
        self.opened_at: float = 0
        # Called as the server ends its stream, before the response is complete.
        self.on_input_end: abc.Callable[[], None] | None = None
        self.loss_code = 'connection_lost'
        self.is_head_delivered = False
        self.reader = responses.ResponseReader(
            call.echo and call.echo.is_of_other_call,
            has_body=call.method != encoding.HEAD,
        )

    def on_open(self) -> None:
        """Send the request, unless the call has expired meanwhile."""
        if call_limits.has_expired(self.call):
            self.client.sockets.close(self.connection, call_limits.EXPIRED)
            return
        if self.call.has_expired is not None:
            self.connection.set_reset_at_close(is_reset=True)
        self.is_sent = True
        self.opened_at = self.client.timers.now()
        self.timer.start()
        request = encoding.encode_call_head(self.call) + self.call.body
        if self.call.body:
            self.call = dataclasses.replace(self.call, body=b'')
        self.client.sockets.send(self.connection, request)

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a part of the response."""
        if self.sink is None:
            self.client.sockets.close(self.connection, 'unexpected bytes')
            return
        try:
            part = self.reader.feed(chunk)
        except responses.ResponseError as error:
            self._handle_malformed(error)
            return
        self._deliver(part)

    def _handle_malformed(self, error: responses.ResponseError) -> None:
        if self.reader.is_complete:
            self.reader.keeps_alive = False
            self._deliver(self.reader.pop_body())
            return
        self._reject(f'bad response: {error}')

    def _reject(self, reason: str) -> None:
        """Fail the call, as its response can't be used."""
        self.loss_code = 'bad_answer'
        self.client.sockets.close(self.connection, reason)

    def on_close(self, reason: str, was_open: bool) -> None:
        """Fail the call unless its response is complete."""
        self.client.pool.discard(self)
        self.timer.cancel()
        if self.sink is None:
            return
        if self.is_sent:
            self._finish_at_close(reason)
            return
        text = f'could not connect to {self.call.address}: {reason}'
        self._fail(verdicts.NotRun(text, code='connect_failed'))

    def give_up(self, reason: str) -> None:
        """Fail the call, which has exceeded a limit in time."""
        self.loss_code = 'timeout'
        self._abandon(reason)

    def cancel(self) -> None:
        """Abandon the call and close its connection."""
        self._take_sink()
        self._abandon('cancelled')

    def _abandon(self, reason: str) -> None:
        """Close the connection; what the server lacks of the call is dropped.

        Otherwise the close is ordinary, which the kernel repeats if it is lost.
        """
        connection = self.connection
        if not connection.is_closed and connection.count_undelivered():
            connection.set_reset_at_close(is_reset=True)
        self.client.sockets.close(connection, reason)

    def _finish_at_close(self, reason: str) -> None:
        if reason == sockets.CLOSED_BY_PEER and self.reader.finish():
            self._complete()
            return
        text = f'connection to {self.call.address} lost: {reason}'
        self._fail(verdicts.MayHaveRun(text, code=self.loss_code))

    def _fail(self, failure: verdicts.Failure) -> None:
        self._take_sink().on_failure(failure)

    def _take_sink(self) -> Sink | None:
        """Return the sink; nothing else is passed on, or kept in memory."""
        sink = self.sink
        self.sink = None
        self.on_input_end = None
        self.reader.release()
        return sink

    def _deliver(self, part: bytes) -> None:
        reader = self.reader
        if reader.has_head and not self.is_head_delivered:
            self._deliver_head()
        if part and self.sink is not None and not self._pass_on(part):
            return
        if reader.is_complete and self.sink is not None:
            self._complete()

    def _deliver_head(self) -> None:
        self.is_head_delivered = True
        reader = self.reader
        self.sink.on_head(
            Head(reader.status, reader.headers, reader.fields, reader.is_framed)
        )
        is_cancelled = self.sink is None
        if not (reader.is_framed or reader.is_complete or is_cancelled):
            self._check_unframed()

    def _check_unframed(self) -> None:
        """Fail a response that may not end with its connection."""
        connection = self.connection
        connection.on_input_end = self.on_input_end
        connection.linger = unframed.build_linger(
            self.reader.status,
            self.body_bytes if self.call.checks_end else 0,
            self.started_at + self.call.end_s,
        )
        undelivered = connection.count_undelivered()
        if not unframed.may_begin(self.reader.status, undelivered):
            self._reject(
                f'response without a length before {undelivered} bytes of its'
                ' request were received'
            )

    def _pass_on(self, part: bytes) -> bool:
        """Pass a part of the body on; return whether the sink took it."""
        try:
            self.sink.on_data(part)
        except BodyTooLarge as error:
            self._reject(str(error))
            return False
        return True

    def _complete(self) -> None:
        sink = self._take_sink()
        self.timer.cancel()
        if self._is_reusable():
            self.client.pool.keep(self)
        else:
            self.connection.set_reset_at_close(is_reset=False)
            self.client.sockets.close(self.connection, 'finished')
        sink.on_end()

    def _is_reusable(self) -> bool:
        connection = self.connection
        if connection.is_closed or connection.unsent:
            return False
        if self.call.has_expired is not None:
            return False
        is_identified = self.call.is_identified_by(self.reader.headers)
        return self.reader.keeps_alive and is_identified


class HttpClient:
    """Send calls over connections that are pooled by address."""

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        timers: timer_queue.TimerQueue,
    ) -> None:
        self.sockets = process_sockets
        self.timers = timers
        self.pool = connection_pool.ConnectionPool(process_sockets, timers)

    def send(self, call: Call, sink: Sink) -> Exchange:
        """Send a call; report its response or failure to the sink."""
        exchange = self.pool.acquire(call)
        if exchange is not None:
            exchange.is_reused = True
            exchange.assign(call, sink)
            exchange.on_open()
            return exchange
        exchange = Exchange(self, call, sink)
        exchange.connection = self.sockets.dial(
            call.address,
            exchange,
            call.connect_s,
        )
        exchange.connection.max_unsent = MAX_UNSENT_BYTES
        return exchange


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """Represent a complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, eq=False)
class ReplyCollector:
    """Collect a response in memory and pass it on once it is complete.

    Exactly one of the callbacks is called, once. A body of more than
    ``max_bytes`` fails the call.
    """

    on_reply: abc.Callable[[Reply], None]
    on_failure: abc.Callable[[verdicts.Failure], None]
    max_bytes: int = MAX_REPLY_BYTES
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)

    def on_head(self, head: Head) -> None:
        """Store the status and headers."""
        self.status = head.status
        self.headers = head.headers

    def on_data(self, chunk: bytes) -> None:
        """Append a part of the body, up to ``max_bytes``."""
        self.body.extend(chunk)
        if len(self.body) > self.max_bytes:
            raise BodyTooLarge(f'the body exceeds {self.max_bytes} bytes')

    def on_end(self) -> None:
        """Pass the complete response on."""
        self.on_reply(Reply(self.status, self.headers, bytes(self.body)))
