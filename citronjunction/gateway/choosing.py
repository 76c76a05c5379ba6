"""Choice of the worker for a request, without I/O."""

import dataclasses
import random
from collections import abc

import xxhash

from citronjunction.gateway import fleet, models

PREFILL_TOKENS_PER_S = 68200.0  # published speed of an engine
DECODE_SLOWDOWN_S = 0.002  # first-token delay for each request running there
AFFINE_WORKERS = 2  # workers that cache a shared prompt part
MISSED_ZONE_S = 0.002  # preference for the own data centre
COLD_S = 0.2  # added while a worker is still slow after its start
LEAVING_S = 5.0  # added for a worker whose entry vanished


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Hold a worker and the wait expected there, in seconds."""

    worker: fleet.Worker
    wait_s: float


class Chooser:
    """Choose workers by expected wait, cached prompt parts and place."""

    __slots__ = ('fleet', 'random', 'zone')

    def __init__(
        self,
        workers: fleet.Fleet,
        zone: str,
        source: random.Random,
    ) -> None:
        """Take the workers, the own data centre and a random source."""
        self.fleet = workers
        self.zone = zone
        self.random = source

    def choose(
        self,
        upstream: str,
        prompt: models.Prompt | None,
        tried: abc.Collection[fleet.Worker],
        now: float,
        allows: abc.Callable[[fleet.Worker], bool],
    ) -> Candidate | None:
        """Return the worker with the shortest expected wait."""
        usable = self._select(upstream, tried, now, allows)
        if not usable:
            return None
        if prompt is None:
            return self._choose_plain(usable, now)
        return self._choose_for_prompt(usable, prompt, now)

    def _select(
        self,
        upstream: str,
        tried: abc.Collection[fleet.Worker],
        now: float,
        allows: abc.Callable[[fleet.Worker], bool],
    ) -> list[fleet.Worker]:
        open_workers = [
            worker
            for worker in self.fleet.select(upstream)
            if not worker.is_draining and worker not in tried and allows(worker)
        ]
        sound = [
            worker
            for worker in open_workers
            if not worker.health.is_ejected(now)
        ]
        # A common cause ejects many at once; then ejection tells nothing.
        return sound if len(sound) * 2 >= len(open_workers) else open_workers

    def _choose_plain(
        self,
        usable: list[fleet.Worker],
        now: float,
    ) -> Candidate:
        best = min(usable, key=lambda worker: self._rank_plain(worker, now))
        return Candidate(best, 0)

    def _rank_plain(
        self,
        worker: fleet.Worker,
        now: float,
    ) -> tuple[float, bool, float]:
        load = worker.total_running / worker.entry.slots
        return (
            load + self._get_penalty_s(worker, now),
            worker.entry.zone != self.zone,
            self.random.random(),
        )

    def _choose_for_prompt(
        self,
        usable: list[fleet.Worker],
        prompt: models.Prompt,
        now: float,
    ) -> Candidate:
        affine = rank_affine(prompt.affinity_key, usable)[:AFFINE_WORKERS]
        cached = sum(part.tokens for part in prompt.parts[:-1])
        options = []
        for worker in usable:
            unread = prompt.prompt_tokens
            if worker in affine:
                unread -= cached
            wait_s = self._estimate_wait(worker, unread, now)
            if worker.entry.zone != self.zone:
                wait_s += MISSED_ZONE_S
            options.append(Candidate(worker, wait_s))
        return min(options, key=lambda option: option.wait_s)

    def _estimate_wait(
        self,
        worker: fleet.Worker,
        unread: int,
        now: float,
    ) -> float:
        tokens = worker.total_unread + max(0, unread)
        wait_s = tokens / PREFILL_TOKENS_PER_S
        wait_s += worker.total_running * DECODE_SLOWDOWN_S
        return wait_s + self._get_penalty_s(worker, now)

    def _get_penalty_s(self, worker: fleet.Worker, now: float) -> float:
        penalty_s: float = 0
        if worker.is_absent:
            penalty_s += LEAVING_S
        if now < worker.cold_until:
            penalty_s += COLD_S
        return penalty_s


def rank_affine(
    key: str,
    workers: abc.Iterable[fleet.Worker],
) -> list[fleet.Worker]:
    """Order workers by rendezvous hash, alike at every entry."""
    return sorted(
        workers,
        key=lambda worker: _weigh(key, worker.entry.name),
        reverse=True,
    )


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key} {name}'.encode())
