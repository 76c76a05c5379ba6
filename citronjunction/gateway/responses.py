"""The answer to a caller's request."""

from citronjunction.gateway import models
from citronjunction.transport import http_server
from citronjunction.verdicts import http
from citronjunction.verdicts import models as verdicts


class CallerResponse:
    """Write exactly one answer: a relayed one or a failure."""

    __slots__ = ('exchange', 'is_started', 'is_stream')

    def __init__(
        self, exchange: http_server.Exchange, *, is_stream: bool
    ) -> None:
        self.exchange = exchange
        self.is_stream = is_stream
        self.is_started = False

    def start(self, answer: models.AnswerHead) -> None:
        """Send the head of an answer; later calls are ignored."""
        if self.is_started:
            return
        self.is_started = True
        # A resumed stream may differ in length from the first worker's.
        length = None if self.is_stream else answer.length
        self.exchange.start(answer.status, answer.fields, length)

    def push(self, part: bytes) -> None:
        """Relay a part of the body."""
        self.exchange.push(part)

    def finish(self) -> None:
        """Finish a complete answer."""
        self.exchange.finish()

    def answer(self, answer: models.AnswerHead, body: bytes) -> None:
        """Send a buffered answer, or abort an answer that has started."""
        if self.is_started:
            self.exchange.abort()
            return
        self.is_started = True
        length = len(body) if self.exchange.has_body else answer.length
        self.exchange.start(answer.status, answer.fields, length)
        self.exchange.push(body)
        self.exchange.finish()

    def fail(self, failure: verdicts.Failure) -> None:
        """Send a failure, or abort an answer that has started."""
        if self.is_started:
            self.exchange.abort()
            return
        headers = http.get_headers(failure)
        match failure:
            case verdicts.NotRun(retry_after_s=delay_s):
                headers['Retry-After'] = f'{delay_s:.2f}'
            case verdicts.MayHaveRun():
                pass
        body = http.encode_error(failure, '')
        headers['Content-Type'] = 'application/json'
        self.exchange.respond(failure.status, headers, body)
