"""Moves running streams from a worker that is about to be reclaimed.

Shortly before the worker ends, its runs are stopped and their KV caches copied
to another worker, which continues the streams within the callers' answers.
Copies cost money, so a stream that may still end in time is not copied.
Resumable streams are not moved: a retry resumes them.
"""

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING, Union

from citronjunction.gateway import context, evidence, fleet, models
from citronjunction.reclaims import models as reclaims
from citronjunction.reclaims import moves, schedule

if TYPE_CHECKING:
    from citronjunction.gateway import attempt, flow

# Time before a worker's end at which its streams are stopped at the latest. A
# copy takes 50 to 100 ms, and the worker's report of its time left is some
# hundred ms old.
STOP_LEAD_S = 0.9
REMOTE_FACTOR = 2  # of the time of a copy to another data centre
ASK_INTERVAL_S = 0.25  # a worker's report is some hundred ms old
# An event may arrive that late after it was sent, if its packet is lost twice.
MAX_EVENT_DELAY_S = 1.5
MAX_ASKS = 3  # a worker that drains without an end time reports none


@dataclasses.dataclass(slots=True, frozen=True)
class Closed:
    """End of a stream that only the end of its connection marks."""

    source: 'attempt.Attempt'


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """End of a stream that has failed."""

    source: 'attempt.Attempt'
    failed: evidence.AttemptFailure


StreamEnd = Union[Closed, Broken]


class Phase(enum.Enum):
    """Phase of a relocation."""

    running = 'running'
    stopping = 'stopping'
    over = 'over'


class Relocation:
    """Move one stream from a worker to another.

    The stream is resumed once the run's KV cache was copied and the stream of
    the source has ended. An end that the call may have caused waits for the
    result of the call, which tells whether the stream is complete.
    """

    __slots__ = (
        'answered_at',
        'end',
        'flow',
        'mover',
        'phase',
        'result',
        'resumed',
        'source',
        'stopped',
        'target',
    )

    def __init__(
        self,
        flow: 'flow.Flow',
        source: fleet.Worker,
        target: fleet.Worker,
        mover: moves.Mover,
    ) -> None:
        self.flow = flow
        self.source = source
        self.target = target
        self.mover = mover
        self.phase = Phase.running
        self.stopped: 'attempt.Attempt | None' = None
        self.resumed: 'attempt.Attempt | None' = None
        self.result: moves.MoveResult | None = None
        self.answered_at: float | None = None
        self.end: StreamEnd | None = None

    def stop(self) -> None:
        """Stop the run at the source and copy its KV cache."""
        self.phase = Phase.stopping
        self.stopped = self.flow.attempt
        self.mover.move(
            self.source.registration.address,
            self.flow.request.name,
            self.target.registration.address,
            self._on_stopped,
        )

    def on_event(self) -> None:
        """Handle an event, which may show that the run was not stopped."""
        match self.result:
            case moves.NotMoved(run=moves.RunState.unknown):
                now = self.flow.services.timers.now()
                if now - self.answered_at > MAX_EVENT_DELAY_S:
                    self.phase = Phase.over

    def on_stream_end(self, end: StreamEnd) -> None:
        """Handle the end of a stream that the call may have caused."""
        self.end = end
        self._conclude()

    def _on_stopped(self, result: moves.MoveResult) -> None:
        self.result = result
        self.answered_at = self.flow.services.timers.now()
        self._log_result(result)
        if self.flow.is_over:
            self._release()
            return
        match result:
            case moves.NotMoved(run=moves.RunState.unaffected) if (
                self.end is None
            ):
                self.phase = Phase.over
            case _:
                self._conclude()

    def on_flow_end(self) -> None:
        """Release a copy that no attempt was sent to resume from."""
        resumed = self.resumed
        if resumed is None or not resumed.call.is_sent:
            self._release()

    def _release(self) -> None:
        match self.result:
            case moves.Moved(handle=handle) | moves.Kept(handle=handle):
                self.mover.release(self.source.registration.address, handle)
                self.flow.services.log.write(
                    'release copy',
                    self.flow.request.name,
                    source=self.source.registration.name,
                    target=self.target.registration.name,
                )

    def _conclude(self) -> None:
        """Continue, finish or fail a stream of which all is known."""
        if self.result is None or self.end is None:
            return
        self.phase = Phase.over
        self.flow.services.log.write(
            'move stream',
            self.flow.request.name,
            source=self.source.registration.name,
            target=self.target.registration.name,
            result=type(self.result).__name__,
            last_event=self.flow.last_event,
        )
        match self.result:
            case moves.Moved(handle=handle):
                self._resume(self.target, handle)
            case moves.Kept(handle=handle):
                self._resume(self.source, handle)
            case moves.NotMoved(run=moves.RunState.unaffected):
                self._end_by_itself()
            case moves.NotMoved(reason=reason):
                self.flow.fail_stream(
                    evidence.AttemptFailure(
                        evidence.Evidence.may_have_run,
                        f'the move of the stream failed: {reason}',
                        'move_failed',
                    ),
                )

    def _resume(self, worker: fleet.Worker, handle: str) -> None:
        source = self.source.registration.address
        self.flow.resume_at(worker, f'{source}/{handle}')
        self.resumed = self.flow.attempt

    def _end_by_itself(self) -> None:
        match self.end:
            case Closed(source=source):
                self.flow.finish_stream(source)
            case Broken(source=source, failed=failed):
                self.flow.fail_attempt(source, failed)

    def _log_result(self, result: moves.MoveResult) -> None:
        match result:
            case moves.NotMoved(reason=reason, run=run):
                state = run.value
            case _:
                reason, state = '', 'stopped'
        running = self.flow.attempt
        self.flow.services.log.write(
            'move result',
            self.flow.request.name,
            source=self.source.registration.name,
            target=self.target.registration.name,
            result=type(result).__name__,
            run=state,
            reason=reason,
            has_stream_ended=running is None or not running.is_running,
            is_over=self.flow.is_over,
            last_event=self.flow.last_event,
        )


