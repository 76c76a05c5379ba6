"""HTTP client side: pooled connections, streamed responses, verdicts."""

import dataclasses
import re
from collections import abc
from typing import Protocol

from citronjunction.transport import responses, sockets, timer_queue
from citronjunction.verdicts import models as verdicts

MAX_IDLE_PER_ADDRESS = 32  # connections
MAX_PLAIN_BODY = 8388608  # bytes of a response read whole
MAX_UNSENT = 8388608  # bytes of a request that the server has not read
MAX_IDLE_S = 8.0  # reuse of a connection whose server states no time
NO_REUSE_S = -1.0  # idle time that no kept connection meets
IDLE_SHARE = 0.7  # of the idle time that a server states
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


@dataclasses.dataclass(slots=True, frozen=True)
class Echo:
    """Name a header that the server repeats, to match answers to calls."""

    name: str
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """Describe one request to a server at ``IP:PORT``.

    ``max_idle_s`` bounds how long a reused connection may have been idle.
    An answer whose echo differs belongs to another call and is dropped.
    """

    address: str
    method: str
    path: str
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    connect_s: float = 1.0
    silence_s: float = 20.0
    max_idle_s: float = MAX_IDLE_S
    host: str = ''
    echo: Echo | None = None

    def is_foreign(self, headers: abc.Mapping[str, str]) -> bool:
        """Tell whether an answer with such headers is another call's."""
        if self.echo is None:
            return False
        return headers.get(self.echo.name, self.echo.text) != self.echo.text


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Hold the head of a response; keys of ``headers`` are in lower case.

    ``fields`` are the headers as they came. ``is_framed`` tells that the end
    of the body does not depend on the end of the connection.
    """

    status: int
    headers: dict[str, str]
    fields: list[tuple[bytes, bytes]]
    is_framed: bool = True


class Sink(Protocol):
    """Take the response of a call."""

    def on_head(self, head: 'Head') -> None:
        """Take status and headers."""

    def on_data(self, chunk: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Learn that the response is whole."""

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Learn that no whole response will come."""


class Exchange:
    """Carry one call on one connection."""

    __slots__ = (
        'address',
        'call',
        'client',
        'connection',
        'idle_s',
        'is_sent',
        'is_head_told',
        'lost_code',
        'reader',
        'sink',
        'silence',
    )

    def __init__(self, client: 'HttpClient', call: Call, sink: Sink) -> None:
        """Take the call and the sink of its response."""
        self.client = client
        self.address = call.address
        self.connection: sockets.Connection | None = None
        self.silence: timer_queue.Timer | None = None
        self.idle_s = MAX_IDLE_S
        self.assign(call, sink)

    def assign(self, call: Call, sink: Sink) -> None:
        """Prepare for a call."""
        self.call = call
        self.sink: Sink | None = sink
        self.is_sent = False
        self.lost_code = 'connection_lost'
        self.is_head_told = False
        self.reader = responses.ResponseReader(call.is_foreign)

    def on_open(self) -> None:
        """Send the request."""
        self.is_sent = True
        self._watch_silence()
        request = encode_head(self.call) + self.call.body
        self.client.sockets.send(self.connection, request)

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a part of the response."""
        if self.sink is None:
            self.client.sockets.close(self.connection, 'unexpected bytes')
            return
        try:
            part = self.reader.feed(chunk)
        except responses.ResponseError as error:
            self._take_malformed(error)
            return
        self._tell(part)

    def _take_malformed(self, error: responses.ResponseError) -> None:
        if self.reader.is_whole:
            self.reader.keeps_alive = False
            self._tell(self.reader.take_body())
            return
        self.client.sockets.close(self.connection, f'bad response: {error}')

    def on_close(self, reason: str, was_open: bool) -> None:
        """Fail the call unless its response is whole."""
        self.client.forget(self)
        self._stop_watching()
        if self.sink is None:
            return
        if self.is_sent:
            self._finish_at_close(reason)
            return
        text = f'could not connect to {self.address}: {reason}'
        self._fail(verdicts.NotRun(text, code='connect_failed'))

    def cancel(self) -> None:
        """Drop the call; the server sees the connection close."""
        self.sink = None
        self.client.sockets.close(self.connection, 'cancelled')

    def _finish_at_close(self, reason: str) -> None:
        if reason == sockets.CLOSED_BY_PEER and self.reader.finish():
            self._complete()
            return
        text = f'connection to {self.address} lost: {reason}'
        self._fail(verdicts.MayHaveRun(text, code=self.lost_code))

    def _fail(self, failure: verdicts.Failure) -> None:
        sink = self.sink
        self.sink = None
        sink.on_failure(failure)

    def _tell(self, part: bytes) -> None:
        reader = self.reader
        if reader.has_head and not self.is_head_told:
            self.is_head_told = True
            head = Head(
                reader.status,
                reader.headers,
                reader.fields,
                reader.is_framed,
            )
            self.sink.on_head(head)
        if part and self.sink is not None:
            self.sink.on_data(part)
        if reader.is_whole and self.sink is not None:
            self._complete()

    def _complete(self) -> None:
        sink = self.sink
        self.sink = None
        self._stop_watching()
        if self._is_reusable():
            self.client.keep(self)
        else:
            self.client.sockets.close(self.connection, 'finished')
        sink.on_end()

    def _is_reusable(self) -> bool:
        connection = self.connection
        if connection.is_closed or connection.unsent:
            return False
        return self.reader.keeps_alive

    def _watch_silence(self) -> None:
        limit_s = self.call.silence_s
        self.silence = self.client.timers.call_later(
            limit_s,
            self._check_silence,
        )

    def _check_silence(self) -> None:
        timers = self.client.timers
        quiet_s = timers.now() - self.connection.active_at
        left_s = self.call.silence_s - quiet_s
        if left_s <= 0:
            reason = f'no byte for {self.call.silence_s} s'
            self.lost_code = 'timeout'
            self.client.sockets.close(self.connection, reason)
            return
        self.silence = timers.call_later(left_s, self._check_silence)

    def _stop_watching(self) -> None:
        if self.silence is not None:
            self.silence.cancel()
            self.silence = None


