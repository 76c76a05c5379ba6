"""Upstreams, and the state of their workers in an entry.

Times are monotonic seconds.
"""

import dataclasses
import enum
import fnmatch

# Outlier ejection: a failing worker gets no new requests for a time that
# doubles with each ejection until the worker succeeds.
FAILURES_TO_EJECT = 3
EJECT_S = 5.0
MAX_EJECT_S = 60.0
MAX_DOUBLINGS = 8
DEFAULT_SLOTS = 16  # assumed until the first report of a worker


class UpstreamKind(enum.Enum):
    """Whether an upstream runs a model engine or a plain service."""

    engine = 'engine'
    service = 'service'


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """Upstream as declared by release notes.

    ``repeatable`` lists shell-style ``METHOD PATH`` patterns of idempotent
    routes. ``checks_fencing`` is set if its workers reject requests with an
    old fencing token. ``workers`` is the minimum number of hosts.
    """

    name: str
    kind: UpstreamKind
    version: str
    repeatable: tuple[str, ...] = ()
    checks_fencing: bool = False
    workers: int = 1

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a request may run more than once."""
        route = f'{method} {path}'
        return any(
            fnmatch.fnmatchcase(route, pattern) for pattern in self.repeatable
        )


@dataclasses.dataclass(slots=True)
class Load:
    """Last load report of a worker and when it arrived."""

    running: int = 0
    queued: int = 0
    slots: int = DEFAULT_SLOTS
    reported_at: float = 0


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """State of a worker in an entry.

    ``in_flight`` counts the entry's own requests to the worker, and the
    counts since the report those that the report doesn't cover.
    ``boot_id`` changes with each start of the worker's process.
    """

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
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    boot_id: str = ''

    def is_eligible(self, version: str, now: float) -> bool:
        """Return whether the worker may get new requests of the version."""
        if self.is_leaving or version not in self.versions:
            return False
        return now >= self.ejected_until

    @property
    def incarnation_name(self) -> str:
        """Return the name of the worker's current process.

        All entries use the same name, which lets them count a crash once.
        """
        return f'{self.name}/{self.boot_id}'

    def estimate_load(self) -> float:
        """Estimate requests per slot from the report and own requests."""
        reported = self.load.running + self.load.queued
        own_change = self.sent_since_report - self.finished_since_report
        estimate = max(0, reported + own_change, self.in_flight)
        return estimate / max(1, self.load.slots)

    def record_report(self, load: Load) -> None:
        """Replace the report and reset the counts of own requests."""
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
        """Reset the failures and ejections."""
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now: float) -> bool:
        """Count a failure; return whether it ejects the worker."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        self.consecutive_failures = 0
        ejection_s = min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
        self.ejections = min(MAX_DOUBLINGS, self.ejections + 1)
        self.ejected_until = now + ejection_s
        return True

    def record_unreachable(self, now: float) -> None:
        """Eject the worker at once, because a connection failed or was lost."""
        self.consecutive_failures = FAILURES_TO_EJECT
        self.record_failure(now)


class Fleet:
    """Workers of all upstreams.

    ``generation`` grows when a worker is added or removed or changes its
    versions; caches built from the fleet compare it.
    """

    __slots__ = ('by_name', 'by_upstream', 'generation')

    def __init__(self) -> None:
        self.by_name: dict[str, Worker] = {}
        self.by_upstream: dict[str, list[Worker]] = {}
        self.generation = 0

    def add(self, worker: Worker) -> None:
        self.by_name[worker.name] = worker
        self.by_upstream.setdefault(worker.upstream, []).append(worker)
        self.generation += 1

    def remove(self, name: str) -> None:
        worker = self.by_name.pop(name, None)
        if worker is not None:
            self.by_upstream[worker.upstream].remove(worker)
            self.generation += 1

    def select(self, upstream: str) -> list[Worker]:
        """Return the workers of an upstream."""
        return self.by_upstream.get(upstream, [])

    def mark_leaving(self, name: str) -> Worker | None:
        """Stop new requests to a worker; return it unless it was leaving."""
        worker = self.by_name.get(name)
        if worker is None or worker.is_leaving:
            return None
        worker.is_leaving = True
        return worker

    def set_versions(self, worker: Worker, versions: frozenset[str]) -> None:
        if worker.versions != versions:
            worker.versions = versions
            self.generation += 1