class Relocations:
    """Relocate the streams of workers that are being reclaimed."""

    def __init__(self, services: context.Services, mover: moves.Mover) -> None:
        self.services = services
        self.mover = mover

    def schedule(self, worker: fleet.Worker) -> None:
        """Schedule the moves of the streams of a draining worker."""
        engine = self._get_engine(worker.registration.upstream)
        if engine is not None and engine.can_move:
            self._ask_time_left(worker, MAX_ASKS)

    def _ask_time_left(self, worker: fleet.Worker, asks_left: int) -> None:
        if not self._has_streams(worker):
            return
        if worker.is_paused(self.services.timers.now()):
            self._on_time_left(worker, None, asks_left - 1)
        else:
            self.mover.read_time_left(
                worker.registration.address,
                lambda time_left: self._on_time_left(
                    worker, time_left, asks_left - 1
                ),
            )

    def _on_time_left(
        self,
        worker: fleet.Worker,
        time_left: reclaims.TimeLeft | None,
        asks_left: int,
    ) -> None:
        if time_left is not None:
            self._schedule_stops(worker, time_left)
        elif asks_left:
            self.services.timers.call_later(
                ASK_INTERVAL_S,
                lambda: self._ask_time_left(worker, asks_left),
            )

    def _has_streams(self, worker: fleet.Worker) -> bool:
        return any(
            flow.route.kind is models.RouteKind.stream
            for flow in self._select_flows(worker)
        )

    def _select_flows(self, worker: fleet.Worker) -> list['flow.Flow']:
        """Return the requests that run at a worker."""
        return [
            flow
            for flow in self.services.flows
            if flow.attempt is not None and flow.attempt.worker is worker
        ]

    def _schedule_stops(
        self, worker: fleet.Worker, time_left: reclaims.TimeLeft
    ) -> None:
        """Schedule the stops of streams, the first ones early if many run."""
        left_s = time_left.left_s
        last_s = max(0, left_s - STOP_LEAD_S)
        starts = {
            request: start_s
            for request, start_s in self._plan(worker, time_left).items()
            if start_s < last_s
        }
        self.services.log.write(
            'worker leaves',
            worker.registration.name,
            left_s=left_s,
            running=worker.running,
            first_stop_in_s=round(min(starts.values(), default=last_s), 3),
            early_stops=len(starts),
        )
        timers = self.services.timers
        worker.leaves_at = timers.now() + left_s
        for request, start_s in starts.items():
            timers.call_later(
                start_s, functools.partial(self._stop_streams, worker, request)
            )
        timers.call_later(last_s, lambda: self._stop_streams(worker))

    def _plan(
        self, worker: fleet.Worker, time_left: reclaims.TimeLeft
    ) -> dict[str, float]:
        """Return by request in how many seconds its stream should stop."""
        registration = worker.registration
        engine = self._get_engine(registration.upstream)
        token_copy_s = engine.token_copy_s if engine else 0
        if any(
            other.registration.zone != registration.zone
            for other in self.services.fleet.select(registration.upstream)
        ):
            token_copy_s *= REMOTE_FACTOR
        return schedule.compute_starts(
            time_left,
            token_copy_s,
            {
                flow.request.name: _is_movable(flow)
                for flow in self._select_flows(worker)
            },
        )

    def _get_engine(self, upstream: str) -> models.Engine | None:
        configuration = self.services.configuration
        policy = configuration and configuration.upstreams.get(upstream)
        return policy.engine if policy else None

    def _stop_streams(
        self, worker: fleet.Worker, request: str | None = None
    ) -> None:
        """Stop the streams of a worker, or only that of one request."""
        if worker.is_paused(self.services.timers.now()):
            self.services.log.write(
                'streams not moved',
                worker.registration.name,
                reason='the worker asked for a pause',
            )
            return
        for stream in self._select_flows(worker):
            is_selected = request is None or stream.request.name == request
            if is_selected and _is_movable(stream):
                self._relocate(stream, worker)

    def _relocate(self, flow: 'flow.Flow', worker: fleet.Worker) -> None:
        now = self.services.timers.now()
        candidate = self.services.chooser.choose(
            flow.upstream,
            flow.request.prompt,
            0,
            (worker,),
            now,
            lambda target: flow.allows(target) and not self._is_limited(target),
        )
        if candidate is not None:
            # The stream resumes there whatever is sent meanwhile.
            self.services.fleet.pacer.record_send(
                fleet.get_target(candidate.worker), now
            )
            flow.relocation = Relocation(
                flow,
                worker,
                candidate.worker,
                self.mover,
            )
            flow.relocation.stop()

    def _is_limited(self, worker: fleet.Worker) -> bool:
        start_key = worker.registration.start_key
        return self.services.fleet.limits.is_limited(start_key)


def _is_movable(flow: 'flow.Flow') -> bool:
    """Return whether a running request is a stream that a move would stop.

    The result of a second call would not tell what the first one did.
    """
    running = flow.attempt
    if flow.relocation is not None and flow.relocation.stopped is running:
        return False
    is_stream = flow.route.kind is models.RouteKind.stream
    is_relayed = flow.response.is_started and running.is_running
    return is_stream and is_relayed and not flow.route.can_resume


def may_have_stopped(flow: 'flow.Flow') -> bool:
    """Return whether a relocation tells what the end of a stream means."""
    moved = flow.relocation
    return moved is not None and moved.phase is Phase.stopping
