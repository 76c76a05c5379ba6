"""Load balancing: selects the worker for a request, without I/O."""

import dataclasses
import math
import random
from collections import abc

from citronjunction.gateway import fleet, models
from citronjunction.membership import topology

# The published prefill rate is 68.2 tokens/ms in chunks of 2048 tokens. Each
# chunk includes a decode step of 3.82 ms for the running requests. Attention is
# added separately.
PREFILL_TOKENS_PER_S = 58000.0
ATTENTION_S = 0.24e-9  # per pair of prompt tokens
DECODE_SLOWDOWN_S = 0.002  # first-token delay per request that a worker runs
# A miss of the prefix cache costs the prefill time of the shared parts, as much
# again for the delay of the requests queued at that worker, and as much again
# for the cache space that the second copy uses.
CACHE_MISS_WEIGHT = 3.0
# Extra wait at the first worker above which a prefix in high demand is also
# sent to its second worker.
SECOND_CHOICE_PENALTY_S = 0.1
OTHER_ZONE_PENALTY_S = 0.002  # prefers workers of the entry's own data centre
WARMUP_PENALTY_S = 0.2  # for a worker that is still slow after its start
# For a worker that fails all requests. A failure costs callers more than a
# first event that comes this much later.
FAILURES_PENALTY_S = 2.0
# Makes a worker whose registration vanished the last choice.
ABSENT_PENALTY_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Describe a selected worker and the expected delay of a request there.

    ``wait_s`` is the expected time to the first event, ``queue_s`` the part of
    it that queued prompts of at least the same urgency use. ``prefill_tokens``
    are the prompt tokens that the worker must process.
    """

    worker: fleet.Worker
    wait_s: float
    queue_s: float
    prefill_tokens: int


class Chooser:
    """Choose workers by expected wait, cached prefixes and data centre."""

    __slots__ = ('fleet', 'random', 'zone')

    def __init__(
        self,
        workers: fleet.Fleet,
        zone: str,
        source: random.Random,
    ) -> None:
        self.fleet = workers
        self.zone = zone
        self.random = source

    def choose(
        self,
        upstream: str,
        prompt: models.Prompt | None,
        urgency: int,
        tried: abc.Collection[fleet.Worker],
        now: float,
        allows: abc.Callable[[fleet.Worker], bool],
    ) -> Candidate | None:
        """Return the worker with the lowest expected cost, if any is usable.

        Workers in ``tried`` and those that ``allows`` rejects are left out.
        """
        usable = self._select(upstream, tried, now, allows)
        if not usable:
            return None
        usable = _prefer_unlimited(usable, now)
        if prompt is None:
            return self._choose_plain(usable, now)
        return self._choose_for_prompt(usable, prompt, urgency, now)

    def _select(
        self,
        upstream: str,
        tried: abc.Collection[fleet.Worker],
        now: float,
        allows: abc.Callable[[fleet.Worker], bool],
    ) -> list[fleet.Worker]:
        available = [
            worker
            for worker in self.fleet.select_admitting(upstream, now)
            if worker not in tried and allows(worker)
        ]
        healthy = [
            worker for worker in available if not worker.health.is_ejected(now)
        ]
        # If most workers are ejected at once, the cause is likely a shared one
        # and not the workers, so ejection is ignored.
        return healthy if len(healthy) * 2 >= len(available) else available

    def _choose_plain(
        self,
        usable: list[fleet.Worker],
        now: float,
    ) -> Candidate:
        best = min(usable, key=lambda worker: self._rank_plain(worker, now))
        return Candidate(best, 0, 0, 0)

    def _rank_plain(
        self,
        worker: fleet.Worker,
        now: float,
    ) -> tuple[float, bool, float]:
        load = worker.total_running / worker.registration.slots
        return (
            load + self._get_penalty_s(worker, now),
            worker.registration.zone != self.zone,
            self.random.random(),
        )

    def _choose_for_prompt(
        self,
        usable: list[fleet.Worker],
        prompt: models.Prompt,
        urgency: int,
        now: float,
    ) -> Candidate:
        ranked = rank_by_affinity(prompt.affinity_key, usable)
        cache_miss_s = prompt.shared_tokens / PREFILL_TOKENS_PER_S
        best = None
        best_cost_s = math.inf
        for order, worker in enumerate(ranked):
            # Admitted prompts of all urgencies are prefilled side by side.
            prefill_ahead = worker.count_prefill_tokens(
                fleet.URGENCY_GROUPS - 1
            )
            wait_s = prefill_ahead / PREFILL_TOKENS_PER_S
            overdue_s = worker.pace.get_overdue_s(urgency, now)
            wait_s += overdue_s
            wait_s += self._estimate_prefill_s(worker, prompt, now)
            cost_s = wait_s
            prefill_tokens = prompt.prompt_tokens
            if order < 2:
                prefill_tokens -= prompt.shared_tokens
            if order == 1:
                cost_s += min(SECOND_CHOICE_PENALTY_S, cache_miss_s)
            elif order > 1:
                wait_s += cache_miss_s
                cost_s += CACHE_MISS_WEIGHT * cache_miss_s
            if worker.registration.zone != self.zone:
                cost_s += OTHER_ZONE_PENALTY_S
            cost_s += FAILURES_PENALTY_S * worker.health.get_failure_share(now)
            if cost_s < best_cost_s:
                queue_s = (
                    worker.count_prefill_tokens(urgency) / PREFILL_TOKENS_PER_S
                    + overdue_s
                )
                best = Candidate(worker, wait_s, queue_s, prefill_tokens)
                best_cost_s = cost_s
        return best

    def _estimate_prefill_s(
        self,
        worker: fleet.Worker,
        prompt: models.Prompt,
        now: float,
    ) -> float:
        """Return the time to the first event, without the queue.

        The shared parts are assumed to be cached.
        """
        prefill_tokens = max(0, prompt.prompt_tokens - prompt.shared_tokens)
        wait_s = prefill_tokens / PREFILL_TOKENS_PER_S
        wait_s += (
            ATTENTION_S
            * prefill_tokens
            * (prompt.prompt_tokens - prefill_tokens / 2)
        )
        wait_s += worker.total_running * DECODE_SLOWDOWN_S
        return wait_s + self._get_penalty_s(worker, now)

    def _get_penalty_s(self, worker: fleet.Worker, now: float) -> float:
        penalty_s: float = 0
        if worker.is_absent:
            penalty_s += ABSENT_PENALTY_S
        if now < worker.warming_until and worker.pace.learned is None:
            penalty_s += WARMUP_PENALTY_S
        return penalty_s


def _prefer_unlimited(
    usable: list[fleet.Worker], now: float
) -> list[fleet.Worker]:
    """Return the workers below their learned limit, or all if none is."""
    below = [
        worker for worker in usable if worker.pace.permits(worker.running, now)
    ]
    return below or usable


def rank_by_affinity(
    key: str,
    workers: abc.Iterable[fleet.Worker],
) -> list[fleet.Worker]:
    """Sort workers by rendezvous hash of the key, best first.

    All entries compute the same order.
    """
    return sorted(
        workers,
        key=lambda worker: topology.compute_weight(
            key, worker.registration.name
        ),
        reverse=True,
    )
