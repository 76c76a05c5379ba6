"""Counts of a gateway, before and after its metrics are loaded."""

import dataclasses
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.observability import metrics

LOAD_DELAY_S = 3.0  # loading the library would delay the start by a tenth
MAX_PENDING = 20000  # records kept until the library is loaded


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded:
    """Record the end of a request; the duration is in seconds."""

    outcome: str
    route_kind: str
    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRetried:
    """Record a request sent to another worker."""

    evidence: str


class Counts:
    """Pass records on to the metrics, once they are loaded."""

    __slots__ = ('metrics', 'pending', 'process')

    def __init__(self, process: str) -> None:
        """Take the name of the process."""
        self.process = process
        self.pending: list[RequestEnded | RequestRetried] = []
        self.metrics: 'metrics.Metrics | None' = None

    def record(self, event: RequestEnded | RequestRetried) -> None:
        """Count one event."""
        if self.metrics is not None:
            self._count(event)
        elif len(self.pending) < MAX_PENDING:
            self.pending.append(event)

    def load(self) -> None:
        """Load the metrics library and count what came before."""
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

    def _count(self, event: RequestEnded | RequestRetried) -> None:
        match event:
            case RequestEnded(
                outcome=outcome, route_kind=kind, duration_s=seconds
            ):
                labels = {'outcome': outcome, 'route': kind}
                self.metrics.requests.add(1, labels)
                self.metrics.held.record(seconds, labels)
            case RequestRetried(evidence=evidence):
                self.metrics.retries.add(1, {'evidence': evidence})
