"""Simulate continuous batching; the caller advances real or virtual time."""

import collections
import dataclasses
from collections import abc

BLOCK_TOKENS = 32  # tokens per prefix cache block


@dataclasses.dataclass(slots=True, frozen=True)
class BatchOptions:
    """Configure the capacity and speed of an engine.

    ``per_job_s`` is added to a step for each running job; ``prefill_budget``
    limits the prompt tokens computed in a step.
    """

    slots: int = 16
    step_s: float = 0.02
    per_job_s: float = 0.0005
    prefill_tokens_per_s: float = 8000
    prefill_budget: int = 1024
    cache_blocks: int = 4096


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Track one request in a batch.

    ``blocks`` are hashes of prefixes, one per block. ``prefill_left`` counts
    the prompt tokens still to compute and is -1 until the job starts.
    ``step_credit`` is the fraction of a token that a slow job has accumulated.
    """

    name: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    emitted: int = 0
    slowdown: float = 1
    prefill_left: int = -1
    recomputed_tokens: int = 0
    step_credit: float = 0

    def advance(self) -> bool:
        """Advance by a step; return whether the job emits a token in it."""
        if self.prefill_left:
            return False
        self.step_credit += 1 / self.slowdown
        if self.step_credit < 1:
            return False
        self.step_credit -= 1
        return True


class Batch:
    """Run jobs step by step with a prefix cache that evicts by LRU."""

    __slots__ = ('cache', 'options', 'queue', 'recomputed_tokens', 'running')

    def __init__(self, options: BatchOptions) -> None:
        """Create an idle batch with an empty cache."""
        self.options = options
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.recomputed_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no job is queued or running."""
        return not self.queue and not self.running

    def submit(self, job: Job) -> None:
        """Queue a job by priority; lower numbers start first."""
        self.queue.append(job)
        self.queue.sort(key=lambda queued: queued.priority)

    def cancel(self, job: Job) -> None:
        """Remove a job from the queue or from the running jobs."""
        if job in self.queue:
            self.queue.remove(job)
        if job in self.running:
            self.running.remove(job)

    def import_blocks(self, blocks: abc.Iterable[int]) -> None:
        """Cache blocks and evict the least recently used of a full cache."""
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.options.cache_blocks:
            self.cache.popitem(last=False)

    def step(self) -> tuple[float, list[Job]]:
        """Run a step; return its seconds and the jobs that emitted a token."""
        while self.queue and len(self.running) < self.options.slots:
            self._start(self.queue.pop(0))
        prefilled = self._prefill()
        ready = [job for job in self.running if job.advance()]
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
        cached_blocks = 0
        for block in job.blocks:
            if block not in self.cache:
                break
            cached_blocks += 1
        job.prefill_left = max(
            0, job.prompt_tokens - cached_blocks * BLOCK_TOKENS
        )
        job.recomputed_tokens = job.prefill_left
        self.recomputed_tokens += job.prefill_left
        self.running.append(job)

    def _prefill(self) -> int:
        budget = self.options.prefill_budget
        for job in sorted(self.running, key=lambda running: running.priority):
            if job.prefill_left and budget:
                computed = min(budget, job.prefill_left)
                job.prefill_left -= computed
                budget -= computed
                if not job.prefill_left:
                    self.import_blocks(job.blocks)
        return self.options.prefill_budget - budget
