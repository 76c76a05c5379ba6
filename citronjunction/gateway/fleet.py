"""The workers that an entry knows, with their load and health."""

import dataclasses
from collections import abc

from citronjunction.evacuations import state as evacuations
from citronjunction.gateway import (
    brittleness,
    constraints,
    departures,
    health,
    limits,
    models,
)
from citronjunction.pacing import pacer as pacing, roster, worker_pace

# Time for which a worker is still used after its registration vanished; must
# stay below the time within which a draining worker has to be out of use.
ABSENT_GRACE_S = 1.4
# Time after a store outage in which lapsed registrations may return.
OUTAGE_GRACE_S = 2.2
URGENCY_GROUPS = 3  # rank 0, rank 1 and all other ranks


def get_urgency(rank: int) -> int:
    """Return the urgency group of a rank; group 0 is the most urgent."""
    return max(0, min(rank, URGENCY_GROUPS - 1))


def _build_zero_tokens() -> list[int]:
    return [0 for _ in range(URGENCY_GROUPS)]


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Store a worker's registration, load and health.

    ``running`` counts this entry's requests at the worker, ``prefill_tokens``
    are the prompt tokens of those without a first event, by urgency group.
    ``peer_running`` and ``peer_prefill_tokens`` are the same for the other
    entries, as last reported. ``warming_until`` is in monotonic seconds, and so
    are ``cold_until``, before which it may be cold, and ``paused_until``, before
    which the worker wants no request of this entry.
    ``is_leaving`` means that its answers say that it will end, ``is_peer`` that
    this is another entry, to which requests are forwarded. ``heard_at`` is when
    bytes came from it last, in monotonic seconds.
    """

    registration: models.WorkerRegistration
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
    is_leaving: bool = False
    paused_until: float = 0
    is_absent: bool = False
    leaves_at: float | None = None
    warming_until: float = 0
    cold_until: float = 0
    is_peer: bool = False
    heard_at: float = 0
    pace: worker_pace.WorkerPace = dataclasses.field(
        default_factory=worker_pace.WorkerPace
    )

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

    def count_prefill_tokens(self, urgency: int) -> int:
        """Return the queued prompt tokens of at least the given urgency."""
        own = sum(self.prefill_tokens[: urgency + 1])
        return own + sum(self.peer_prefill_tokens[: urgency + 1])


class Fleet:
    """Registry of the workers by name and by upstream."""

    __slots__ = (
        'brittleness',
        'by_upstream',
        'departures',
        'evacuations',
        'follows_answers',
        'leaving',
        'limits',
        'pacer',
        'workers',
    )

    def __init__(self, pacer: pacing.Pacer | None = None) -> None:
        """Use a pacer that knows the peers, if there are any."""
        self.pacer = pacer or pacing.Pacer(
            roster.Roster('', 0, has_seeds=False)
        )
        self.departures: dict[str, departures.Departure] = {}
        # Latest start of each worker whose answers say that it will end.
        self.leaving: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.by_upstream: dict[str, list[Worker]] = {}
        self.evacuations = evacuations.Evacuations()
        self.limits = limits.RateLimits()
        # Whether workers that start or recover are limited at first.
        self.follows_answers = False
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
            self.expect_cold(known, now)
        elif registration.started_at_ms < known.registration.started_at_ms:
            return known
        elif known.registration.upstream != registration.upstream:
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
        if known.is_absent:
            self.expect_cold(known, now)
        known.is_absent = False
        known.warming_until = now + registration.warmup_s
        known.cold_until = max(known.cold_until, known.warming_until)
        return known

    def expect_cold(self, worker: Worker, now: float) -> None:
        """Assume that a worker has just become cold."""
        cold_s = self.pacer.get_cold_s(worker.registration.upstream)
        worker.cold_until = max(worker.cold_until, now + cold_s)
        self.begin_pace(worker, now)

    def begin_pace(self, worker: Worker, now: float) -> None:
        """Limit the requests to a worker that starts or recovers."""
        if self.follows_answers:
            worker.pace.begin(worker.registration.slots, now)

    def expect_cold_zone(self, zone: str, now: float) -> None:
        """Assume that the workers of a data centre have just become cold."""
        for worker in self.select_zone(zone):
            self.expect_cold(worker, now)

    def needs_peer(self, upstream: str) -> bool:
        """Return whether only peers may send to all of an upstream's workers."""
        if upstream not in self.pacer.bounds or self.is_evacuated(upstream):
            return False
        return not self.pacer.has_share()

    def is_cold(self, worker: Worker, now: float) -> bool:
        """Return whether a worker of a paced upstream is known to be cold."""
        is_paced = worker.registration.upstream in self.pacer.bounds
        return is_paced and now < worker.cold_until

    def record_send(self, worker: Worker, now: float) -> None:
        """Count a request that this entry sends to a worker."""
        self.limits.record_send(worker.registration.start_key, now)
        if self.pacer.bounds:
            self.pacer.record_send(get_target(worker), now)

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
            if not (self.is_out_of_use(worker) or self.get_wait_s(worker, now))
            and (not is_brittle or self._has_place(worker, now))
        ]

    def is_closed(self, worker: Worker) -> bool:
        """Return whether the worker's data centre is evacuated."""
        return self.evacuations.closes(worker.registration.zone)

    def is_out_of_use(self, worker: Worker) -> bool:
        """Return whether the worker gets no requests for an unknown time."""
        return worker.is_draining or self.is_closed(worker)

    def is_evacuated(self, upstream: str) -> bool:
        """Return whether an upstream's workers are all evacuated."""
        staying = [
            worker for worker in self.select(upstream) if not worker.is_draining
        ]
        is_closed = all(map(self.is_closed, staying))
        return self.evacuations.is_known and bool(staying) and is_closed

    def select_zone(self, zone: str) -> list[Worker]:
        """Return the workers of a data centre."""
        return [
            worker
            for worker in self.workers.values()
            if worker.registration.zone == zone
        ]

    def get_wait_s(self, worker: Worker, now: float) -> float:
        """Return the time until a worker's pause, limit and pace permit one."""
        wait_s = max(0, worker.paused_until - now)
        if self.limits.by_start:
            start_key = worker.registration.start_key
            wait_s = max(wait_s, self.limits.get_wait_s(start_key, now))
        if self.pacer.bounds:
            paced_s = self.pacer.get_wait_s(get_target(worker), now)
            wait_s = max(wait_s, paced_s)
        return wait_s

    def get_least_wait_s(self, upstream: str, now: float) -> float:
        """Return the time until the first worker that waits takes a request.

        Return 0 if none has a pause or a limit.
        """
        waits = [
            self.get_wait_s(worker, now)
            for worker in self.select(upstream)
            if not self.is_out_of_use(worker)
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
        self.departures[name] = departures.Departure(
            worker.registration.started_at_ms, now, is_final
        )
        constraints.forget_oldest(self.departures)

    def find_departure(
        self, registration: models.WorkerRegistration
    ) -> departures.Departure | None:
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

        Each load maps a worker's name to a number of requests, followed by
        prompt tokens by urgency group.
        """
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
        """Return this entry's load by worker, as peers receive it."""
        return {
            name: (worker.running, *worker.prefill_tokens)
            for name, worker in self.workers.items()
            if worker.running
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


def get_target(worker: Worker) -> pacing.Target:
    """Return a worker as its pacer knows it."""
    registration = worker.registration
    return pacing.Target(
        registration.name, registration.upstream, worker.cold_until
    )


def _is_start_leaving(
    leaving: abc.Mapping[str, int],
    registration: models.WorkerRegistration,
) -> bool:
    return registration.started_at_ms <= leaving.get(registration.name, -1)
