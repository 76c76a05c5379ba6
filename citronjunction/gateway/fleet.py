"""The workers that an entry knows, with their load and health."""

import dataclasses
from collections import abc

from citronjunction.gateway import (
    brittleness,
    constraints,
    health,
    limits,
    models,
)
from citronjunction.rooms import models as rooms
from citronjunction.rooms import reports, slowdowns

# Time for which a worker is still used after its registration vanished; must
# stay below the time within which a draining worker has to be out of use.
ABSENT_GRACE_S = 1.4
# Time after a store outage in which lapsed registrations may return.
OUTAGE_GRACE_S = 2.2
URGENCY_GROUPS = reports.URGENCY_GROUPS


def get_urgency(rank: int) -> int:
    """Return the urgency group of a rank; group 0 is the most urgent."""
    return max(0, min(rank, URGENCY_GROUPS - 1))


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Store a worker's registration, load and health.

    ``running`` counts this entry's requests at the worker, ``prefill_tokens``
    are the prompt tokens of those without a first event, by urgency group, and
    ``waiting`` is their number. ``peer_running``, ``peer_prefill_tokens`` and
    ``peer_waiting`` are the same for the other entries, as last reported.
    ``warming_until`` is in monotonic seconds, and so
    is ``paused_until``, before which the worker wants no request of this entry.
    ``is_leaving`` means that its answers say that it will end, ``is_peer`` that
    this is another entry, to which requests are forwarded. ``heard_at`` is when
    bytes came from it last, in monotonic seconds.
    """

    registration: models.WorkerRegistration
    health: health.Health
    running: int = 0
    prefill_tokens: list[int] = dataclasses.field(
        default_factory=reports.build_zeros
    )
    waiting: list[int] = dataclasses.field(default_factory=reports.build_zeros)
    peer_running: int = 0
    peer_prefill_tokens: list[int] = dataclasses.field(
        default_factory=reports.build_zeros
    )
    peer_waiting: list[int] = dataclasses.field(
        default_factory=reports.build_zeros
    )
    slowdown: slowdowns.Slowdown = dataclasses.field(
        default_factory=slowdowns.Slowdown
    )
    is_retired: bool = False
    is_leaving: bool = False
    paused_until: float = 0
    is_absent: bool = False
    warming_until: float = 0
    is_peer: bool = False
    heard_at: float = 0

    @property
    def is_draining(self) -> bool:
        """Return whether the worker must get no new requests."""
        return (
            self.is_retired
            or self.is_leaving
            or self.registration.state is models.WorkerState.draining
        )

    def is_paused(self, now: float) -> bool:
        """Return whether the worker wants no request of this entry now."""
        return now < self.paused_until

    @property
    def total_running(self) -> int:
        """Return the number of requests of all entries at the worker."""
        return self.running + self.peer_running

    @property
    def has_full_slots(self) -> bool:
        """Return whether as many requests as slots are at the worker."""
        return self.running + self.peer_running >= self.registration.slots

    def count_prefill_tokens(self, urgency: int) -> int:
        """Return the queued prompt tokens of at least the given urgency."""
        own = sum(self.prefill_tokens[: urgency + 1])
        return own + sum(self.peer_prefill_tokens[: urgency + 1])

    def measure_occupancy(self, urgency: int) -> rooms.Occupancy:
        """Return what competes for slots with a request of an urgency."""
        ahead = sum(self.waiting[: urgency + 1])
        return rooms.Occupancy(
            self.registration.slots,
            self.total_running,
            sum(self.waiting) + sum(self.peer_waiting),
            ahead + sum(self.peer_waiting[: urgency + 1]),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """Record that a start of a worker was removed, in monotonic seconds.

    ``is_final`` means that this start does not return.
    """

    started_at_ms: int
    left_at: float
    is_final: bool


class Fleet:
    """Registry of the workers by name and by upstream."""

    __slots__ = (
        'brittleness',
        'by_upstream',
        'departures',
        'leaving',
        'limits',
        'workers',
    )

    def __init__(self) -> None:
        self.departures: dict[str, Departure] = {}
        # Latest start of each worker whose answers say that it will end.
        self.leaving: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.by_upstream: dict[str, list[Worker]] = {}
        self.limits = limits.RateLimits()
        self.brittleness = brittleness.Brittleness()

    def register(
        self, registration: models.WorkerRegistration, now: float
    ) -> Worker:
        """Add or update a worker.

        A registration of a later start replaces the worker; one of an earlier
        start is ignored. A worker that drains does so until its end.
        """
        known = self.workers.get(registration.name)
        if (
            known is None
            or registration.started_at_ms > known.registration.started_at_ms
        ):
            known = Worker(registration, health.Health())
            self._replace(known)
        elif registration.started_at_ms < known.registration.started_at_ms:
            return known
        elif _has_other_upstream(known.registration, registration):
            known.registration = registration
            self._index()
        if known.is_draining:
            registration = dataclasses.replace(
                registration, state=models.WorkerState.draining
            )
        known.registration = registration
        known.is_leaving = known.is_leaving or _is_start_leaving(
            self.leaving, registration
        )
        known.is_absent = False
        known.warming_until = now + registration.warmup_s
        return known

    def mark_leaving(self, name: str, started_at_ms: int) -> Worker | None:
        """Record that a start of a worker will end.

        Return the worker if it is in use and did not drain before.
        """
        if self.leaving.get(name, -1) < started_at_ms:
            self.leaving.pop(name, None)
            self.leaving[name] = started_at_ms
            constraints.forget_oldest(self.leaving)
        worker = self.workers.get(name)
        if worker is None or worker.is_leaving:
            return None
        if not _is_start_leaving(self.leaving, worker.registration):
            return None
        was_draining = worker.is_draining
        worker.is_leaving = True
        return None if was_draining else worker

    def is_brittle(self, upstream: str) -> bool:
        """Return whether workers of an upstream must not have to refuse."""
        return self.brittleness.has_brittle(
            worker.registration.start_key for worker in self.select(upstream)
        )

    def select_admitting(self, upstream: str, now: float) -> list[Worker]:
        """Return the workers that take a request of this entry now."""
        is_brittle = self.is_brittle(upstream)
        return [
            worker
            for worker in self.select(upstream)
            if not (worker.is_draining or self.get_wait_s(worker, now))
            and (not is_brittle or self._has_place(worker, now))
        ]

    def get_wait_s(self, worker: Worker, now: float) -> float:
        """Return the time until the end of a worker's pause and limit."""
        wait_s = max(0, worker.paused_until - now)
        if self.limits.by_start:
            start_key = worker.registration.start_key
            wait_s = max(wait_s, self.limits.get_wait_s(start_key, now))
        return wait_s

    def get_least_wait_s(self, upstream: str, now: float) -> float:
        """Return the time until the first worker that waits takes a request.

        Return 0 if none has a pause or a limit.
        """
        waits = [
            self.get_wait_s(worker, now)
            for worker in self.select(upstream)
            if not worker.is_draining
        ]
        return min(filter(None, waits), default=0)

    def mark_absent(self, name: str) -> Worker | None:
        """Mark a worker whose registration vanished; return it if known."""
        known = self.workers.get(name)
        if known is not None:
            known.is_absent = True
        return known

    def remove(self, worker: Worker) -> None:
        """Remove a worker; requests that run there are not cancelled."""
        worker.is_retired = True
        if self.workers.get(worker.registration.name) is worker:
            self.workers.pop(worker.registration.name)
            self._index()

    def retire(self, worker: Worker, now: float, *, is_final: bool) -> None:
        """Remove a worker and remember that this start of it has left.

        ``is_final`` means that this start can't be registered again.
        """
        self.remove(worker)
        name = worker.registration.name
        self.departures.pop(name, None)
        self.departures[name] = Departure(
            worker.registration.started_at_ms, now, is_final
        )
        constraints.forget_oldest(self.departures)

    def find_departure(
        self, registration: models.WorkerRegistration
    ) -> Departure | None:
        """Return the removal of a registered start of a worker, if any."""
        departure = self.departures.get(registration.name)
        if departure is None:
            return None
        if registration.started_at_ms > departure.started_at_ms:
            return None
        return departure

    def select(self, upstream: str) -> abc.Sequence[Worker]:
        """Return the workers of an upstream."""
        return self.by_upstream.get(upstream, ())

    def set_peer_loads(
        self,
        loads: abc.Iterable[abc.Mapping[str, tuple[int, ...]]],
    ) -> None:
        """Replace the load that the other entries reported.

        Each load maps a worker's name to figures as in ``rooms.reports``.
        """
        totals: dict[str, reports.PeerLoad] = {}
        for load in loads:
            for name, figures in load.items():
                totals.setdefault(name, reports.PeerLoad()).add(figures)
        for name, worker in self.workers.items():
            total = totals.get(name) or reports.PeerLoad()
            worker.peer_running = total.running
            worker.peer_prefill_tokens = total.prefill_tokens
            worker.peer_waiting = total.waiting

    def merge_slowdowns(
        self, load: abc.Mapping[str, tuple[int, ...]], now: float
    ) -> None:
        """Record the slowdowns in a peer's report that has just arrived."""
        for name, figures in load.items():
            worker = self.workers.get(name)
            if worker is not None:
                reports.merge_slowdown(worker.slowdown, figures, now)

    def measure_load(self, now: float) -> dict[str, tuple[int, ...]]:
        """Return this entry's load by worker, as peers receive it."""
        return {
            name: (
                worker.running,
                *worker.prefill_tokens,
                *worker.waiting,
                *reports.encode_slowdown(worker.slowdown, now),
            )
            for name, worker in self.workers.items()
            if worker.running or worker.slowdown.is_slow(now)
        }

    def measure_outcomes(self, now: float) -> dict[str, tuple[int, int]]:
        """Return recent answers and failures of workers that had failures."""
        measured = {
            name: worker.health.measure_for_peers(now)
            for name, worker in self.workers.items()
            if worker.health.failed_at
        }
        return {
            name: (answers, failures)
            for name, (answers, failures) in measured.items()
            if failures
        }

    def _has_place(self, worker: Worker, now: float) -> bool:
        return self.brittleness.has_place(
            worker.registration.start_key,
            brittleness.Places(
                worker.registration.slots, worker.running, worker.total_running
            ),
            now,
        )

    def _replace(self, worker: Worker) -> None:
        earlier = self.workers.get(worker.registration.name)
        if earlier is not None:
            earlier.is_retired = True
        self.workers[worker.registration.name] = worker
        self._index()

    def _index(self) -> None:
        self.by_upstream = {}
        for worker in self.workers.values():
            upstream = worker.registration.upstream
            self.by_upstream.setdefault(upstream, []).append(worker)


def _is_start_leaving(
    leaving: abc.Mapping[str, int],
    registration: models.WorkerRegistration,
) -> bool:
    return registration.started_at_ms <= leaving.get(registration.name, -1)


def _has_other_upstream(
    old: models.WorkerRegistration, new: models.WorkerRegistration
) -> bool:
    return old.upstream != new.upstream
