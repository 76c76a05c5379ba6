"""Routing policies in virtual time, over the simulated batches of engines."""

import dataclasses
import heapq
import itertools
import random
from collections import abc
from typing import Protocol

import xxhash

from citronjunction.bench import mixes
from citronjunction.conf import models as conf
from citronjunction.routing import models as routing
from citronjunction.routing import router
from citronjunction.standins import batch
from citronjunction.upstreams import models as upstreams

REPORT_INTERVAL_S = 0.5  # load reports are up to this old
ROUTER_STRIDE = 4  # engine blocks per prefix block of the router
BATCH_OPTIONS = batch.BatchOptions(cache_blocks=1536)
VERSION = 'v1'
UPSTREAM = 'llm'
PERCENTILE = 0.95
WARM_UP_S = 10.0  # first tokens of requests sent earlier are not counted


class Policy(Protocol):
    """Define a routing policy."""

    def choose(
        self,
        arrival: mixes.Arrival,
        now: float,
    ) -> upstreams.Worker:
        """Return the worker for a request; ``now`` is in virtual seconds."""


@dataclasses.dataclass(slots=True)
class ProductRouting:
    """Route with the router of the product."""

    router: router.Router

    def choose(
        self,
        arrival: mixes.Arrival,
        now: float,
    ) -> upstreams.Worker:
        """Return the worker that the router chooses."""
        prefixes = arrival.blocks[ROUTER_STRIDE - 1 :: ROUTER_STRIDE]
        query = routing.Query(UPSTREAM, VERSION, prefixes)
        return self.router.choose(query, now).worker


@dataclasses.dataclass(slots=True)
class LeastLoaded:
    """Route to the worker with the least estimated load."""

    fleet: upstreams.Fleet
    rng: random.Random

    def choose(
        self,
        arrival: mixes.Arrival,
        now: float,
    ) -> upstreams.Worker:
        """Return the least loaded worker; break ties at random."""
        workers = self.fleet.select(UPSTREAM)
        return min(
            workers,
            key=lambda worker: (worker.estimate_load(), self.rng.random()),
        )


@dataclasses.dataclass(slots=True)
class RoundRobin:
    """Route to each worker in turn."""

    workers: abc.Iterator[upstreams.Worker]

    def choose(
        self,
        arrival: mixes.Arrival,
        now: float,
    ) -> upstreams.Worker:
        """Return the next worker in turn."""
        return next(self.workers)


