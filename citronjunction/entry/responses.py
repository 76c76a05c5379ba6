"""Where a request's answer goes: to its caller, now or on return."""

import json
from collections import abc

from citronjunction.engines import completions
from citronjunction.transport import http_server, routes
from citronjunction.verdicts import http as verdict_http
from citronjunction.verdicts import models as verdicts

SSE_HEADERS = {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-cache'}
MAX_BUFFER_BYTES = 8388608  # bytes of a whole answer


class CallerResponse:
    """Collect or stream one answer.

    A caller that is handed over is away for a while: what it has not seen
    is kept until it returns.
    """

    __slots__ = (
        'buffer',
        'exchange',
        'failure',
        'is_chat',
        'is_finished',
        'is_started',
        'name',
        'offset',
        'streams',
    )

    def __init__(
        self,
        name: str,
        exchange: http_server.Exchange | None,
        *,
        streams: bool,
        is_chat: bool,
    ) -> None:
        """Take the request id and the exchange, if the caller is here."""
        self.name = name
        self.exchange = exchange
        self.streams = streams
        self.is_chat = is_chat
        self.is_started = False
        self.is_finished = False
        self.failure: verdicts.Failure | None = None
        self.buffer = bytearray()
        self.offset = 0

    def attach(self, exchange: http_server.Exchange) -> None:
        """Take the caller that has returned."""
        self.exchange = exchange
        if self.failure is not None:
            self.fail(self.failure)
            return
        if self.streams and (self.buffer or self.is_finished):
            held = bytes(self.buffer)
            self.buffer.clear()
            self._push(held)
        if self.is_finished:
            self._finish()

    def push(self, events: bytes, offset: int) -> None:
        """Pass on whole events; ``offset`` counts all tokens so far."""
        self.offset = offset
        if self.streams and self.exchange is not None:
            self._push(events)
        elif len(self.buffer) < MAX_BUFFER_BYTES:
            self.buffer.extend(events)

    def finish(self) -> None:
        """Mark the answer as whole."""
        self.is_finished = True
        if self.exchange is not None:
            self._finish()

    def answer(
        self,
        status: int,
        headers: abc.Mapping[str, str],
        body: bytes,
    ) -> None:
        """Give a whole answer that is no stream of events."""
        self.is_finished = True
        if self.exchange is not None:
            extra = {verdict_http.REQUEST_ID_HEADER: self.name}
            self.exchange.respond(status, {**headers, **extra}, body)

    def fail(self, failure: verdicts.Failure) -> None:
        """Give the verdict; a started stream is cut off visibly."""
        self.failure = failure
        if self.exchange is None:
            return
        if not self.is_started:
            respond_failure(self.exchange, failure, self.name)
            return
        error = verdict_http.encode_error(failure, self.name)
        self.exchange.push(b'event: error\ndata: %b\n\n' % error)
        self.exchange.abort()

    def redirect(self, address: str) -> None:
        """Send the caller to the entry that goes on with the request."""
        if self.exchange is None:
            return
        path = f'/v1/continuations/{self.name}'
        if not self.streams:
            headers = {
                'Location': f'http://{address}{path}',
                verdict_http.REQUEST_ID_HEADER: self.name,
            }
            self.exchange.respond(303, headers, b'')
            return
        self._start()
        document = {'entry': address, 'path': path, 'offset': self.offset}
        line = json.dumps(document).encode()
        self.exchange.push(b'event: continue\ndata: %b\n\n' % line)
        self.exchange.finish()

    def _start(self) -> None:
        if not self.is_started:
            self.is_started = True
            headers = {verdict_http.REQUEST_ID_HEADER: self.name}
            self.exchange.start_stream(200, {**SSE_HEADERS, **headers})

    def _push(self, events: bytes) -> None:
        self._start()
        self.exchange.push(events)

    def _finish(self) -> None:
        if self.streams:
            self._push(completions.DONE_EVENT + completions.EVENT_SEPARATOR)
            self.exchange.finish()
            return
        joined = completions.join_events(bytes(self.buffer), self.is_chat)
        headers = {verdict_http.REQUEST_ID_HEADER: self.name}
        routes.respond_json(self.exchange, 200, joined, headers)


def respond_failure(
    exchange: http_server.Exchange,
    failure: verdicts.Failure,
    name: str,
) -> None:
    """Answer with a verdict."""
    headers = {
        'Content-Type': routes.JSON_TYPE,
        verdict_http.REQUEST_ID_HEADER: name,
        **verdict_http.get_headers(failure),
    }
    body = verdict_http.encode_error(failure, name)
    exchange.respond(failure.status, headers, body)
