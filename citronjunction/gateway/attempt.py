"""One attempt to run a request at a worker."""

import dataclasses
from typing import Protocol

from citronjunction.gateway import events, evidence, fleet, models, ports
from citronjunction.reclaims import models as reclaims
from citronjunction.transport import http_client, timer_queue
from citronjunction.verdicts import http
from citronjunction.verdicts import models as verdicts

MAX_BUFFER_BYTES = 262144  # larger plain answers are relayed in parts
MAX_FAILURE_BYTES = 1048576  # a failure is only relayed as a whole
SHORT_EVENT_BYTES = 16384  # up to which incomplete events are not accounted for
# Statuses that tell the caller that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SERVER_ERROR = 500
MAX_LEAVE_LATE_S = 1.0  # until the end of a leaving worker's connection arrives


class Owner(Protocol):
    """Receiver of an attempt's answer or failure."""

    def on_head(self, source: 'Attempt', answer: models.AnswerHead) -> None:
        """Evaluate what an answer's head says about its worker."""

    def on_start(
        self,
        source: 'Attempt',
        answer: models.AnswerHead,
        part: bytes,
    ) -> None:
        """Start relaying a successful answer."""

    def on_part(self, source: 'Attempt', part: bytes) -> None:
        """Relay a part of the answer."""

    def on_paced(self, source: 'Attempt', pace_s: float) -> None:
        """Evaluate the mean time between the first events."""

    def on_buffered(self, source: 'Attempt', size: int) -> None:
        """Account for the bytes of an answer that are kept."""

    def on_complete(self, source: 'Attempt') -> None:
        """Finish an answer that was relayed in parts."""

    def on_buffered_answer(
        self,
        source: 'Attempt',
        answer: models.AnswerHead,
        body: bytes,
    ) -> None:
        """Relay a complete, buffered answer."""

    def on_failed(
        self, source: 'Attempt', failed: evidence.AttemptFailure
    ) -> None:
        """Handle the failure of the attempt."""