@dataclasses.dataclass(slots=True)
class PlainHash:
    """Route by a hash of the prompt's first blocks."""

    fleet: upstreams.Fleet

    def choose(
        self,
        arrival: mixes.Arrival,
        now: float,
    ) -> upstreams.Worker:
        """Return a worker by a hash of the shared tokens and document start."""
        text = str(arrival.blocks[:24])
        workers = self.fleet.select(UPSTREAM)
        digest = xxhash.xxh3_64_intdigest(text.encode())
        return workers[digest % len(workers)]


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Figures of one run; written as JSON."""

    first_token_p95_s: float
    recomputed_tokens: int
    prompt_tokens: int
    requests: int


class ServingSimulation:
    """Simulate entries that route requests to engines.

    ``events`` is a heap of (time, sequence number, callback); ``assignments``
    maps a job's id to the time it was sent at and its worker.
    """

    def __init__(
        self, name: str, mix: mixes.Mix, workers: int, seed: int
    ) -> None:
        """Build the engines and a policy ``name`` for each entry."""
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.now: float = 0
        self.last_at: float = 0
        self.engines = {
            f'w{number}': batch.Batch(BATCH_OPTIONS)
            for number in range(workers)
        }
        self.busy: set[str] = set()
        self.first_token_delays_s: list[float] = []
        self.assignments: dict[int, tuple[float, upstreams.Worker]] = {}
        self.fleets = [self._build_fleet() for _ in range(mix.entries)]
        self.policies = [
            build_policy(name, fleet, seed + number)
            for number, fleet in enumerate(self.fleets)
        ]

    def run(self, arrivals: abc.Iterable[mixes.Arrival]) -> Outcome:
        """Run until all requests are answered and return the figures."""
        prompt_tokens = 0
        for arrival in arrivals:
            prompt_tokens += arrival.prompt_tokens
            self.last_at = arrival.at
            self._schedule(arrival.at, _ArrivalEvent(self, arrival).submit)
        self._schedule(0, self._report)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[-1]()
        ordered = sorted(self.first_token_delays_s)
        return Outcome(
            ordered[int(len(ordered) * PERCENTILE)],
            sum(engine.recomputed_tokens for engine in self.engines.values()),
            prompt_tokens,
            len(ordered),
        )

    def submit(self, arrival: mixes.Arrival) -> None:
        """Send an arriving request; fairness overrides this with admission."""
        self.send(arrival)

    def send(self, arrival: mixes.Arrival, priority: int = 0) -> batch.Job:
        """Route a request and submit it to its engine; return its job."""
        worker = self.policies[arrival.entry].choose(arrival, self.now)
        worker.start_request()
        job = batch.Job(
            '',
            arrival.blocks,
            arrival.prompt_tokens,
            arrival.answer_tokens,
            priority,
        )
        self.assignments[id(job)] = (self.now, worker)
        engine = self.engines[worker.name]
        engine.submit(job)
        if worker.name not in self.busy:
            self._step(worker.name)
        return job

    def on_first_token(self, job: batch.Job, at: float) -> None:
        """Record the latency of a first token."""
        sent_at = self.assignments[id(job)][0]
        if sent_at >= WARM_UP_S:
            self.first_token_delays_s.append(at - sent_at)

    def on_finished(self, job: batch.Job, worker: upstreams.Worker) -> None:
        """Record the end of a request."""
        worker.finish_request()

    def _build_fleet(self) -> upstreams.Fleet:
        fleet = upstreams.Fleet()
        for name in self.engines:
            worker = upstreams.Worker(name, name, UPSTREAM, 'z1')
            worker.versions = frozenset((VERSION,))
            fleet.add(worker)
        return fleet

    def _schedule(self, at: float, call: abc.Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), call))

    def _report(self) -> None:
        for fleet in self.fleets:
            for worker in fleet.select(UPSTREAM):
                engine = self.engines[worker.name]
                running = len(engine.running)
                queued = len(engine.queue)
                slots = BATCH_OPTIONS.slots
                load = upstreams.Load(running, queued, slots, self.now)
                worker.record_report(load)
        if self.busy or self.now < self.last_at:
            self._schedule(self.now + REPORT_INTERVAL_S, self._report)

    def _step(self, name: str) -> None:
        engine = self.engines[name]
        if engine.is_idle:
            self.busy.discard(name)
            return
        self.busy.add(name)
        seconds, ready = engine.step()
        end = self.now + seconds
        for job in ready:
            worker = self.assignments[id(job)][1]
            if job.emitted == 1:
                self._schedule(end, _FirstTokenEvent(self, job, end).record)
            if job.emitted >= job.max_tokens:
                self._schedule(end, _FinishEvent(self, job, worker).record)
        self._schedule(end, lambda: self._step(name))


@dataclasses.dataclass(slots=True, frozen=True)
class _ArrivalEvent:
    serving: ServingSimulation
    arrival: mixes.Arrival

    def submit(self) -> None:
        """Submit the request at its arrival."""
        self.serving.submit(self.arrival)


@dataclasses.dataclass(slots=True, frozen=True)
class _FirstTokenEvent:
    serving: ServingSimulation
    job: batch.Job
    at: float

    def record(self) -> None:
        """Record the first token of a job."""
        self.serving.on_first_token(self.job, self.at)


@dataclasses.dataclass(slots=True, frozen=True)
class _FinishEvent:
    serving: ServingSimulation
    job: batch.Job
    worker: upstreams.Worker

    def record(self) -> None:
        """Record the end of a job."""
        self.serving.on_finished(self.job, self.worker)


def build_policy(name: str, fleet: upstreams.Fleet, seed: int) -> Policy:
    """Build a baseline policy, or the router of the product by default."""
    rng = random.Random(seed)  # noqa: S311
    match name:
        case 'least_loaded':
            return LeastLoaded(fleet, rng)
        case 'round_robin':
            workers = fleet.select(UPSTREAM)
            start = seed % len(workers)
            return RoundRobin(
                itertools.cycle(workers[start:] + workers[:start]),
            )
        case 'plain_hash':
            return PlainHash(fleet)
        case _:
            product_router = router.Router(conf.Routing(), 'z1', fleet, rng)
            return ProductRouting(product_router)


def measure(
    name: str,
    mix: mixes.Mix,
    workers: int,
    seconds: float,
    seed: int,
) -> Outcome:
    """Run one policy over a mix and return its figures."""
    serving = ServingSimulation(name, mix, workers, seed)
    return serving.run(mixes.generate(mix, seconds, seed))


def find_workers(
    name: str,
    mix: mixes.Mix,
    seconds: float,
    seed: int,
    target_s: float,
) -> int:
    """Return the fewest workers whose p95 first token meets ``target_s``.

    The search ends at three times the workers of the mix.
    """
    for workers in range(2, 3 * mix.workers):
        outcome = measure(name, mix, workers, seconds, seed)
        if outcome.first_token_p95_s <= target_s:
            return workers
    return 3 * mix.workers
