"""Metrics of a gateway, buffered until the metrics library is loaded."""

import dataclasses
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.observability import metrics

# Loading the library during the startup would prolong that by a tenth.
LOAD_DELAY_S = 3.0
MAX_WORKER_LABELS = 1000
MAX_PENDING = 20000  # records buffered until the library is loaded


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded:
    """The end of a request."""

    outcome: str
    route_kind: str
    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRetried:
    """A retry of a request; ``evidence`` is that of the failed attempt."""

    evidence: str


@dataclasses.dataclass(slots=True, frozen=True)
class KindSkipped:
    """A message or fact of a peer that this build does not read."""

    kind: str


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectRejected:
    """A stored object of a kind that could not be decoded."""

    kind: str


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationChanged:
    """The beginning or the end of the evacuation of a data centre."""

    change: str


@dataclasses.dataclass(slots=True, frozen=True)
class ColdRequest:
    """A request to a worker that is known to be cold."""

    worker: str


@dataclasses.dataclass(slots=True, frozen=True)
class PaceChanged:
    """A change of the limit of a worker that starts or recovers."""

    state: str


@dataclasses.dataclass(slots=True, frozen=True)
class CallerEnded:
    """A caller that was refused or cut off for a limit."""

    limit: str


Event = (
    RequestEnded
    | RequestRetried
    | KindSkipped
    | ObjectRejected
    | EvacuationChanged
    | ColdRequest
    | PaceChanged
    | CallerEnded
)


class Counts:
    """Buffer records and pass them to the metrics once those are loaded."""

    __slots__ = ('metrics', 'pending', 'process', 'workers')

    def __init__(self, process: str) -> None:
        """Set the process name that labels the metrics."""
        self.process = process
        self.pending: list[Event] = []
        self.metrics: 'metrics.Metrics | None' = None
        self.workers: set[str] = set()  # that are a label

    def record(self, event: Event) -> None:
        """Record one event."""
        if self.metrics is not None:
            self._count(event)
        elif len(self.pending) < MAX_PENDING:
            self.pending.append(event)

    def load(self) -> None:
        """Load the metrics library and record the buffered events."""
        if self.metrics is not None:
            return
        module = importlib.import_module('citronjunction.observability.metrics')
        self.metrics = module.Metrics(self.process)
        for event in self.pending:
            self._count(event)
        self.pending.clear()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus format."""
        self.load()
        return self.metrics.render()

    def _count(self, event: Event) -> None:
        match event:
            case RequestEnded():
                self._count_end(event)
            case RequestRetried(evidence=evidence):
                self.metrics.retries.add(1, {'evidence': evidence})
            case KindSkipped(kind=kind):
                self.metrics.skipped_kinds.add(1, {'kind': kind})
            case ObjectRejected(kind=kind):
                self.metrics.rejected_objects.add(1, {'kind': kind})
            case EvacuationChanged(change=change):
                self.metrics.evacuations.add(1, {'change': change})
            case CallerEnded(limit=limit):
                self.metrics.ended_callers.add(1, {'limit': limit})
            case _:
                self._count_pace(event)

    def _count_end(self, event: RequestEnded) -> None:
        labels = {'outcome': event.outcome, 'route': event.route_kind}
        self.metrics.requests.add(1, labels)
        self.metrics.request_duration.record(event.duration_s, labels)

    def _count_pace(self, event: ColdRequest | PaceChanged) -> None:
        match event:
            case ColdRequest(worker=worker):
                label = self._label_worker(worker)
                self.metrics.cold_requests.add(1, {'worker': label})
            case PaceChanged(state=state):
                self.metrics.pace_changes.add(1, {'state': state})

    def _label_worker(self, worker: str) -> str:
        """Return a worker's label; late ones of very many share one."""
        if len(self.workers) < MAX_WORKER_LABELS:
            self.workers.add(worker)
        return worker if worker in self.workers else 'others'
