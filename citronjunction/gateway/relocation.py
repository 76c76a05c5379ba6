"""Moves running streams from a worker that is about to be reclaimed.

A stream's memory is copied while it runs; shortly before the worker goes the
run is stopped, the rest copied, and the stream goes on at the other worker
within the caller's answer. Streams that may be resumed need no move.
"""

import dataclasses
import enum
from collections import abc
from typing import TYPE_CHECKING, Protocol, Union

from citronjunction.gateway import evidence, fleet, models, services

if TYPE_CHECKING:
    from citronjunction.gateway import flow

# A copy takes 50 to 100 ms and a worker's copies follow each other, so a
# worker with ten streams needs about a second.
COPY_BEFORE_S = 1.7  # before the worker goes
STOP_BEFORE_S = 0.8  # before the worker goes; the rest of a copy is short
ASK_AGAIN_S = 0.25  # a worker's report is some hundred ms old
MAX_ASKS = 3  # a worker that drains without a time tells none
SETTLE_S = 0.2  # shortest time between copy and stop


@dataclasses.dataclass(slots=True, frozen=True)
class Moved:
    """Report that the memory of a run is at the target under a handle."""

    handle: str


@dataclasses.dataclass(slots=True, frozen=True)
class Kept:
    """Report that the memory of a stopped run stayed at the source."""

    handle: str


@dataclasses.dataclass(slots=True, frozen=True)
class NotMoved:
    """Report that nothing was copied."""

    reason: str


MoveResult = Union[Moved, Kept, NotMoved]


class Mover(Protocol):
    """Move the memory of runs between workers."""

    def move(
        self,
        source: str,
        request: str,
        target: str,
        on_result: abc.Callable[[MoveResult], None],
        *,
        stops: bool,
    ) -> None:
        """Copy the memory of a run, and stop the run first if told to."""

    def drop(self, source: str, handle: str) -> None:
        """Free a copy that is not needed."""

    def read_time_left(
        self,
        source: str,
        on_read: abc.Callable[[float | None], None],
    ) -> None:
        """Ask a worker in how many seconds it goes, if it knows."""


class Phase(enum.Enum):
    """Tell how far a relocation is."""

    running = 'running'
    stopping = 'stopping'
    over = 'over'


class Relocation:
    """Take one stream from one worker to another."""

    __slots__ = (
        'flow',
        'handle',
        'is_broken',
        'mover',
        'phase',
        'result',
        'source',
        'target',
    )

    def __init__(
        self,
        held: 'flow.Flow',
        source: fleet.Worker,
        target: fleet.Worker,
        mover: Mover,
    ) -> None:
        """Take the stream, both workers and who moves memory."""
        self.flow = held
        self.source = source
        self.target = target
        self.mover = mover
        self.phase = Phase.running
        self.handle = ''
        self.result: MoveResult | None = None
        self.is_broken = False

    def copy(self) -> None:
        """Copy what there is while the run goes on."""
        self._move(self._on_copied, stops=False)

    def stop(self) -> None:
        """Stop the run at the source and copy the rest."""
        if self.phase is not Phase.running:
            return
        if self._is_needed():
            self.phase = Phase.stopping
            self._move(self._on_stopped, stops=True)
            return
        self.phase = Phase.over
        if self.handle:
            self.mover.drop(self.source.entry.address, self.handle)

    def take_break(self) -> bool:
        """Tell whether a broken stream is one that this move stopped."""
        if self.phase is not Phase.stopping:
            return False
        self.is_broken = True
        self._go_on()
        return True

    def _is_needed(self) -> bool:
        running = self.flow.attempt
        return running is not None and running.worker is self.source

    def _move(
        self,
        on_result: abc.Callable[[MoveResult], None],
        *,
        stops: bool,
    ) -> None:
        self.mover.move(
            self.source.entry.address,
            self.flow.request.name,
            self.target.entry.address,
            on_result,
            stops=stops,
        )

    def _on_copied(self, result: MoveResult) -> None:
        match result:
            case Moved(handle=handle) | Kept(handle=handle):
                self.handle = handle
                if self.phase is Phase.over:
                    self.mover.drop(self.source.entry.address, handle)

    def _on_stopped(self, result: MoveResult) -> None:
        self.result = result
        if isinstance(result, NotMoved) and not self.is_broken:
            # The run has ended, or goes on at the source.
            self.phase = Phase.over
            return
        self._go_on()

    def _go_on(self) -> None:
        if self.result is None or not self.is_broken:
            return
        self.phase = Phase.over
        source = self.source.entry.address
        self.flow.acting.log.write(
            'move stream',
            self.flow.request.name,
            source=self.source.entry.name,
            target=self.target.entry.name,
            result=type(self.result).__name__,
            last_event=self.flow.last_event,
        )
        match self.result:
            case Moved(handle=handle):
                self.flow.go_on_at(self.target, f'{source}/{handle}')
            case Kept(handle=handle):
                self.flow.go_on_at(self.source, f'{source}/{handle}')
            case NotMoved(reason=reason):
                self.flow.end_broken(
                    evidence.Failed(
                        evidence.Evidence.may_have_run,
                        f'the move of the stream failed: {reason}',
                        'move_failed',
                    ),
                )


