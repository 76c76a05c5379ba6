"""Start of the attempts of a request, at a worker or at a peer."""

from typing import TYPE_CHECKING

from citronjunction.gateway import (
    assigning,
    attempt,
    choosing,
    counting,
    fleet,
    forwarding,
    models,
    outcomes,
    recording,
)
from citronjunction.transport import http_client

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
    flow.services.fleet.record_send(worker, now)
    if flow.services.fleet.is_cold(worker, now):
        flow.services.counts.record(
            counting.ColdRequest(worker.registration.name)
        )
    if flow.request.prompt is not None:
        new_attempt.pending_prefill_tokens = candidate.prefill_tokens
        new_attempt.prefill_tokens = candidate.prefill_tokens
        worker.prefill_tokens[flow.urgency] += candidate.prefill_tokens
    if flow.services.settings.pacing.follows_answers:
        _expect_first_event(flow, new_attempt, candidate, now)
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
    _start(flow, new_attempt, call)


def _expect_first_event(
    flow: 'flows.Flow',
    source: attempt.Attempt,
    candidate: choosing.Candidate,
    now: float,
) -> None:
    if flow.response.is_started:
        return
    expected_s = candidate.wait_s
    if flow.request.prompt is None:
        expected_s = flow.route.latency_target_s / 2
    outstanding = source.worker.pace.outstanding
    outstanding.expect(source, flow.urgency, expected_s, now)


def settle_prompt(flow: 'flows.Flow', source: attempt.Attempt) -> None:
    """Record that the prompt of an attempt is processed no longer."""
    source.worker.prefill_tokens[flow.urgency] -= source.pending_prefill_tokens
    source.pending_prefill_tokens = 0
    outcomes.settle_first_event(flow.services, source)


def resume(
    flow: 'flows.Flow', worker: fleet.Worker, now: float, kv_source: str
) -> None:
    """Resume a stopped run, whose prompt is not processed again."""
    send(flow, choosing.Candidate(worker, 0, 0, 0), now, kv_source)


def try_needed_peer(flow: 'flows.Flow', now: float) -> bool:
    """Forward a request if its workers can't be reached from here.

    Return whether a peer gets it.
    """
    is_needed = flow.forwarded is None and flow.services.forwarder.is_needed(
        flow.upstream, flow.history.connect_failures
    )
    return is_needed and try_peer(flow, now)


def try_peer(flow: 'flows.Flow', now: float) -> bool:
    """Forward a request; return whether there is a peer that gets it."""
    peer = flow.services.forwarder.choose(flow.upstream, flow.tried, now)
    if peer is not None:
        forward(flow, peer, now)
    return peer is not None


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
    _start(flow, new_attempt, call)


def _start(
    flow: 'flows.Flow', source: attempt.Attempt, call: http_client.Call
) -> None:
    source.call = flow.services.client.send(call, source)
    source.call.on_input_end = source.on_input_end


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
