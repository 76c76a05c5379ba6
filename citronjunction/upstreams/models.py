"""Upstreams and workers as an entry knows them; times are seconds."""

import dataclasses
import enum
import fnmatch

FAILURES_TO_EJECT = 3  # consecutive failures
EJECT_S = 5.0
MAX_EJECT_S = 60.0
MAX_DOUBLINGS = 8
UNKNOWN_SLOTS = 16  # running requests, until a worker reports


class UpstreamKind(enum.Enum):
    """Tell how requests reach an upstream."""

    engine = 'engine'
    service = 'service'


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """Describe an upstream as release notes state it.

    ``repeatable`` lists ``METHOD PATH`` patterns of idempotent routes.
    """

    name: str
    kind: UpstreamKind
    version: str
    repeatable: tuple[str, ...] = ()
    checks_fencing: bool = False
    workers: int = 1

    def is_repeatable(self, method: str, path: str) -> bool:
        """Tell whether a request may run more than once."""
        route = f'{method} {path}'
        return any(
            fnmatch.fnmatchcase(route, pattern) for pattern in self.repeatable
        )


@dataclasses.dataclass(slots=True)
class Load:
    """Hold the last report of a worker and when it was taken."""

    running: int = 0
    queued: int = 0
    slots: int = UNKNOWN_SLOTS
    reported_at: float = 0


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Hold what an entry knows of a worker."""

    name: str
    address: str
    upstream: str
    zone: str
    price: float = 1
    versions: frozenset[str] = frozenset()
    is_leaving: bool = False
    load: Load = dataclasses.field(default_factory=Load)
    in_flight: int = 0
    sent_since_report: int = 0
    finished_since_report: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    boot_id: str = ''

    def is_eligible(self, version: str, now: float) -> bool:
        """Tell whether new work of the version may go to the worker."""
        if self.is_leaving or version not in self.versions:
            return False
        return now >= self.ejected_until

    @property
    def incarnation_name(self) -> str:
        """Return what names one crash of the worker alike everywhere."""
        return f'{self.name}/{self.boot_id}'

    def estimate_load(self) -> float:
        """Estimate requests per slot from the report and own traffic."""
        reported = self.load.running + self.load.queued
        since = self.sent_since_report - self.finished_since_report
        known = max(0, reported + since, self.in_flight)
        return known / max(1, self.load.slots)

    def record_report(self, load: Load) -> None:
        """Replace the report and restart the count of own traffic."""
        self.load = load
        self.sent_since_report = 0
        self.finished_since_report = 0

    def start_request(self) -> None:
        """Count a request sent to the worker."""
        self.in_flight += 1
        self.sent_since_report += 1

    def finish_request(self) -> None:
        """Count a request that has left the worker."""
        self.in_flight -= 1
        self.finished_since_report += 1

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now: float) -> bool:
        """Count a failure; tell whether it ejects the worker."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return False
        self.failures = 0
        pause_s = min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
        self.ejections = min(MAX_DOUBLINGS, self.ejections + 1)
        self.ejected_until = now + pause_s
        return True

    def record_unreachable(self, now: float) -> None:
        """Keep new work away for a while after a failed connection."""
        self.failures = FAILURES_TO_EJECT
        self.record_failure(now)


class Fleet:
    """Hold the workers of all upstreams; ``generation`` counts changes."""

    __slots__ = ('by_name', 'by_upstream', 'generation')

    def __init__(self) -> None:
        """Start without workers."""
        self.by_name: dict[str, Worker] = {}
        self.by_upstream: dict[str, list[Worker]] = {}
        self.generation = 0

    def add(self, worker: Worker) -> None:
        """Add a worker."""
        self.by_name[worker.name] = worker
        self.by_upstream.setdefault(worker.upstream, []).append(worker)
        self.generation += 1

    def remove(self, name: str) -> None:
        """Remove a worker."""
        worker = self.by_name.pop(name, None)
        if worker is not None:
            self.by_upstream[worker.upstream].remove(worker)
            self.generation += 1

    def select(self, upstream: str) -> list[Worker]:
        """Return the workers of an upstream."""
        return self.by_upstream.get(upstream, [])

    def mark_leaving(self, name: str) -> Worker | None:
        """Stop new work to a worker; return it if that is news."""
        worker = self.by_name.get(name)
        if worker is None or worker.is_leaving:
            return None
        worker.is_leaving = True
        return worker

    def set_versions(self, worker: Worker, versions: frozenset[str]) -> None:
        """Replace the versions that a worker serves."""
        if worker.versions != versions:
            worker.versions = versions
            self.generation += 1