class Evacuation:
    """Relocate the streams of workers that are being reclaimed."""

    def __init__(self, acting: services.Services, mover: Mover) -> None:
        """Take the flows and who moves memory."""
        self.acting = acting
        self.mover = mover

    def schedule(self, worker: fleet.Worker) -> None:
        """Plan the moves off a worker that has begun to drain."""
        configuration = self.acting.configuration
        if configuration is None:
            return
        policy = configuration.upstreams.get(worker.entry.upstream)
        engine = policy and policy.engine
        if engine is None or not engine.can_move:
            return
        self._ask(worker, MAX_ASKS)

    def _ask(self, worker: fleet.Worker, asks_left: int) -> None:
        if self._has_streams(worker):
            self.mover.read_time_left(
                worker.entry.address,
                lambda left_s: self._take_time(worker, left_s, asks_left - 1),
            )

    def _take_time(
        self,
        worker: fleet.Worker,
        left_s: float | None,
        asks_left: int,
    ) -> None:
        if left_s is not None:
            self._plan(worker, left_s)
        elif asks_left:
            self.acting.timers.call_later(
                ASK_AGAIN_S,
                lambda: self._ask(worker, asks_left),
            )

    def _has_streams(self, worker: fleet.Worker) -> bool:
        return any(
            held.attempt is not None and held.attempt.worker is worker
            for held in self.acting.flows
            if held.route.kind is models.RouteKind.stream
        )

    def _plan(self, worker: fleet.Worker, left_s: float) -> None:
        self.acting.log.write(
            'worker leaves',
            worker.entry.name,
            left_s=left_s,
            running=worker.running,
        )
        timers = self.acting.timers
        copy_in_s = max(0, left_s - COPY_BEFORE_S)
        stop_in_s = max(copy_in_s + SETTLE_S, left_s - STOP_BEFORE_S)
        timers.call_later(copy_in_s, lambda: self._copy(worker))
        timers.call_later(stop_in_s, lambda: self._stop(worker))

    def _copy(self, worker: fleet.Worker) -> None:
        for held in self._select(worker):
            self._relocate(held, worker)
            if held.relocation is not None:
                held.relocation.copy()

    def _stop(self, worker: fleet.Worker) -> None:
        for held in self._select(worker):
            if held.relocation is None:
                self._relocate(held, worker)
            if held.relocation is not None:
                held.relocation.stop()

    def _select(self, worker: fleet.Worker) -> list['flow.Flow']:
        return [held for held in self.acting.flows if _is_movable(held, worker)]

    def _relocate(self, held: 'flow.Flow', worker: fleet.Worker) -> None:
        found = self.acting.chooser.choose(
            held.upstream,
            held.request.prompt,
            0,
            (worker,),
            self.acting.timers.now(),
            held.allows,
        )
        if found is not None:
            held.relocation = Relocation(
                held,
                worker,
                found.worker,
                self.mover,
            )


def _is_movable(held: 'flow.Flow', worker: fleet.Worker) -> bool:
    if held.attempt is None or held.attempt.worker is not worker:
        return False
    is_stream = held.route.kind is models.RouteKind.stream
    return is_stream and held.outlet.is_started and not held.route.can_resume
