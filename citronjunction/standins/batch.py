"""Continuous batching of a model engine, in any kind of time."""

import collections
import dataclasses
from collections import abc

BLOCK_TOKENS = 32  # tokens per prefix cache block


@dataclasses.dataclass(slots=True, frozen=True)
class BatchOptions:
    """Give the speed of an engine; times are seconds."""

    slots: int = 16
    step_s: float = 0.02
    per_job_s: float = 0.0005
    prefill_tokens_per_s: float = 8000
    prefill_budget: int = 1024
    cache_blocks: int = 4096


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Hold one request in an engine; ``blocks`` are prefix block hashes."""

    name: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    emitted: int = 0
    slowdown: float = 1
    missing: int = -1
    recomputed_tokens: int = 0
    credit: float = 0

    def takes_step(self) -> bool:
        """Tell whether the job gets a token; a slow one skips steps."""
        if self.missing:
            return False
        self.credit += 1 / self.slowdown
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class Batch:
    """Run jobs step by step with a bounded prefix cache."""

    __slots__ = ('cache', 'options', 'queue', 'recomputed_tokens', 'running')

    def __init__(self, options: BatchOptions) -> None:
        """Start idle with an empty cache."""
        self.options = options
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.recomputed_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no job is left."""
        return not self.queue and not self.running

    def submit(self, job: Job) -> None:
        """Queue a job by priority; a lower number goes first."""
        self.queue.append(job)
        self.queue.sort(key=lambda queued: queued.priority)

    def cancel(self, job: Job) -> None:
        """Drop a job."""
        if job in self.queue:
            self.queue.remove(job)
        if job in self.running:
            self.running.remove(job)

    def import_blocks(self, blocks: abc.Iterable[int]) -> None:
        """Put blocks into the cache and evict the least recently used."""
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.options.cache_blocks:
            self.cache.popitem(last=False)

    def step(self) -> tuple[float, list[Job]]:
        """Run one step; return its seconds and the jobs that got a token."""
        while self.queue and len(self.running) < self.options.slots:
            self._start(self.queue.pop(0))
        prefilled = self._prefill()
        ready = [job for job in self.running if job.takes_step()]
        for job in ready:
            job.emitted += 1
            if job.emitted >= job.max_tokens:
                self.running.remove(job)
        seconds = self.options.step_s + self.options.per_job_s * len(
            self.running
        )
        seconds += prefilled / self.options.prefill_tokens_per_s
        return seconds, ready

    def _start(self, job: Job) -> None:
        known = 0
        for block in job.blocks:
            if block not in self.cache:
                break
            known += 1
        job.missing = max(0, job.prompt_tokens - known * BLOCK_TOKENS)
        job.recomputed_tokens = job.missing
        self.recomputed_tokens += job.missing
        self.running.append(job)

    def _prefill(self) -> int:
        budget = self.options.prefill_budget
        for job in sorted(self.running, key=lambda held: held.priority):
            if job.missing and budget:
                done = min(budget, job.missing)
                job.missing -= done
                budget -= done
                if not job.missing:
                    self.import_blocks(job.blocks)
        return self.options.prefill_budget - budget