class Attempt:
    """Receive a worker's answer and derive evidence from failures.

    ``prefill_tokens`` are the prompt tokens that the worker must process for
    the request, ``stall_s`` is how long a stream may send bytes without a new
    event, ``pending_prefill_tokens`` the same until the first event and 0
    after it.
    """

    __slots__ = (
        'answer',
        'buffer',
        'call',
        'drips_since',
        'clock',
        'codec',
        'first_byte_at',
        'held_bytes',
        'input_ended_at',
        'is_over',
        'is_running',
        'is_started',
        'is_stream',
        'owner',
        'pace',
        'pending_prefill_tokens',
        'prefill_tokens',
        'reader',
        'sent_at',
        'stall_s',
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
        stall_s: float,
    ) -> None:
        self.owner = owner
        self.worker = worker
        self.codec = codec
        self.clock = clock
        self.is_stream = is_stream
        self.stall_s = stall_s
        # When bytes came first that completed no event since the last one.
        self.drips_since: float | None = None
        self.call: http_client.Exchange | None = None
        self.answer: models.AnswerHead | None = None
        self.buffer = bytearray()
        self.reader = events.EventReader()
        self.pace = events.PaceMeter()
        self.sent_at = clock.now()
        self.first_byte_at: float | None = None
        self.pending_prefill_tokens = 0
        self.prefill_tokens = 0
        self.held_bytes = 0
        self.input_ended_at: float | None = None
        self.is_started = False
        self.is_running = True
        self.is_over = False

    def on_head(self, head: http_client.Head) -> None:
        """Check the head of the answer."""
        answer = self._decode(head)
        self.answer = answer
        self.worker.heard_at = self.clock.now()
        self.owner.on_head(self, answer)
        is_foreign = answer.is_success and not answer.is_authentic
        if is_foreign and not self.is_over:
            self.cancel()
            self._fail(
                evidence.Evidence.may_have_run,
                'the answer has no valid signature',
                'bad_answer',
            )
        elif self._is_settled() and not self.is_over:
            # The end of an answer without a length comes late.
            self.cancel()
            self._report_status()

    def on_data(self, chunk: bytes) -> None:
        """Relay or buffer a part of the body."""
        if self.is_over:
            return
        now = self.clock.now()
        self.worker.heard_at = now
        if self.first_byte_at is None:
            self.first_byte_at = now
        if self.is_stream and self.answer.is_success:
            self._relay_events(chunk)
            return
        if self.is_started:
            self.owner.on_part(self, chunk)
            return
        self.buffer.extend(chunk)
        self.owner.on_buffered(self, len(self.buffer))
        if not self.is_over:
            self._limit_buffer()

    def on_end(self) -> None:
        """Finish the answer or report it as a failure."""
        if self.is_over:
            return
        self.is_over = True
        answer = self.answer
        if self._is_broken_off():
            self._report_failure(
                evidence.Evidence.may_have_run,
                'the stream ended inside an event',
                'broken_off',
            )
        elif self.is_started:
            self.owner.on_complete(self)
        elif self._needs_body():
            self.owner.on_buffered_answer(self, answer, bytes(self.buffer))
        else:
            self._report_status()

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Report a failed connection."""
        if self.is_over:
            return
        match failure:
            case verdicts.NotRun():
                proof = evidence.Evidence.not_sent
            case verdicts.MayHaveRun():
                proof = evidence.Evidence.may_have_run
        if self.answer is not None and self.answer.is_refused:
            proof = evidence.Evidence.refused
        self._fail(proof, failure.reason, failure.code)

    def on_input_end(self) -> None:
        """Free the worker, which sends no more of an unframed answer."""
        self.input_ended_at = self.clock.now()
        self.release_worker()

    def may_be_cut(self) -> bool:
        """Return whether an unframed stream may have ended with its worker."""
        leaves_at = self.worker.leaves_at
        ended_at = self.input_ended_at
        if leaves_at is None or ended_at is None or not self.is_stream:
            return False
        late_s = ended_at - leaves_at
        return -reclaims.MAX_REPORT_AGE_S <= late_s <= MAX_LEAVE_LATE_S

    def release_worker(self) -> None:
        """Count the attempt no longer among those that its worker runs."""
        if self.is_running:
            self.is_running = False
            self.worker.running -= 1

    def cancel(self) -> None:
        """Cancel the attempt by closing the connection."""
        self.is_over = True
        if self.call is not None:
            self.call.cancel()

    def _limit_buffer(self) -> None:
        """Relay a long answer in parts; give up a failure that is too long."""
        if self.answer.is_success:
            if len(self.buffer) > MAX_BUFFER_BYTES:
                self._start(bytes(self.buffer))
        elif len(self.buffer) > MAX_FAILURE_BYTES:
            self.cancel()
            self._fail(
                evidence.Evidence.refused
                if self.answer.is_refused
                else evidence.Evidence.may_have_run,
                f'a failure exceeds {MAX_FAILURE_BYTES} bytes',
                'bad_answer',
            )

    def _relay_events(self, chunk: bytes) -> None:
        try:
            complete_events = self.reader.feed(chunk)
        except events.EventTooLarge as error:
            self.cancel()
            self._fail(
                evidence.Evidence.may_have_run,
                str(error),
                'bad_answer',
            )
            return
        self._hold_event(len(self.reader.remainder))
        if self.is_over:
            return
        if self._is_stalled():
            self.cancel()
            self._fail(
                evidence.Evidence.may_have_run,
                f'bytes without a new event for {self.stall_s} s',
                'stalled',
            )
        elif complete_events:
            self._relay(complete_events)

    def _hold_event(self, size: int) -> None:
        """Account for the bytes of an incomplete event that is long."""
        held = size if size > SHORT_EVENT_BYTES else 0
        if held != self.held_bytes:
            self.held_bytes = held
            self.owner.on_buffered(self, held)

    def _relay(self, complete_events: bytes) -> None:
        if self.is_started:
            self.owner.on_part(self, complete_events)
        else:
            self._start(complete_events)
        if self.pace.record(self.reader.id_count, self.clock.now()):
            self.owner.on_paced(self, self.pace.pace_s)

    def _is_broken_off(self) -> bool:
        if not (self.is_stream and self.answer.is_success):
            return False
        # A worker that crashes may end an unframed stream like a whole one.
        is_empty = not (self.is_started or self.answer.is_framed)
        return is_empty or self.reader.is_inside_event

    def _is_stalled(self) -> bool:
        if self.reader.has_new_id:
            self.drips_since = None
            return False
        now = self.clock.now()
        if self.drips_since is None:
            self.drips_since = now
        return now - self.drips_since > self.stall_s

    def _start(self, part: bytes) -> None:
        self.is_started = True
        self.buffer.clear()
        self.owner.on_start(self, self.answer, part)

    def _decode(self, head: http_client.Head) -> models.AnswerHead:
        answer = self.codec.decode_answer(head)
        is_peers_own = self.worker.is_peer and not answer.is_authentic
        if is_peers_own and http.is_not_run(head.headers):
            return dataclasses.replace(answer, is_refused=True)
        return answer

    def _is_settled(self) -> bool:
        """Return whether a failure without a length counts by its head."""
        answer = self.answer
        is_awaited = answer.is_framed or answer.is_success
        return not is_awaited and not self._needs_body()

    def _needs_body(self) -> bool:
        """Return whether the body of the answer may be relayed."""
        answer = self.answer
        is_not_run = answer.is_refused or answer.status in NOT_RUN_STATUSES
        return answer.is_authentic and not is_not_run

    def _report_status(self) -> None:
        """Report an answer that counts by its head alone as a failure."""
        if self.answer.is_refused:
            self._report_refusal()
            return
        # Without a refusal by the worker the request may have run.
        failed = evidence.describe_status(self.answer.status)
        self.owner.on_failed(self, failed)

    def _report_refusal(self) -> None:
        if self.worker.is_peer:
            self.owner.on_failed(
                self,
                evidence.describe_peer_refusal(
                    self.worker.registration.name,
                    self.answer.status,
                    self.answer.retry_after_s or 0,
                ),
            )
            return
        if self.answer.is_misdirected:
            self._report_failure(
                evidence.Evidence.refused,
                'another worker has this address now',
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
        proof: evidence.Evidence,
        reason: str,
        code: str,
    ) -> None:
        self.is_over = True
        self._report_failure(proof, reason, code)

    def _report_failure(
        self,
        proof: evidence.Evidence,
        reason: str,
        code: str,
    ) -> None:
        self._hold_event(0)
        self.owner.on_failed(self, evidence.AttemptFailure(proof, reason, code))
