"""One attempt of a request at one worker."""

from collections import abc
from typing import Protocol

from citronjunction.attempts import policy
from citronjunction.conf import models as conf
from citronjunction.engines import completions
from citronjunction.engines import models as engines
from citronjunction.entry import models
from citronjunction.organisations import models as organisations
from citronjunction.routing import models as routing
from citronjunction.transport import http_client, routes, timer_queue
from citronjunction.verdicts import models as verdicts

OK = 200
MAX_ANSWER_BYTES = 33554432  # bytes of an answer collected whole
SERVER_ERROR = 500


class Owner(Protocol):
    """Take what an attempt brings."""

    def on_events(self, attempt: 'Attempt', events: bytes, count: int) -> None:
        """Take whole events with their number of tokens."""

    def on_buffered_answer(
        self, attempt: 'Attempt', reply: http_client.Reply
    ) -> None:
        """Take a whole answer that is not a stream."""

    def on_complete(self, attempt: 'Attempt') -> None:
        """Learn that a stream is whole."""

    def on_attempt_failed(
        self,
        attempt: 'Attempt',
        failure: verdicts.Failure,
    ) -> None:
        """Learn that the attempt failed."""


class Attempt:
    """Hold one attempt; times are monotonic seconds."""

    __slots__ = (
        'buffer',
        'call',
        'choice',
        'clock',
        'first_token_at',
        'headers',
        'is_first_token_measured',
        'is_over',
        'is_pace_measured',
        'is_stream',
        'owner',
        'reader',
        'sent_at',
        'status',
        'version',
    )

    def __init__(
        self,
        owner: Owner,
        choice: routing.Choice,
        version: str,
        clock: timer_queue.TimerQueue,
    ) -> None:
        """Take the owner, the chosen worker, the version and a clock."""
        self.clock = clock
        self.owner = owner
        self.choice = choice
        self.version = version
        self.call: http_client.Exchange | None = None
        self.reader = completions.EventStreamParser()
        self.buffer = bytearray()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_stream = False
        self.is_over = False
        self.is_first_token_measured = False
        self.is_pace_measured = False
        self.sent_at = self.clock.now()
        self.first_token_at: float = 0

    def cancel(self) -> None:
        """Drop the attempt; its worker stops to work on it."""
        if not self.is_over:
            self.is_over = True
            self.call.cancel()

    def on_head(self, head: http_client.Head) -> None:
        """Take the status."""
        self.status = head.status
        self.headers = head.headers
        content = head.headers.get('content-type', '')
        self.is_stream = head.status == OK and content.startswith(
            'text/event-stream',
        )

    def on_data(self, chunk: bytes) -> None:
        """Take a part of the answer."""
        if self.is_over:
            return
        if not self.first_token_at:
            self.first_token_at = self.clock.now()
        if not self.is_stream:
            self._collect(chunk)
            return
        before = self.reader.token_count
        events = self.reader.feed(chunk)
        if events:
            self.owner.on_events(self, events, self.reader.token_count - before)

    def on_end(self) -> None:
        """Judge the whole answer."""
        if self.is_over:
            return
        where = self.choice.worker.name
        if self.is_stream and not self.reader.is_done:
            text = f'{where} ended a stream before it was whole'
            self.on_failure(verdicts.MayHaveRun(text, code='cut_stream'))
            return
        failure = policy.classify_status(self.status, self.headers, where)
        if failure is not None:
            self.on_failure(failure)
            return
        self.is_over = True
        if self.is_stream:
            self.owner.on_complete(self)
        else:
            reply = http_client.Reply(
                self.status,
                self.headers,
                bytes(self.buffer),
            )
            self.owner.on_buffered_answer(self, reply)

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Pass the failure on, once."""
        if not self.is_over:
            self.is_over = True
            self.owner.on_attempt_failed(self, failure)

    def get_report(self) -> engines.LoadReport | None:
        """Return the load report that came with the answer."""
        return engines.parse_load_header(self.headers)

    def _collect(self, chunk: bytes) -> None:
        self.buffer.extend(chunk)
        if len(self.buffer) > MAX_ANSWER_BYTES:
            text = f'answer of {self.choice.worker.name} is too large'
            self.cancel()
            self.owner.on_attempt_failed(
                self,
                verdicts.MayHaveRun(text, code='answer_too_large'),
            )


def build_call(
    request: models.CallerRequest,
    attempt: Attempt,
    settings: conf.Attempts,
    offset: int,
    *,
    is_within_fair_share: bool,
) -> http_client.Call:
    """Build the call of an attempt."""
    headers = {
        'Citron-Request-Id': request.name,
        'Citron-Organisation': request.organisation.name,
        'Citron-Version': attempt.version,
    }
    match request.detail:
        case models.Completion(document=document):
            priority = organisations.ENGINE_PRIORITY[request.request_class]
            if not is_within_fair_share:
                priority += organisations.OVER_FAIR_SHARE_PENALTY
            return _build(
                attempt,
                settings,
                'POST',
                request.route,
                {**headers, 'Content-Type': routes.JSON_TYPE},
                completions.build_body(
                    document,
                    attempt.version,
                    priority,
                    offset,
                ),
                is_repeatable=True,
            )
        case models.ServiceCall(method=method, target=target):
            detail = request.detail
            if request.key:
                headers['Idempotency-Key'] = request.key
            return _build(
                attempt,
                settings,
                method,
                target,
                {**headers, 'Content-Type': detail.content_type},
                detail.body,
                is_repeatable=request.is_repeatable,
            )


def _build(
    attempt: Attempt,
    settings: conf.Attempts,
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
    *,
    is_repeatable: bool,
) -> http_client.Call:
    # A pooled connection may close as the request goes out, and then nobody
    # can say whether it ran: requests that may not repeat get a fresh one.
    return http_client.Call(
        attempt.choice.worker.address,
        method,
        path,
        headers,
        body,
        settings.connect_s,
        settings.silence_s,
        max_idle_s=http_client.MAX_IDLE_S
        if is_repeatable
        else http_client.NO_REUSE_S,
    )
