"""The lifetime of one caller's request: admission, attempts and answer."""

from citronjunction.admission import models as admission
from citronjunction.attempts import claims, policy
from citronjunction.attempts import models as attempts
from citronjunction.entry import (
    attempt,
    choosing,
    claim_driver,
    context,
    models,
    recording,
    responses,
    state,
)
from citronjunction.routing import models as routing
from citronjunction.transport import http_client, timer_queue
from citronjunction.verdicts import models as verdicts

SUSPECT_RETRY_DELAY_S = 0.1  # until a suspect's next search for a worker


class RequestFlow:
    """Route, retry and answer one request; times are monotonic seconds."""

    __slots__ = (
        'attempt',
        'chooser',
        'claim',
        'deadline_timer',
        'entry',
        'has_slot',
        'is_over',
        'recorder',
        'request',
        'response',
        'retry_state',
        'services',
        'started_at',
        'ticket',
    )

    def __init__(
        self,
        services: context.Services,
        request: models.CallerRequest,
        response: responses.CallerResponse,
        offset: int = 0,  # tokens received before a handover
    ) -> None:
        self.services = services
        self.entry = services.entry
        self.request = request
        self.response = response
        self.started_at = self.services.timers.now()
        is_engine = isinstance(request.detail, models.Completion)
        deadline_at = self.started_at + request.deadline_s
        self.retry_state = attempts.RetryState(
            request.name,
            request.fingerprint,
            request.is_repeatable,
            is_engine,
            deadline_at,
            offset=offset,
        )
        self.recorder = recording.Recorder(
            self.entry,
            request,
            self.retry_state,
            services.publish,
        )
        self.ticket = admission.Ticket(
            request.name,
            request.organisation.name,
            request.request_class,
            request.cost,
            self.started_at,
            deadline_at,
        )
        self.chooser = choosing.Chooser(self.entry, request, self.retry_state)
        self.attempt: attempt.Attempt | None = None
        self.claim: claim_driver.ClaimDriver | None = None
        self.deadline_timer: timer_queue.Timer | None = None
        self.has_slot = False
        self.is_over = False

    def start(self) -> None:
        """Refuse the request, claim its key, or request its admission."""
        self.services.flows[self.request.name] = self
        self.deadline_timer = self.services.timers.call_later(
            self.request.deadline_s,
            self._on_deadline,
        )
        if self.entry.suspects.is_refused(
            self.request.fingerprint,
            self.services.timers.now(),
        ):
            text = 'this request was running when several workers crashed'
            delay_s = self.entry.settings.attempts.suspect_s
            self._fail(verdicts.NotRun(text, delay_s, code='suspect_request'))
        elif self.request.key and not self.request.is_repeatable:
            self.claim = self.services.claims.build(
                self.request,
                self.retry_state.deadline_at,
                self._on_claim,
            )
            self.claim.start()
        else:
            self._request_admission()

    def run(self) -> None:
        """Start the next attempt; the request occupies a slot."""
        if self.is_over:
            return
        self.has_slot = True
        avoided = self.retry_state.failed_trial
        version = self.entry.choose_version(self.request.upstream, avoided)
        self._try_worker(self.chooser.choose(version), version)

    def _try_worker(
        self,
        choice: routing.Choice | routing.NoWorker,
        version: str,
    ) -> None:
        self.chooser.log_choice(choice, version)
        match choice:
            case routing.NoWorker(reason=reason):
                self._on_no_worker(reason)
            case routing.Choice():
                self._send(choice, version)

    def on_caller_gone(self) -> None:
        """Cancel the request unless its result must be recorded."""
        self.response.exchange = None
        if self.claim is not None and self.attempt is not None:
            return
        self.cancel('the caller disconnected')

    def cancel(self, reason: str) -> None:
        """End the request without an answer."""
        if self.is_over:
            return
        if self.attempt is not None:
            self._cancel_attempt()
        self._close('cancelled')
        self.entry.log.write('cancel', self.request.name, reason=reason)

    def pause(self) -> None:
        """Cancel the attempt; ``run`` resumes after the last token."""
        self.retry_state.may_have_run = True
        self._cancel_attempt()

    def migrate(self, reason: str, choice: routing.Choice | None) -> None:
        """Resume at another worker after the last token.

        Without a ``choice``, a worker is chosen now.
        """
        if self.attempt is None or not self.retry_state.can_resume:
            return
        self.entry.log.write(
            'migrate',
            self.request.name,
            worker=self.attempt.choice.worker.name,
            offset=self.retry_state.offset,
            reason=reason,
        )
        version = self.attempt.version
        self.pause()
        if choice is None:
            self.run()
        else:
            self._try_worker(choice, version)

    def on_events(
        self,
        source: attempt.Attempt,
        events: bytes,
        count: int,
    ) -> None:
        """Relay events to the caller and record their latency."""
        self.recorder.record_latency(source)
        if not self.retry_state.offset:
            seconds = source.first_byte_at - source.sent_at
            self._get_controller().limiter.record(seconds)
            self.entry.metrics.first_token.record(
                source.first_byte_at - self.started_at,
            )
        self.retry_state.offset += count
        self.response.push(events, self.retry_state.offset)

    def on_complete(self, source: attempt.Attempt) -> None:
        """Finish the answer after a complete stream."""
        self.recorder.record_success(source)
        self._finish_attempt(source)
        self.response.finish()
        self._close('answered')

    def on_buffered_answer(
        self,
        source: attempt.Attempt,
        reply: http_client.Reply,
    ) -> None:
        """Send a complete answer and store it if the request has a claim."""
        self.recorder.record_success(source)
        self._finish_attempt(source)
        content_type = reply.headers.get('content-type', 'text/plain')
        self.response.answer(
            reply.status,
            {'Content-Type': content_type},
            reply.body,
        )
        if self.claim is not None:
            self.claim.record_answer(reply.status, content_type, reply.body)
            self.claim = None
        self._close('answered')

    def on_attempt_failed(
        self,
        source: attempt.Attempt,
        failure: verdicts.Failure,
    ) -> None:
        """Retry the request or end it with a failure."""
        self.recorder.record_failure(source, failure)
        self._finish_attempt(source)
        if self.entry.is_on_trial(self.request.upstream, source.version):
            self.retry_state.failed_trial = source.version
        self._handle_failure(failure)

    def _on_claim(self, action: claims.Action) -> None:
        match action:
            case claims.Run():
                if not self.is_over:
                    self._request_admission()
            case claims.Replay(answer=answer):
                self.claim = None
                self.response.answer(
                    answer.status,
                    {
                        'Content-Type': answer.content_type,
                        'Citron-Replayed': 'true',
                    },
                    answer.get_body(),
                )
                self._close('replayed')
            case claims.Refuse(failure=failure):
                self.claim = None
                self._fail(failure)

    def _request_admission(self) -> None:
        decision = self._get_controller().offer(self.ticket)
        match decision:
            case admission.Admitted():
                self._occupy_slot()
                self.run()
            case admission.Queued(expected_wait_s=wait_s):
                self.services.queued_flows[self.ticket] = self
                self.entry.log.write(
                    'queue',
                    self.request.name,
                    organisation=self.request.organisation.name,
                    expected_wait_s=round(wait_s, 2),
                )
            case admission.Refused(reason=reason, retry_after_s=delay_s):
                failure = verdicts.NotRun(reason, delay_s, 429, 'overloaded')
                self._fail(failure)

    def _occupy_slot(self) -> None:
        self.entry.record_usage(
            self.request.organisation.name,
            self.request.upstream.name,
            self.request.cost,
        )
        self.has_slot = True

    def admit(self) -> None:
        """Run the request after it has waited in the queue."""
        self.services.queued_flows.pop(self.ticket, None)
        self._occupy_slot()
        self.run()

    def _on_no_worker(self, reason: str) -> None:
        if self.entry.suspects.is_suspect(
            self.request.fingerprint,
            self.services.timers.now(),
        ):
            self.services.timers.call_later(SUSPECT_RETRY_DELAY_S, self.run)
            return
        self.retry_state.attempts += 1
        self._handle_failure(verdicts.NotRun(reason, code='no_worker'))

    def _send(self, choice: routing.Choice, version: str) -> None:
        self.retry_state.attempts += 1
        self._get_budget().record_request()
        worker = choice.worker
        worker.start_request()
        fingerprint = self.request.fingerprint
        if self.entry.suspects.is_suspect(
            fingerprint, self.services.timers.now()
        ):
            self.entry.suspects.reserve_worker(worker.name, fingerprint)
        source = attempt.Attempt(self, choice, version, self.services.timers)
        self.attempt = source
        call = attempt.build_call(
            self.request,
            source,
            self.entry.settings.attempts,
            self.retry_state.offset,
            is_within_fair_share=self._get_controller().is_within_fair_share(
                self.request.organisation.name,
            ),
        )
        source.call = self.services.client.send(call, source)

    def _handle_failure(self, failure: verdicts.Failure) -> None:
        self.retry_state.record_failure(failure)
        decision = policy.decide_after_failure(
            self.retry_state,
            failure,
            self.entry.settings.attempts,
            # Retries after failures of a version on trial must not use up the
            # retry budget of other requests.
            None if self.retry_state.failed_trial else self._get_budget(),
            self.entry.random,
            self.services.timers.now(),
        )
        self.entry.log.write(
            'retry',
            self.request.name,
            failure=failure.reason,
            decision=type(decision).__name__,
        )
        match decision:
            case attempts.RetryAfter(delay_s=delay_s):
                self.services.timers.call_later(delay_s, self.run)
            case attempts.GiveUp(failure=final):
                self._fail(final)

    def _cancel_attempt(self) -> None:
        source = self.attempt
        source.cancel()
        self._finish_attempt(source)

    def _finish_attempt(self, source: attempt.Attempt) -> None:
        worker = source.choice.worker
        worker.finish_request()
        self.entry.suspects.release_worker(
            worker.name,
            self.request.fingerprint,
        )
        self.attempt = None

    def _on_deadline(self) -> None:
        if self.is_over:
            return
        if self.attempt is None:
            text = 'the deadline passed before the request ran'
            failure = verdicts.NotRun(text, status=504, code='deadline')
            self._fail(failure)
            return
        self._cancel_attempt()
        text = 'the deadline passed while the request ran'
        self._fail(verdicts.MayHaveRun(text, 504, 'deadline'))

    def _fail(self, failure: verdicts.Failure) -> None:
        failure = policy.get_final_failure(self.retry_state, failure)
        self.response.fail(failure)
        if self.claim is not None:
            self.claim.record_failure(failure)
        self._close(failure.code)

    def _close(self, outcome: str) -> None:
        if self.is_over:
            return
        self.is_over = True
        if self.claim is not None:
            self.claim.abandon()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.services.flows.pop(self.request.name, None)
        self.entry.metrics.requests.add(1, {'outcome': outcome})
        self.entry.metrics.tokens.add(self.retry_state.offset)
        self.entry.log.write(
            'end',
            self.request.name,
            outcome=outcome,
            attempts=self.retry_state.attempts,
            tokens=self.retry_state.offset,
        )
        if self.has_slot:
            seconds = self.services.timers.now() - self.started_at
            self._get_controller().finish(self.ticket, seconds)
        elif self.services.queued_flows.pop(self.ticket, None) is not None:
            self._get_controller().cancel(self.ticket)
        self.services.admit_queued(self.request.upstream.name)

    def _get_controller(self) -> 'state.controller.Controller':
        return self.entry.get_controller(self.request.upstream.name)

    def _get_budget(self) -> 'state.budget.RetryBudget':
        return self.entry.get_budget(self.request.upstream.name)
