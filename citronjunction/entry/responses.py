"""The answer to a caller's request, buffered while the caller is away."""

import json
from collections import abc

from citronjunction.engines import completions
from citronjunction.transport import http_server, routes
from citronjunction.verdicts import http as verdict_http
from citronjunction.verdicts import models as verdicts

SSE_HEADERS = {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-cache'}
MAX_BUFFER_BYTES = 8388608  # further events of an answer are dropped


class CallerResponse:
    """Stream one answer or buffer it until it is complete.

    ``exchange`` is None while the caller of a handed-over request has not
    returned, and events are buffered until then. ``offset`` counts the tokens
    received from workers.
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
        'is_streaming',
    )

    def __init__(
        self,
        name: str,
        exchange: http_server.Exchange | None,
        *,
        is_streaming: bool,
        is_chat: bool,
    ) -> None:
        self.name = name
        self.exchange = exchange
        self.is_streaming = is_streaming
        self.is_chat = is_chat
        self.is_started = False
        self.is_finished = False
        self.failure: verdicts.Failure | None = None
        self.buffer = bytearray()
        self.offset = 0

    def attach(self, exchange: http_server.Exchange) -> None:
        """Send what is buffered to the returned caller, and continue."""
        self.exchange = exchange
        if self.failure is not None:
            self.fail(self.failure)
            return
        if self.is_streaming and (self.buffer or self.is_finished):
            buffered = bytes(self.buffer)
            self.buffer.clear()
            self._push_to_stream(buffered)
        if self.is_finished:
            self._finish()

    def push(self, events: bytes, offset: int) -> None:
        """Relay or buffer complete events; ``offset`` counts all tokens."""
        self.offset = offset
        if self.is_streaming and self.exchange is not None:
            self._push_to_stream(events)
        elif len(self.buffer) < MAX_BUFFER_BYTES:
            self.buffer.extend(events)

    def finish(self) -> None:
        """Finish a complete answer."""
        self.is_finished = True
        if self.exchange is not None:
            self._finish()

    def answer(
        self,
        status: int,
        headers: abc.Mapping[str, str],
        body: bytes,
    ) -> None:
        """Send a complete answer that does not consist of events."""
        self.is_finished = True
        if self.exchange is not None:
            extra = {verdict_http.REQUEST_ID_HEADER: self.name}
            self.exchange.respond(status, {**headers, **extra}, body)

    def fail(self, failure: verdicts.Failure) -> None:
        """Send a failure; abort a started stream after an error event."""
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
        """Redirect the caller to the entry that continues the request."""
        if self.exchange is None:
            return
        path = f'/v1/continuations/{self.name}'
        if not self.is_streaming:
            headers = {
                'Location': f'http://{address}{path}',
                verdict_http.REQUEST_ID_HEADER: self.name,
            }
            self.exchange.respond(303, headers, b'')
            return
        self._start_stream()
        document = {'entry': address, 'path': path, 'offset': self.offset}
        line = json.dumps(document).encode()
        self.exchange.push(b'event: continue\ndata: %b\n\n' % line)
        self.exchange.finish()

    def _start_stream(self) -> None:
        if not self.is_started:
            self.is_started = True
            headers = {verdict_http.REQUEST_ID_HEADER: self.name}
            self.exchange.start_stream(200, {**SSE_HEADERS, **headers})

    def _push_to_stream(self, events: bytes) -> None:
        self._start_stream()
        self.exchange.push(events)

    def _finish(self) -> None:
        if self.is_streaming:
            self._push_to_stream(
                completions.DONE_EVENT + completions.EVENT_SEPARATOR
            )
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
    """Answer with a failure and its verdict."""
    headers = {
        'Content-Type': routes.JSON_TYPE,
        verdict_http.REQUEST_ID_HEADER: name,
        **verdict_http.get_headers(failure),
    }
    body = verdict_http.encode_error(failure, name)
    exchange.respond(failure.status, headers, body)
