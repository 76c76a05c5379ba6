"""Start of the attempts of a request, at a worker or at a peer."""

from typing import TYPE_CHECKING

from citronjunction.gateway import (
    assigning,
    attempt,
    choosing,
    fleet,
    forwarding,
    models,
    recording,
)
from citronjunction.rooms import estimates

if TYPE_CHECKING:
    from citronjunction.gateway import flow as flows


def send(
    flow: 'flows.Flow',
    candidate: choosing.Candidate,
    now: float,
    kv_source: str = '',
) -> None:
    """Send a request to a worker; ``kv_source`` is as in ``Assignment``."""
    worker = candidate.worker
    new_attempt = _build(flow, worker)
    flow.history.sends += 1
    flow.services.fleet.limits.record_send(worker.registration.start_key, now)
    if flow.request.prompt is not None:
        new_attempt.pending_prefill_tokens = candidate.prefill_tokens
        new_attempt.prefill_tokens = candidate.prefill_tokens
        worker.prefill_tokens[flow.urgency] += candidate.prefill_tokens
        new_attempt.is_waiting = True
        worker.waiting[flow.urgency] += 1
        recording.record_send(flow, candidate)
        room = flow.services.chooser.rooms.get(worker.registration.upstream)
        room.sent[flow.urgency].record(now)
    call = flow.services.codec.encode_call(
        flow.request,
        assigning.build_assignment(
            flow.route,
            flow.organisation,
            worker,
            flow.deadline_at - now,
            flow.last_event,
            kv_source,
        ),
    )
    new_attempt.call = flow.services.client.send(call, new_attempt)


def can_end(
    flow: 'flows.Flow', candidate: choosing.Candidate, now: float
) -> bool:
    """Return whether an attempt may end before the deadline.

    How much is left of a stream that goes on is unknown.
    """
    if flow.request.prompt is None or flow.last_event:
        return True
    room = flow.services.chooser.rooms.get(flow.upstream)
    return estimates.can_end(
        room, flow.route.name, candidate.slot_wait_s, flow.deadline_at - now
    )


def resume(
    flow: 'flows.Flow', worker: fleet.Worker, now: float, kv_source: str
) -> None:
    """Resume a stopped run, whose prompt is not processed again."""
    send(flow, choosing.Candidate(worker, 0, 0, 0), now, kv_source)


def forward(flow: 'flows.Flow', peer: fleet.Worker, now: float) -> None:
    """Forward a request to a peer, which may use up its remaining sends."""
    new_attempt = _build(flow, peer)
    workers_left = flow.history.max_workers - flow.history.sends
    flow.history.sends = flow.history.max_workers
    recording.record_forward(flow, peer.registration.name)
    call = flow.services.codec.encode_forwarded(
        flow.request,
        models.Forwarding(
            peer.registration.address,
            max(assigning.MIN_TIME_LEFT_S, flow.deadline_at - now),
            flow.last_event,
            forwarding.CONNECT_S,
            forwarding.MAX_IDLE_S
            if flow.route.is_idempotent
            else assigning.NON_IDEMPOTENT_MAX_IDLE_S,
            flow.services.forwarder.signer.sign(flow.request, workers_left),
        ),
    )
    new_attempt.call = flow.services.client.send(call, new_attempt)


def _build(flow: 'flows.Flow', worker: fleet.Worker) -> attempt.Attempt:
    flow.tried.append(worker)
    flow.history.attempts += 1
    worker.running += 1
    new_attempt = attempt.Attempt(
        flow,
        worker,
        flow.services.codec,
        flow.services.timers,
        is_stream=flow.route.kind is models.RouteKind.stream,
        stall_s=assigning.compute_stall_s(flow.route),
    )
    flow.attempt = new_attempt
    return new_attempt
