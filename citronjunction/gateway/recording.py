"""Log lines and metrics of retries and ends of requests."""

from typing import TYPE_CHECKING

from citronjunction.gateway import counting, evidence

if TYPE_CHECKING:
    from citronjunction.gateway import (
        attempt,
        choosing,
        context,
        flow,
        models,
    )

MS_PER_S = 1000
ROOM_LINE_INTERVAL_S = 1.0  # between lines about an upstream's want of room


def record_retry(flow: 'flow.Flow', failed: evidence.AttemptFailure) -> None:
    """Log and count a retry with its reason."""
    flow.services.counts.record(counting.RequestRetried(failed.evidence.value))
    flow.services.log.write(
        'retry',
        flow.request.name,
        evidence=failed.evidence.value,
        reason=failed.reason,
        sends=flow.history.sends,
        last_event=flow.last_event,
    )


def record_forward(flow: 'flow.Flow', entry: str) -> None:
    """Log that a request is forwarded to a peer."""
    flow.services.log.write(
        'forward',
        flow.request.name,
        entry=entry,
        upstream=flow.upstream,
        is_lost=flow.upstream in flow.services.reach.lost,
        connect_failures=flow.history.connect_failures,
    )


def record_shed(
    services: 'context.Services',
    route: 'models.Route',
    candidate: 'choosing.Candidate',
    return_s: float,
) -> None:
    """Count a refusal for want of room, and log the room at intervals."""
    is_slot_short = candidate.slot_wait_s >= candidate.queue_s
    cause = 'slots' if is_slot_short else 'prefill'
    services.counts.record(counting.RequestShed(cause, str(route.rank)))
    worker = candidate.worker
    upstream = worker.registration.upstream
    room = services.chooser.rooms.get(upstream)
    now = services.timers.now()
    if now - room.logged_at < ROOM_LINE_INTERVAL_S:
        return
    room.logged_at = now
    services.log.write(
        'room short',
        upstream,
        cause=cause,
        worker=worker.registration.name,
        slots=worker.registration.slots,
        running=worker.total_running,
        waiting=sum(worker.waiting) + sum(worker.peer_waiting),
        slowdown=round(worker.slowdown.measure(now), 2),
        held_ms=_to_ms(room.times.held.value_s),
        arrivals_per_s=round(room.returns.rate.measure(now), 1),
        returns_for_ms=_to_ms(max(0, room.returns.until - now)),
        return_ms=_to_ms(return_s),
    )


def record_send(flow: 'flow.Flow', candidate: 'choosing.Candidate') -> None:
    """Count the wait for a slot that a prompt is sent in spite of."""
    if candidate.slot_wait_s:
        flow.services.counts.record(
            counting.SlotAwaited(candidate.slot_wait_s, str(flow.urgency))
        )


def record_unframed_answer(
    flow: 'flow.Flow',
    source: 'attempt.Attempt',
    *,
    is_good: bool | None,
) -> None:
    """Log an answer that only the end of its connection could end."""
    flow.services.log.write(
        'unframed answer',
        flow.request.name,
        worker=source.worker.registration.name,
        status=source.answer.status,
        is_good=is_good,
        last_event=source.reader.last_id,
        incomplete_bytes=len(source.reader.remainder),
    )


def record_end(
    flow: 'flow.Flow',
    outcome: str,
    status: int,
    reason: str,
) -> None:
    """Log and count the end of a request with its outcome."""
    duration_s = flow.services.timers.now() - flow.request.arrived_at
    flow.services.counts.record(
        counting.RequestEnded(outcome, flow.route.kind.value, duration_s),
    )
    prompt = flow.request.prompt
    flow.services.log.write(
        'end',
        flow.request.name,
        outcome=outcome,
        status=status,
        reason=reason,
        route=flow.route.name,
        organisation=flow.organisation.name if flow.organisation else '',
        workers=[worker.registration.name for worker in flow.tried],
        sends=flow.history.sends,
        forwarded_by=flow.forwarded.entry if flow.forwarded else '',
        is_started=flow.response.is_started,
        held_ms=_to_ms(duration_s),
        expected_ms=_to_ms(flow.expected_s),
        first_ms=_to_ms(flow.first_byte_s),
        tokens=prompt.prompt_tokens if prompt else 0,
        cost=flow.charge.cost if flow.charge else 0,
        configuration=flow.services.configuration.version,
    )


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MS_PER_S)
