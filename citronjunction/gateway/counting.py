"""Metrics of a gateway, buffered until the metrics library is loaded."""

import dataclasses
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.observability import metrics

# Loading the library during the startup would prolong that by a tenth.
LOAD_DELAY_S = 3.0
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
class RequestShed:
    """A refusal for want of room; ``cause`` is what is short."""

    cause: str
    rank: str


@dataclasses.dataclass(slots=True, frozen=True)
class SlotAwaited:
    """An expected wait for a slot of a request that was sent."""

    wait_s: float
    urgency: str


Event = (
    RequestEnded
    | RequestRetried
    | KindSkipped
    | ObjectRejected
    | RequestShed
    | SlotAwaited
)


class Counts:
    """Buffer records and pass them to the metrics once those are loaded."""

    __slots__ = ('metrics', 'pending', 'process')

    def __init__(self, process: str) -> None:
        """Set the process name that labels the metrics."""
        self.process = process
        self.pending: list[Event] = []
        self.metrics: 'metrics.Metrics | None' = None

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
            case RequestEnded(
                outcome=outcome, route_kind=kind, duration_s=seconds
            ):
                labels = {'outcome': outcome, 'route': kind}
                self.metrics.requests.add(1, labels)
                self.metrics.request_duration.record(seconds, labels)
            case RequestRetried(evidence=evidence):
                self.metrics.retries.add(1, {'evidence': evidence})
            case RequestShed(cause=cause, rank=rank):
                self.metrics.shed.add(1, {'cause': cause, 'rank': rank})
            case SlotAwaited(wait_s=seconds, urgency=urgency):
                self.metrics.slot_wait.record(seconds, {'urgency': urgency})
            case KindSkipped(kind=kind):
                self.metrics.skipped_kinds.add(1, {'kind': kind})
            case ObjectRejected(kind=kind):
                self.metrics.rejected_objects.add(1, {'kind': kind})
