"""Workers as an entry knows them, from the registry and from their answers."""

import dataclasses
from collections import abc

from citronjunction.gateway import health, models

ABSENT_GRACE_S = (
    1.4  # use of a worker whose entry vanished; under the drain bound
)
OUTAGE_GRACE_S = 2.2  # time that lapsed entries have to return after an outage


URGENCY_GROUPS = 3  # groups of ranks: the most urgent, the second, all others


def get_urgency(rank: int) -> int:
    """Return the group of a rank; group 0 is the most urgent."""
    return max(0, min(rank, URGENCY_GROUPS - 1))


def _build_zero_tokens() -> list[int]:
    return [0 for _ in range(URGENCY_GROUPS)]


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Hold a worker; times are monotonic seconds.

    ``running`` counts this entry's requests there, ``unread`` their prompt
    tokens before the first event by urgency. ``peer_running`` and
    ``peer_unread`` are what the other entries told last.
    """

    entry: models.WorkerEntry
    health: health.Health
    running: int = 0
    prefill_tokens: list[int] = dataclasses.field(
        default_factory=_build_zero_tokens
    )
    peer_running: int = 0
    peer_prefill_tokens: list[int] = dataclasses.field(
        default_factory=_build_zero_tokens
    )
    is_retired: bool = False
    is_absent: bool = False
    warming_until: float = 0

    @property
    def is_draining(self) -> bool:
        """Tell whether the worker must get no new work."""
        return (
            self.is_retired or self.entry.state is models.WorkerState.draining
        )

    @property
    def total_running(self) -> int:
        """Return the requests of all entries there."""
        return self.running + self.peer_running

    def count_prefill_tokens(self, urgency: int) -> int:
        """Return the prompt tokens that are read before such a request's."""
        own = sum(self.prefill_tokens[: urgency + 1])
        return own + sum(self.peer_prefill_tokens[: urgency + 1])


class Fleet:
    """Hold the workers by name."""

    __slots__ = ('by_upstream', 'workers')

    def __init__(self) -> None:
        """Start without workers."""
        self.workers: dict[str, Worker] = {}
        self.by_upstream: dict[str, list[Worker]] = {}

    def register(self, entry: models.WorkerEntry, now: float) -> Worker:
        """Take a worker's entry; a new start is a new worker."""
        known = self.workers.get(entry.name)
        if known is None or entry.started_at_ms > known.entry.started_at_ms:
            known = Worker(entry, health.Health())
            self._replace(known)
        elif entry.started_at_ms < known.entry.started_at_ms:
            return known
        elif _has_other_upstream(known.entry, entry):
            known.entry = entry
            self._index()
        known.entry = entry
        known.is_absent = False
        known.warming_until = now + entry.warmup_s
        return known

    def mark_absent(self, name: str) -> Worker | None:
        """Note that a worker's entry vanished."""
        known = self.workers.get(name)
        if known is not None:
            known.is_absent = True
        return known

    def remove(self, worker: Worker) -> None:
        """Forget a worker; requests that run there end on their own."""
        worker.is_retired = True
        if self.workers.get(worker.entry.name) is worker:
            self.workers.pop(worker.entry.name)
            self._index()

    def select(self, upstream: str) -> abc.Sequence[Worker]:
        """Return the workers of an upstream."""
        return self.by_upstream.get(upstream, ())

    def set_peer_loads(
        self,
        loads: abc.Iterable[abc.Mapping[str, tuple[int, ...]]],
    ) -> None:
        """Replace what the other entries told of their requests."""
        running: dict[str, int] = {}
        prefill_tokens: dict[str, list[int]] = {}
        for load in loads:
            for name, (requests, *tokens) in load.items():
                running[name] = running.get(name, 0) + requests
                known = prefill_tokens.setdefault(name, _build_zero_tokens())
                for urgency, count in enumerate(tokens[:URGENCY_GROUPS]):
                    known[urgency] += count
        for name, worker in self.workers.items():
            worker.peer_running = running.get(name, 0)
            worker.peer_prefill_tokens = (
                prefill_tokens.get(name) or _build_zero_tokens()
            )

    def measure_load(self) -> dict[str, tuple[int, ...]]:
        """Return this entry's requests by worker."""
        return {
            name: (worker.running, *worker.prefill_tokens)
            for name, worker in self.workers.items()
            if worker.running
        }

    def measure_outcomes(self, now: float) -> dict[str, tuple[int, int]]:
        """Return answers and failures of late where some failed."""
        measured = {
            name: worker.health.measure(now)
            for name, worker in self.workers.items()
            if worker.health.recent
        }
        return {
            name: (answers, failures)
            for name, (answers, failures) in measured.items()
            if failures
        }

    def _replace(self, worker: Worker) -> None:
        earlier = self.workers.get(worker.entry.name)
        if earlier is not None:
            earlier.is_retired = True
        self.workers[worker.entry.name] = worker
        self._index()

    def _index(self) -> None:
        self.by_upstream = {}
        for worker in self.workers.values():
            upstream = worker.entry.upstream
            self.by_upstream.setdefault(upstream, []).append(worker)


def _has_other_upstream(
    old: models.WorkerEntry, new: models.WorkerEntry
) -> bool:
    return old.upstream != new.upstream
