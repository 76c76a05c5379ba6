"""Drawn engines and a load on them in virtual time, without a network."""

import dataclasses
import heapq
import itertools
import random

from citronjunction.gateway import choosing, fleet, models, shedding

STEP_S = 0.25  # between load reports of the entries


@dataclasses.dataclass
class Engine:
    """A worker with slots, urgent requests first; ``slow`` are its spells."""

    slots: int
    tokens_per_s: float
    slow: tuple = ()

    def __post_init__(self):
        self.busy = 0
        self.queue = []
        self.waited = []

    def get_factor(self, now):
        for start, end, factor in self.slow:
            if start <= now < end:
                return factor
        return 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    at: float
    urgency: int
    prompt: models.Prompt
    decode_s: float
    target_s: float


@dataclasses.dataclass
class Outcome:
    arrival: Arrival
    worker: str = ''
    first_s: float | None = None
    is_refused: bool = False

    @property
    def is_in_time(self):
        return (
            self.first_s is not None and self.first_s <= self.arrival.target_s
        )


def build_prompt(key, shared=400, own=600):
    parts = (
        models.PromptPart('common', shared // 4),
        models.PromptPart(key, shared - shared // 4),
        models.PromptPart('own', own),
    )
    return models.Prompt('m', shared + own, 400, parts)


class Simulation:
    """Entries that see each other's load late, in front of drawn engines."""

    def __init__(self, engines, entries=4, seed=1, rule='rooms'):
        self.engines = engines
        self.rule = rule
        self.random = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.outcomes = []
        self.choosers = []
        for number in range(entries):
            pool = fleet.Fleet()
            for name, engine in engines.items():
                # Without slots in short supply, prefill queues alone decide.
                slots = 10_000 if rule == 'prefill' else engine.slots
                pool.register(_register(name, slots), 0)
            source = random.Random(seed * 100 + number)
            chooser = choosing.Chooser(pool, 'z1', source)
            chooser.rooms.count_entries = lambda: entries
            self.choosers.append(chooser)

    def run(self, arrivals):
        for number, arrival in enumerate(arrivals):
            entry = number % len(self.choosers)
            self._at(arrival.at, self._arrive, arrival, entry)
        end = max(arrival.at for arrival in arrivals) + 1
        for step in range(int(end / STEP_S)):
            self._at(step * STEP_S, self._report)
        while self.events:
            now, _, call, details = heapq.heappop(self.events)
            call(now, *details)
        return self.outcomes

    def _at(self, at, call, *details):
        heapq.heappush(self.events, (at, next(self.order), call, details))

    def _report(self, now):
        loads = [chooser.fleet.measure_load(now) for chooser in self.choosers]
        for number, chooser in enumerate(self.choosers):
            others = loads[:number] + loads[number + 1 :]
            chooser.fleet.set_peer_loads(others)
            for load in others:
                chooser.fleet.merge_slowdowns(load, now)

    def _arrive(self, now, arrival, entry):
        chooser = self.choosers[entry]
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        candidate = chooser.choose(
            'llm', arrival.prompt, arrival.urgency, (), now, lambda _: True
        )
        if shedding.check_queue(arrival.target_s, candidate.queue_s):
            outcome.is_refused = True
            return
        worker = candidate.worker
        if self.rule == 'random':
            worker = self.random.choice(list(chooser.fleet.workers.values()))
        outcome.worker = worker.registration.name
        worker.running += 1
        worker.waiting[arrival.urgency] += 1
        worker.prefill_tokens[arrival.urgency] += candidate.prefill_tokens
        chooser.rooms.get('llm').sent[arrival.urgency].record(now)
        job = (outcome, worker, candidate.prefill_tokens, entry)
        engine = self.engines[outcome.worker]
        heapq.heappush(engine.queue, (arrival.urgency, next(self.order), job))
        self._admit(now, engine)

    def _admit(self, now, engine):
        while engine.queue and engine.busy < engine.slots:
            _, _, job = heapq.heappop(engine.queue)
            engine.busy += 1
            factor = engine.get_factor(now)
            prefill_s = job[2] / engine.tokens_per_s * factor
            self._at(now + prefill_s, self._start, engine, job, factor)

    def _start(self, now, engine, job, factor):
        outcome, worker, tokens, _ = job
        urgency = outcome.arrival.urgency
        outcome.first_s = now - outcome.arrival.at
        worker.waiting[urgency] -= 1
        worker.prefill_tokens[urgency] -= tokens
        worker.slowdown.record(engine.get_factor(now), now)
        rest_s = outcome.arrival.decode_s * factor
        self._at(now + rest_s, self._end, engine, job, rest_s)

    def _end(self, now, engine, job, rest_s):
        _, worker, tokens, entry = job
        worker.running -= 1
        engine.busy -= 1
        times = self.choosers[entry].rooms.get('llm').times
        times.record('r', tokens / choosing.PREFILL_TOKENS_PER_S, rest_s)
        self._admit(now, engine)


def _register(name, slots):
    return models.WorkerRegistration(
        name, 'llm', f'{name}:80', 'z1', 'v1', slots,
        models.WorkerState.ready, False, 1, 0,
    )  # fmt: skip


def draw_arrivals(
    seed, rate_per_s, length_s, decode_s=0.8, keys=30, mix=(0, 1, 2)
):
    """Draw Poisson arrivals with exponential times of decoding."""
    source = random.Random(seed)
    now = 0.0
    arrivals = []
    while now < length_s:
        now += source.expovariate(rate_per_s)
        arrivals.append(
            Arrival(
                now,
                source.choice(mix),
                build_prompt(f'k{source.randrange(keys)}'),
                source.expovariate(1 / decode_s),
                0.5,
            )
        )
    return arrivals


def measure_in_time(outcomes, urgency=None):
    """Return the share of requests that were in time."""
    chosen = [
        outcome
        for outcome in outcomes
        if urgency is None or outcome.arrival.urgency == urgency
    ]
    return sum(outcome.is_in_time for outcome in chosen) / len(chosen)
