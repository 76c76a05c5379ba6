"""Effects of answers and failures on workers and their versions."""

from collections import abc

from citronjunction.attempts import suspects
from citronjunction.gateway import (
    attempt,
    context,
    counting,
    evidence,
    fleet,
    models,
)
from citronjunction.pacing import worker_pace

# Prompt tokens to prefill; latencies are compared only within a size class.
PREFILL_SIZE_BOUNDS = (512, 4096)
# Codes of failures that a crash of the worker may have caused.
CRASH_CODES = frozenset(('connection_lost', 'broken_off'))


def record_head(
    services: context.Services,
    source: attempt.Attempt,
    answer: models.AnswerHead,
) -> None:
    """Record what the head of an answer says about its worker."""
    worker = source.worker
    if worker.is_peer:
        return
    registration = worker.registration
    if not source.call.is_reused:
        services.observer.on_connected(registration.upstream)
    if answer.is_leaving:
        leaving = services.fleet.mark_leaving(
            registration.name, registration.started_at_ms
        )
        if leaving is not None:
            services.observer.on_worker_leaving(leaving)
    if _is_from_worker(answer):
        services.observer.on_worker_answer(worker, answer, source.sent_at)
    if answer.retry_after_s is not None:
        until = services.timers.now() + answer.retry_after_s
        worker.paused_until = max(worker.paused_until, until)
        services.fleet.begin_pace(worker, until)
        services.log.write(
            'pause worker',
            registration.name,
            upstream=registration.upstream,
            for_s=answer.retry_after_s,
        )


def _is_from_worker(answer: models.AnswerHead) -> bool:
    """Return whether an answer certainly comes from the assigned worker."""
    is_stated = answer.is_authentic or answer.is_refused
    return is_stated and not answer.is_misdirected


def settle_first_event(
    services: context.Services, source: attempt.Attempt
) -> None:
    """Record that the first event of an attempt is due no longer."""
    worker = source.worker
    if source.answer is None or not source.answer.is_success:
        worker.pace.outstanding.settle(source)
        return
    now = services.timers.now()
    change = worker.pace.record_answer(source, worker.running, now)
    _log_pace(services, worker, change)


def record_answer(
    services: context.Services,
    route: models.Route,
    source: attempt.Attempt,
    traits: suspects.Traits,
    *,
    is_good: bool,
) -> None:
    """Record an answer of a worker; eject the worker if it fails too often.

    A good answer clears its request from the suspects.
    """
    if is_good:
        _clear_suspects(services, traits, source.answer)
    worker = source.worker
    if worker.is_peer:
        return
    now = services.timers.now()
    services.rollouts.record(worker, route.name, is_good=is_good)
    if is_good:
        worker.health.record_success(now)
        _record_latency(services, route, source, now)
    elif worker.health.record_failure(now):
        _log_ejection(services, worker, 'errors')


def _clear_suspects(
    services: context.Services,
    traits: suspects.Traits,
    answer: models.AnswerHead,
) -> None:
    """Clear a request, and the parts of its prompt, that were answered.

    A crash may look like the end of an answer that only its connection ends.
    """
    services.suspects.clear(traits.fingerprint)
    if traits.parts and answer.is_success and answer.is_framed:
        services.observer.on_parts_answered(traits.parts)


def record_failure(
    services: context.Services,
    route: models.Route,
    source: attempt.Attempt,
    failed: evidence.AttemptFailure,
    traits: suspects.Traits,
) -> None:
    """Record a failed attempt and draw the conclusions for the worker.

    An unreachable worker is ejected at once, another one if it fails too often.
    A worker whose address belongs to another one now is removed.
    """
    worker = source.worker
    now = services.timers.now()
    if failed.evidence is evidence.Evidence.not_sent:
        worker.health.record_unreachable(now)
        services.client.pool.drop(worker.registration.address)
        _log_ejection(services, worker, failed.reason)
        if not worker.is_peer:
            services.observer.on_unreachable(worker)
    elif not worker.is_peer:
        _record_worker_failure(services, route, source, failed)
        if failed.code in CRASH_CODES:
            services.observer.on_suspect_request(traits, source)


def _record_worker_failure(
    services: context.Services,
    route: models.Route,
    source: attempt.Attempt,
    failed: evidence.AttemptFailure,
) -> None:
    worker = source.worker
    now = services.timers.now()
    _log_pace(services, worker, worker.pace.record_failure(now))
    match failed.evidence:
        case evidence.Evidence.may_have_run:
            services.rollouts.record(worker, route.name, is_good=False)
            if worker.health.record_failure(now):
                _log_ejection(services, worker, failed.reason)
        case evidence.Evidence.refused if failed.code == 'upstream_full':
            services.observer.on_full(worker)
        case evidence.Evidence.refused if failed.code == 'misdirected':
            services.fleet.retire(worker, now, is_final=True)
            _log_ejection(services, worker, failed.reason)


def record_pace(
    services: context.Services,
    route: models.Route,
    source: attempt.Attempt,
    pace_s: float,
) -> None:
    """Record the time between events of a stream as evidence."""
    if not source.worker.is_peer:
        services.rollouts.record_time(
            source.worker, route.name, typical_s=pace_s
        )


def set_peer_outcomes(
    services: context.Services,
    reported: abc.Iterable[abc.Mapping[str, tuple[int, int]]],
) -> None:
    """Replace the outcomes that peers reported, and eject outliers."""
    totals: dict[str, tuple[int, int]] = {}
    for outcomes in reported:
        for name, (answers, failures) in outcomes.items():
            known = totals.get(name, (0, 0))
            totals[name] = (known[0] + answers, known[1] + failures)
    now = services.timers.now()
    for name, worker in services.fleet.workers.items():
        worker.health.set_peer_counts(*totals.get(name, (0, 0)))
        if name in totals and worker.health.eject_if_outlier(now):
            _log_ejection(services, worker, 'errors that peers also report')


def name_route(route: models.Route, prefill_tokens: int) -> str:
    """Return the route's name with the size class of its prefill."""
    size = sum(prefill_tokens >= bound for bound in PREFILL_SIZE_BOUNDS)
    return f'{route.name}#{size}' if route.is_prompt else route.name


def _record_latency(
    services: context.Services,
    route: models.Route,
    source: attempt.Attempt,
    now: float,
) -> None:
    latency_s = (source.first_byte_at or now) - source.sent_at
    record_time = services.rollouts.record_time
    sized_route = name_route(route, source.prefill_tokens)
    record_time(source.worker, sized_route, latency_s=latency_s)
    if not route.is_prompt:
        record_time(source.worker, route.name, typical_s=latency_s)


def _log_pace(
    services: context.Services,
    worker: fleet.Worker,
    change: worker_pace.Change,
) -> None:
    match change:
        case worker_pace.Reduced(limit=limit):
            state = 'reduced'
        case worker_pace.Learned(limit=limit):
            state = 'learned'
        case _:
            return
    services.counts.record(counting.PaceChanged(state))
    services.log.write(
        'worker pace',
        worker.registration.name,
        upstream=worker.registration.upstream,
        state=state,
        limit=round(limit, 2),
        running=worker.running,
    )


def _log_ejection(
    services: context.Services,
    worker: fleet.Worker,
    reason: str,
) -> None:
    services.fleet.begin_pace(worker, services.timers.now())
    services.log.write(
        'eject',
        worker.registration.name,
        upstream=worker.registration.upstream,
        reason=reason,
        until_s=round(worker.health.ejected_until, 3),
    )
