"""The lifetime of one caller's request: attempts, retries and the answer."""

from typing import TYPE_CHECKING

from citronjunction.gateway import (
    admitting,
    assigning,
    attempt,
    context,
    dispatching,
    evidence,
    fleet,
    models,
    outcomes,
    recording,
    relocation,
    responses,
)
from citronjunction.transport import http_server, timer_queue
from citronjunction.verdicts import models as verdicts

if TYPE_CHECKING:
    from citronjunction.gateway import quotas

RETRY_AFTER_S = 0.3  # a full worker usually frees a slot by then
GATEWAY_TIMEOUT = 504  # HTTP status


class Flow:
    """Route, retry and relay one request; times are monotonic seconds."""

    __slots__ = (
        'attempt',
        'charge',
        'deadline_at',
        'deadline_timer',
        'expected_s',
        'first_byte_s',
        'forwarded',
        'history',
        'is_over',
        'is_run_counted',
        'is_trial',
        'last_event',
        'organisation',
        'relocation',
        'request',
        'response',
        'route',
        'services',
        'traits',
        'tried',
        'upstream',
        'urgency',
    )

    def __init__(
        self,
        services: context.Services,
        request: models.CallerRequest,
        route: models.Route,
        organisation: models.Organisation | None,
        exchange: http_server.Exchange,
        forwarded: models.Forwarded | None = None,
    ) -> None:
        self.services = services
        self.request = request
        self.route = route
        self.organisation = organisation
        is_stream = route.kind is models.RouteKind.stream
        self.response = responses.CallerResponse(exchange, is_stream=is_stream)
        self.deadline_at = assigning.compute_deadline_at(route, request)
        self.deadline_timer: timer_queue.Timer | None = None
        self.forwarded = forwarded
        max_workers = route.max_workers
        if forwarded is not None:
            max_workers = min(max_workers, forwarded.max_workers)
        self.history = evidence.AttemptHistory(route.is_idempotent, max_workers)
        self.traits = admitting.identify(request)
        self.attempt: attempt.Attempt | None = None
        self.tried: list[fleet.Worker] = []
        self.relocation: relocation.Relocation | None = None
        self.charge: 'quotas.Charge | None' = None
        self.last_event = request.last_event
        self.upstream = ''
        self.urgency = fleet.get_urgency(
            assigning.get_rank(route, organisation),
        )
        self.expected_s: float | None = None
        self.first_byte_s: float | None = None
        self.is_trial = False
        self.is_run_counted = forwarded is not None  # by the peer
        self.is_over = False

    def start(self) -> None:
        """Admit the request, choose its upstream and send it to a worker."""
        services = self.services
        now = services.timers.now()
        services.flows.add(self)
        self.response.exchange.on_disconnect = self._on_caller_gone
        self.deadline_timer = services.timers.call_later(
            max(0, self.deadline_at - now), self._on_deadline
        )
        charged = admitting.admit(
            services,
            self.request,
            self.traits,
            self.organisation,
            is_charged=self.forwarded is None,
        )
        if isinstance(charged, verdicts.NotRun):
            self._finish(charged)
            return
        self.charge = charged
        self.upstream = assigning.draw_upstream(self.route, services.random)
        self.is_trial = services.rollouts.draws_trial(
            self.upstream, services.count_budget_entries(), now
        )
        if self.forwarded is None:
            services.record_offered(self.upstream, self.request.prompt, now)
        self._try_worker()

    def on_head(
        self,
        source: attempt.Attempt,
        answer: models.AnswerHead,
    ) -> None:
        """Record whether the worker leaves or wants fewer requests."""
        outcomes.record_head(self.services, source, answer)

    def on_start(
        self,
        source: attempt.Attempt,
        answer: models.AnswerHead,
        part: bytes,
    ) -> None:
        """Start relaying a successful answer, or continue one."""
        self._count_run()
        dispatching.settle_prompt(self, source)
        if self.first_byte_s is None:
            self.first_byte_s = self.services.timers.now() - source.sent_at
        self.history.may_have_run = True
        self.response.start(answer)
        self.on_part(source, part)

    def on_part(self, source: attempt.Attempt, part: bytes) -> None:
        """Relay a part of the answer to the caller."""
        if source.reader.last_id:
            self.last_event = source.reader.last_id
        if self.relocation is not None:
            self.relocation.on_event()
        self.response.push(part)

    def on_paced(self, source: attempt.Attempt, pace_s: float) -> None:
        """Record the pace of a stream as evidence about its version."""
        outcomes.record_pace(self.services, self.route, source, pace_s)

    def on_buffered(self, source: attempt.Attempt, size: int) -> None:
        """Account for what is kept of an answer; the caller may be cut off."""
        self.response.exchange.hold(size)

    def on_complete(self, source: attempt.Attempt) -> None:
        """Finish an answer that was relayed in parts."""
        if source.answer.is_framed:
            self.finish_stream(source)
        elif relocation.may_have_stopped(self):
            self._close_attempt(source, is_good=None)
            self.relocation.on_stream_end(relocation.Closed(source))
        elif source.may_be_cut():
            worker = source.worker.registration.name
            self.on_failed(source, evidence.describe_departure(worker))
        else:
            self.finish_stream(source)

    def on_buffered_answer(
        self,
        source: attempt.Attempt,
        answer: models.AnswerHead,
        body: bytes,
    ) -> None:
        """Relay a buffered answer, or retry after a server error."""
        self._count_run()
        is_good = answer.status < attempt.SERVER_ERROR
        self._close_attempt(source, is_good=is_good)
        if not is_good:
            failed = evidence.describe_status(answer.status)
            self.history.record(failed)
            if self._try_again(failed):
                return
        self.response.answer(answer, body)
        self._close('answered', answer.status)

    def on_failed(
        self,
        source: attempt.Attempt,
        failed: evidence.AttemptFailure,
    ) -> None:
        """Retry after a failure, leave it to a relocation, or give up."""
        self._close_attempt(source, is_good=None)
        if relocation.may_have_stopped(self):
            self.relocation.on_stream_end(relocation.Broken(source, failed))
        else:
            self.fail_attempt(source, failed)

    def fail_attempt(
        self,
        source: attempt.Attempt,
        failed: evidence.AttemptFailure,
    ) -> None:
        """Record a failed attempt, and retry or give up."""
        outcomes.record_failure(
            self.services, self.route, source, failed, self.traits
        )
        if failed.evidence is evidence.Evidence.may_have_run:
            self._count_run()
        self.history.record(failed)
        if self._try_again(failed):
            return
        self._give_up(failed, failed.retry_after_s)

    def resume_at(self, worker: fleet.Worker, kv_source: str) -> None:
        """Resume a stopped run at a worker.

        ``kv_source`` names the copy of its KV cache as ``ADDRESS/HANDLE``.
        """
        if self.services.fleet.is_closed(worker):
            self.fail_stream(evidence.describe_evacuated(self.upstream))
            return
        now = self.services.timers.now()
        dispatching.resume(self, worker, now, kv_source)

    def finish_stream(self, source: attempt.Attempt) -> None:
        """Finish an answer whose end has been received."""
        if self.attempt is source:
            self._close_attempt(source, is_good=True)
        else:
            outcomes.record_answer(
                self.services, self.route, source, self.traits, is_good=True
            )
        self.response.finish()
        self._close('answered', source.answer.status)

    def fail_stream(self, failed: evidence.AttemptFailure) -> None:
        """Fail a stream that cannot be resumed."""
        self.history.record(failed)
        self._give_up(failed)

    def on_upstream_lost(self, upstream: str) -> None:
        """Send an unanswered request elsewhere if it may run twice."""
        lost = self.attempt
        if upstream != self.upstream or lost is None or lost.worker.is_peer:
            return
        if self.route.is_idempotent and lost.answer is None:
            lost.cancel()
            self.on_failed(lost, evidence.describe_lost_upstream(upstream))

    def allows(self, worker: fleet.Worker) -> bool:
        """Return whether the rollout permits the worker's version."""
        return self.services.rollouts.allows(worker, is_trial=self.is_trial)

    def cancel(self, reason: str) -> None:
        """Cancel the request without an answer; ``reason`` is its outcome."""
        if self.is_over:
            return
        if self.attempt is not None:
            self.attempt.cancel()
            self._close_attempt(self.attempt, is_good=None)
        self._close(reason, 0)

    def expire(self, text: str, code: str) -> None:
        """Fail the request, whose answer is not awaited any longer."""
        if self.is_over:
            return
        is_connecting = True
        if self.attempt is not None:
            is_connecting = not self.attempt.call.is_sent
            self.attempt.cancel()
            self._close_attempt(self.attempt, is_good=None)
        if self.history.may_have_run or not is_connecting:
            self._count_run()
            self._finish(verdicts.MayHaveRun(text, GATEWAY_TIMEOUT, code))
        else:
            self._finish(verdicts.NotRun(text, RETRY_AFTER_S, code=code))

    def _try_worker(self) -> None:
        services = self.services
        now = services.timers.now()
        if dispatching.try_needed_peer(self, now):
            return
        candidate = services.chooser.choose(
            self.upstream,
            self.request.prompt,
            self.urgency,
            self.tried,
            now,
            self.allows,
        )
        if candidate is None and self.is_trial:
            self.is_trial = False
            self._try_worker()
            return
        if candidate is None:
            self._go_without_worker(now)
            return
        if self.request.prompt is not None and not self.history.attempts:
            refusal = admitting.shed(services, self.route, candidate)
            if refusal is not None:
                self._finish(refusal)
                return
        self.expected_s = candidate.wait_s
        dispatching.send(self, candidate, now)

    def _try_again(self, failed: evidence.AttemptFailure) -> bool:
        now = self.services.timers.now()
        if self.deadline_at - now < assigning.MIN_TIME_LEFT_S:
            return False
        if self.response.is_started and not self.route.can_resume:
            return False
        if admitting.check_suspect(self.services, self.traits) is not None:
            return False
        match evidence.decide(self.history, failed, RETRY_AFTER_S):
            case evidence.SendAgain(is_retry=is_retry):
                budget = self.services.get_budget(self.upstream)
                entries = self.services.count_budget_entries()
                if is_retry and not budget.spend(entries, now):
                    return False
                recording.record_retry(self, failed)
                self._try_worker()
                return True
        return False

    def _give_up(
        self, failed: evidence.AttemptFailure, wait_s: float = 0
    ) -> None:
        spread = 0.5 + self.services.random.random()
        delay_s = wait_s + RETRY_AFTER_S * spread
        self._finish(evidence.conclude(self.history, failed, delay_s))

    def _go_without_worker(self, now: float) -> None:
        """Leave a request to a peer with a share of the workers, or give up."""
        workers = self.services.fleet
        is_shared = self.forwarded is None and workers.needs_peer(self.upstream)
        if is_shared and dispatching.try_peer(self, now):
            return
        failed, wait_s = admitting.describe_vacancy(
            self.services, self.upstream, now
        )
        self._give_up(failed, wait_s)

    def _finish(self, failure: verdicts.Failure) -> None:
        if self.is_over:
            return
        self.response.fail(failure)
        if isinstance(failure, verdicts.NotRun):
            self._refund()
        self._close(failure.code, failure.status, failure.reason)

    def _on_deadline(self) -> None:
        self.expire('the deadline passed before the answer ended', 'deadline')

    def _on_caller_gone(self) -> None:
        self.cancel('caller_gone')

    def _close_attempt(
        self, source: attempt.Attempt, *, is_good: bool | None
    ) -> None:
        if self.attempt is not source:
            return
        self.attempt = None
        if source.answer is not None and not source.answer.is_framed:
            recording.record_unframed_answer(self, source, is_good=is_good)
        dispatching.settle_prompt(self, source)
        source.release_worker()
        if is_good is not None:
            outcomes.record_answer(
                self.services, self.route, source, self.traits, is_good=is_good
            )

    def _count_run(self) -> None:
        if not self.is_run_counted:
            self.is_run_counted = True
            if self.organisation is not None:
                self.services.observer.on_run(self.organisation.name)

    def _refund(self) -> None:
        if self.charge is not None:
            now = self.services.timers.now()
            self.services.quotas.refund(self.charge, now)
            self.charge = None

    def _close(self, outcome: str, status: int, reason: str = '') -> None:
        if self.is_over:
            return
        self.is_over = True
        self.deadline_timer.cancel()
        self.services.flows.discard(self)
        self.response.exchange.on_disconnect = None
        if self.relocation is not None:
            self.relocation.on_flow_end()
        recording.record_end(self, outcome, status, reason)
