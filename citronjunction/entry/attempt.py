"""One attempt to run a request at a worker."""

from collections import abc
from typing import Protocol

from citronjunction.attempts import policy
from citronjunction.conf import models as conf
from citronjunction.engines import completions
from citronjunction.engines import models as engines
from citronjunction.entry import models
from citronjunction.organisations import models as organisations
from citronjunction.routing import models as routing
from citronjunction.transport import (
    http_client,
    keep_alive,
    routes,
    timer_queue,
)
from citronjunction.verdicts import models as verdicts

OK = 200
MAX_ANSWER_BYTES = 33554432  # a longer buffered answer fails the attempt


class Owner(Protocol):
    """Receiver of an attempt's answer or failure."""

    def on_events(self, attempt: 'Attempt', events: bytes, count: int) -> None:
        """Relay complete events that contain ``count`` tokens."""

    def on_buffered_answer(
        self, attempt: 'Attempt', reply: http_client.Reply
    ) -> None:
        """Send a complete answer that is not a stream."""

    def on_complete(self, attempt: 'Attempt') -> None:
        """Finish the answer after a complete stream."""

    def on_attempt_failed(
        self,
        attempt: 'Attempt',
        failure: verdicts.Failure,
    ) -> None:
        """Handle the failure of the attempt."""


class Attempt:
    """Receive a worker's answer and classify failures.

    Times are monotonic seconds. ``first_byte_at`` is 0 until the first byte
    of the body.
    """

    __slots__ = (
        'buffer',
        'call',
        'choice',
        'clock',
        'first_byte_at',
        'headers',
        'is_first_byte_measured',
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
        self.is_first_byte_measured = False
        self.is_pace_measured = False
        self.sent_at = self.clock.now()
        self.first_byte_at: float = 0

    def cancel(self) -> None:
        """Close the call, which cancels the work at the worker."""
        if not self.is_over:
            self.is_over = True
            self.call.cancel()

    def on_head(self, head: http_client.Head) -> None:
        """Record the status and headers."""
        self.status = head.status
        self.headers = head.headers
        content_type = head.headers.get('content-type', '')
        self.is_stream = head.status == OK and content_type.startswith(
            'text/event-stream',
        )

    def on_data(self, chunk: bytes) -> None:
        """Relay complete events of a stream, or buffer a part of an answer."""
        if self.is_over:
            return
        if not self.first_byte_at:
            self.first_byte_at = self.clock.now()
        if not self.is_stream:
            self._buffer_part(chunk)
            return
        before = self.reader.token_count
        events = self.reader.feed(chunk)
        if events:
            self.owner.on_events(self, events, self.reader.token_count - before)

    def on_end(self) -> None:
        """Report the answer as complete or as failed."""
        if self.is_over:
            return
        worker_name = self.choice.worker.name
        if self.is_stream and not self.reader.is_done:
            text = f'{worker_name} closed a stream before its end'
            self.on_failure(verdicts.MayHaveRun(text, code='cut_stream'))
            return
        failure = policy.classify_status(self.status, self.headers, worker_name)
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
        """Report a failure unless the attempt is over."""
        if not self.is_over:
            self.is_over = True
            self.owner.on_attempt_failed(self, failure)

    def get_report(self) -> engines.LoadReport | None:
        """Return the load report in the headers of the answer, if any."""
        return engines.parse_load_header(self.headers)

    def _buffer_part(self, chunk: bytes) -> None:
        self.buffer.extend(chunk)
        if len(self.buffer) > MAX_ANSWER_BYTES:
            text = f'answer of {self.choice.worker.name} exceeds the size limit'
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
    """Build the HTTP call of an attempt.

    The worker resumes a stream after ``offset`` tokens.
    """
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
            return _build_call(
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
            return _build_call(
                attempt,
                settings,
                method,
                target,
                {**headers, 'Content-Type': detail.content_type},
                detail.body,
                is_repeatable=request.is_repeatable,
            )


def _build_call(
    attempt: Attempt,
    settings: conf.Attempts,
    method: str,
    path: str,
    headers: abc.Mapping[str, str],
    body: bytes,
    *,
    is_repeatable: bool,
) -> http_client.Call:
    # A worker may close a pooled connection while the request is being sent,
    # which leaves unknown whether the request ran. Requests that must not be
    # repeated get a new connection.
    return http_client.Call(
        attempt.choice.worker.address,
        method,
        path,
        headers,
        body,
        settings.connect_s,
        settings.silence_s,
        max_idle_s=keep_alive.MAX_IDLE_S
        if is_repeatable
        else http_client.NO_REUSE_S,
    )