class HttpClient:
    """Send calls over pooled connections."""

    def __init__(
        self,
        owner: sockets.Sockets,
        timers: timer_queue.TimerQueue,
    ) -> None:
        """Take the sockets and timers of the process."""
        self.sockets = owner
        self.timers = timers
        self.idle: dict[str, list[Exchange]] = {}

    def send(self, call: Call, sink: Sink) -> Exchange:
        """Send a call; its response goes to the sink."""
        exchange = self._take_idle(call)
        if exchange is not None:
            exchange.assign(call, sink)
            exchange.on_open()
            return exchange
        exchange = Exchange(self, call, sink)
        exchange.connection = self.sockets.dial(
            call.address,
            exchange,
            call.connect_s,
        )
        exchange.connection.max_unsent = MAX_UNSENT
        return exchange

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        for exchange in self.idle.pop(address, ()):
            self.sockets.close(exchange.connection, 'no longer needed')

    def _take_idle(self, call: Call) -> Exchange | None:
        idle = self.idle.get(call.address)
        now = self.timers.now()
        while idle:
            exchange = idle.pop()
            quiet_s = now - exchange.connection.active_at
            if quiet_s < exchange.idle_s:
                if quiet_s <= call.max_idle_s:
                    return exchange
                idle.append(exchange)
                return None
            self.sockets.close(exchange.connection, 'idle for too long')
        return None

    def keep(self, exchange: Exchange) -> None:
        """Keep the connection of a completed call for later calls."""
        exchange.idle_s = get_idle_s(exchange.reader.headers)
        idle = self.idle.setdefault(exchange.address, [])
        if len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(exchange)
        else:
            self.sockets.close(exchange.connection, 'pool is full')

    def forget(self, exchange: Exchange) -> None:
        """Drop a closed connection from the pool."""
        idle = self.idle.get(exchange.address)
        if idle and exchange in idle:
            idle.remove(exchange)


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """Hold a whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


class ReplyCollector:
    """Collect a response and pass it on once it is whole."""

    __slots__ = ('body', 'headers', 'on_failure', 'on_reply', 'status')

    def __init__(
        self,
        on_reply: abc.Callable[[Reply], None],
        on_failure: abc.Callable[[verdicts.Failure], None],
    ) -> None:
        """Take the two calls of which one will be made."""
        self.on_reply = on_reply
        self.on_failure = on_failure
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def on_head(self, head: Head) -> None:
        """Keep the head."""
        self.status = head.status
        self.headers = head.headers

    def on_data(self, chunk: bytes) -> None:
        """Keep a part of the body, up to a bound."""
        if len(self.body) < MAX_PLAIN_BODY:
            self.body.extend(chunk)

    def on_end(self) -> None:
        """Pass the response on."""
        self.on_reply(Reply(self.status, self.headers, bytes(self.body)))


def encode_head(call: Call) -> bytes:
    """Encode the request line and headers of a call."""
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {call.host or call.address}',
    ]
    lines.extend(f'{name}: {text}' for name, text in call.headers.items())
    if call.body or call.method in BODY_METHODS:
        lines.append(f'Content-Length: {len(call.body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')


def get_idle_s(headers: abc.Mapping[str, str]) -> float:
    """Return how long a kept connection may be reused."""
    stated = KEEP_ALIVE_TIMEOUT.search(headers.get('keep-alive', ''))
    if stated is None:
        return MAX_IDLE_S
    return IDLE_SHARE * int(stated.group(1))
