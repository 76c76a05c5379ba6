"""Counts of a gateway, before and after its metrics are loaded."""

import dataclasses
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.observability import metrics

LOAD_DELAY_S = 3.0  # loading the library would delay the start by a tenth
MAX_EARLY = 20000  # records kept until the library is loaded


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Record the end of a request; the duration is in seconds."""

    outcome: str
    route_kind: str
    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Retried:
    """Record a request sent to another worker."""

    evidence: str


class Counts:
    """Pass records on to the metrics, once they are loaded."""

    __slots__ = ('early', 'metrics', 'process')

    def __init__(self, process: str) -> None:
        """Take the name of the process."""
        self.process = process
        self.early: list[Ended | Retried] = []
        self.metrics: 'metrics.Metrics | None' = None

    def record(self, event: Ended | Retried) -> None:
        """Count one event."""
        if self.metrics is not None:
            self._count(event)
        elif len(self.early) < MAX_EARLY:
            self.early.append(event)

    def load(self) -> None:
        """Load the metrics library and count what came before."""
        if self.metrics is not None:
            return
        module = importlib.import_module('citronjunction.observability.metrics')
        self.metrics = module.Metrics(self.process)
        for event in self.early:
            self._count(event)
        self.early.clear()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus format."""
        self.load()
        return self.metrics.render()

    def _count(self, event: Ended | Retried) -> None:
        match event:
            case Ended(outcome=outcome, route_kind=kind, duration_s=seconds):
                labels = {'outcome': outcome, 'route': kind}
                self.metrics.requests.add(1, labels)
                self.metrics.request_duration.record(seconds, labels)
            case Retried(evidence=evidence):
                self.metrics.retries.add(1, {'evidence': evidence})
