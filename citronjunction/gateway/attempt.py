"""One attempt of a request at one worker."""

from typing import Protocol

from citronjunction.gateway import events, evidence, fleet, models, ports
from citronjunction.transport import http_client, timer_queue
from citronjunction.verdicts import models as verdicts

MAX_HELD = 262144  # bytes of a plain answer held until it is whole
# Statuses that promise the caller that its request has not run.
PROMISES = frozenset((408, 421, 429, 503))
SERVER_ERROR = 500


class Owner(Protocol):
    """Take what comes of an attempt."""

    def on_start(
        self,
        source: 'Attempt',
        answer: models.AnswerHead,
        part: bytes,
    ) -> None:
        """Start to relay a successful answer."""

    def on_part(self, source: 'Attempt', part: bytes) -> None:
        """Relay a part of the answer."""

    def on_whole(self, source: 'Attempt') -> None:
        """End the relayed answer as whole."""

    def on_answered(
        self,
        source: 'Attempt',
        answer: models.AnswerHead,
        body: bytes,
    ) -> None:
        """Relay a whole answer."""

    def on_failed(self, source: 'Attempt', failed: evidence.Failed) -> None:
        """Learn that the attempt failed."""


class Attempt:
    """Receive a worker's answer and judge what it proves."""

    __slots__ = (
        'answer',
        'call',
        'clock',
        'codec',
        'first_at',
        'held',
        'is_over',
        'is_started',
        'is_stream',
        'owner',
        'read',
        'reader',
        'sent_at',
        'unread',
        'worker',
    )

    def __init__(
        self,
        owner: Owner,
        worker: fleet.Worker,
        codec: ports.Codec,
        clock: timer_queue.TimerQueue,
        *,
        is_stream: bool,
    ) -> None:
        """Take the owner, the worker and how to read its answer."""
        self.owner = owner
        self.worker = worker
        self.codec = codec
        self.clock = clock
        self.is_stream = is_stream
        self.call: http_client.Exchange | None = None
        self.answer: models.AnswerHead | None = None
        self.held = bytearray()
        self.reader = events.EventReader()
        self.sent_at = clock.now()
        self.first_at: float | None = None
        self.unread = 0
        self.read = 0
        self.is_started = False
        self.is_over = False

    def on_head(self, head: http_client.Head) -> None:
        """Judge the head of the answer."""
        answer = self.codec.decode_answer(head)
        self.answer = answer
        is_foreign = answer.is_success and not answer.is_authentic
        if is_foreign and not self.is_over:
            self.cancel()
            self._fail(
                evidence.Evidence.may_have_run,
                'an answer without a valid signature',
                'bad_answer',
            )

    def on_data(self, chunk: bytes) -> None:
        """Relay or hold a part of the body."""
        if self.is_over:
            return
        if self.first_at is None:
            self.first_at = self.clock.now()
        if self.is_stream and self.answer.is_success:
            self._relay_events(chunk)
            return
        if self.is_started:
            self.owner.on_part(self, chunk)
            return
        self.held.extend(chunk)
        if len(self.held) > MAX_HELD and self.answer.is_success:
            self._start(bytes(self.held))

    def on_end(self) -> None:
        """Judge the whole answer."""
        if self.is_over:
            return
        self.is_over = True
        if self.is_started:
            if self.reader.rest:
                self.owner.on_part(self, self.reader.rest)
            self.owner.on_whole(self)
            return
        answer = self.answer
        if answer.is_refused:
            self._report_refusal()
        elif answer.status in PROMISES or not answer.is_authentic:
            # Without the worker's own statement this may have run.
            self._report_failure(
                evidence.Evidence.may_have_run,
                f'the worker answered {answer.status}',
                'upstream_error',
            )
        else:
            body = bytes(self.held) + self.reader.rest
            self.owner.on_answered(self, answer, body)

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Judge a failed connection."""
        if self.is_over:
            return
        match failure:
            case verdicts.NotRun():
                found = evidence.Evidence.not_sent
            case verdicts.MayHaveRun():
                found = evidence.Evidence.may_have_run
        if self.answer is not None and self.answer.is_refused:
            found = evidence.Evidence.refused
        self._fail(found, failure.reason, failure.code)

    def cancel(self) -> None:
        """Leave the worker; it sees the connection close."""
        self.is_over = True
        if self.call is not None:
            self.call.cancel()

    def _relay_events(self, chunk: bytes) -> None:
        try:
            whole = self.reader.feed(chunk)
        except events.EventTooLarge as error:
            self.cancel()
            self._fail(
                evidence.Evidence.may_have_run,
                str(error),
                'bad_answer',
            )
            return
        if not whole:
            return
        if self.is_started:
            self.owner.on_part(self, whole)
        else:
            self._start(whole)

    def _start(self, part: bytes) -> None:
        self.is_started = True
        self.held.clear()
        self.owner.on_start(self, self.answer, part)

    def _report_refusal(self) -> None:
        if self.answer.is_misdirected:
            self._report_failure(
                evidence.Evidence.refused,
                'another worker has the address',
                'misdirected',
            )
            return
        self._report_failure(
            evidence.Evidence.refused,
            f'the worker refused with {self.answer.status}',
            'upstream_full',
        )

    def _fail(
        self,
        found: evidence.Evidence,
        reason: str,
        code: str,
    ) -> None:
        self.is_over = True
        self._report_failure(found, reason, code)

    def _report_failure(
        self,
        found: evidence.Evidence,
        reason: str,
        code: str,
    ) -> None:
        self.owner.on_failed(self, evidence.Failed(found, reason, code))
