"""Load balancing: selects the worker for a request, without I/O."""

import dataclasses
import math
import random
from collections import abc

from citronjunction.gateway import fleet, models
from citronjunction.membership import topology
from citronjunction.rooms import estimates

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
DRAWN_WORKERS = 2  # compared where the slots of the preferred ones are taken
# Part of an answer after its first event that a slow spell may delay.
SLOW_REST_S = 0.1
# Makes a worker whose registration vanished the last choice.
ABSENT_PENALTY_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Describe a selected worker and the expected delay of a request there.

    ``wait_s`` is the expected time to the first event, ``queue_s`` the part of
    it that requests of at least the same urgency use, and ``slot_wait_s`` the
    part of that until a slot is free. ``prefill_tokens`` are the prompt tokens
    that the worker must process.
    """

    worker: fleet.Worker
    wait_s: float
    queue_s: float
    prefill_tokens: int
    slot_wait_s: float = 0


class Chooser:
    """Choose workers by expected wait, cached prefixes and data centre."""

    __slots__ = ('fleet', 'random', 'rooms', 'zone')

    def __init__(
        self,
        workers: fleet.Fleet,
        zone: str,
        source: random.Random,
    ) -> None:
        self.fleet = workers
        self.zone = zone
        self.random = source
        self.rooms = estimates.Rooms()

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
        if prompt is None:
            return self._choose_plain(usable, now)
        held_s = self._estimate_held_s(upstream, usable, urgency, now)
        return self._choose_for_prompt(usable, prompt, urgency, held_s, now)

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
        slowdown = worker.slowdown.measure(now)
        return (
            load * slowdown
            + (slowdown - 1) * SLOW_REST_S
            + self._get_penalty_s(worker, now),
            worker.registration.zone != self.zone,
            self.random.random(),
        )

    def _choose_for_prompt(
        self,
        usable: list[fleet.Worker],
        prompt: models.Prompt,
        urgency: int,
        held_s: float,
        now: float,
    ) -> Candidate:
        ranked = rank_by_affinity(prompt.affinity_key, usable)
        cache_miss_s = prompt.shared_tokens / PREFILL_TOKENS_PER_S
        best = None
        best_cost_s = math.inf
        for order, worker in self._narrow(ranked, urgency):
            # Admitted prompts of all urgencies are prefilled side by side.
            prefill_ahead = worker.count_prefill_tokens(
                fleet.URGENCY_GROUPS - 1
            )
            slot_wait_s = _estimate_slot_wait_s(worker, urgency, held_s)
            # Requests that wait for a slot also wait for their prefill.
            wait_s = max(prefill_ahead / PREFILL_TOKENS_PER_S, slot_wait_s)
            wait_s += self._estimate_prefill_s(worker, prompt, now)
            cost_s = wait_s
            if worker.slowdown.factor > 1:
                slowdown = worker.slowdown.measure(now)
                wait_s *= slowdown
                cost_s = wait_s + (slowdown - 1) * SLOW_REST_S
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
            if cost_s < best_cost_s:
                queue_s = (
                    worker.count_prefill_tokens(urgency) / PREFILL_TOKENS_PER_S
                )
                best = Candidate(
                    worker,
                    wait_s,
                    max(queue_s, slot_wait_s),
                    prefill_tokens,
                    slot_wait_s,
                )
                best_cost_s = cost_s
        return best

    def _narrow(
        self, ranked: list[fleet.Worker], urgency: int
    ) -> list[tuple[int, fleet.Worker]]:
        """Return the workers to compare, with their order.

        If the first two have no free slot, some are drawn: peers read the same
        reports, late, and would all send to the same best worker. Those with a
        free slot go first if there is one for each entry.
        """
        for worker in ranked[:2]:
            if not _is_full(worker, urgency):
                return list(enumerate(ranked))
        free = [worker for worker in ranked if not _is_full(worker, urgency)]
        entries = max(1, self.rooms.count_entries())
        drawn_from = free if len(free) >= min(len(ranked), entries) else ranked
        if len(drawn_from) > DRAWN_WORKERS:
            drawn_from = self.random.sample(drawn_from, DRAWN_WORKERS)
        return [
            (order, worker)
            for order, worker in enumerate(ranked)
            if worker in drawn_from
        ]

    def _estimate_held_s(
        self,
        upstream: str,
        usable: list[fleet.Worker],
        urgency: int,
        now: float,
    ) -> float:
        """Return how long slots are held for requests of an urgency.

        More urgent requests that arrive later take a part of the freed slots.
        """
        room = self.rooms.get(upstream)
        held_s = room.times.held.value_s
        if not urgency:
            return held_s
        slots = sum(worker.registration.slots for worker in usable)
        slots /= max(1, self.rooms.count_entries())
        return held_s / (1 - room.measure_urgent_share(urgency, slots, now))

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
        if now < worker.warming_until:
            penalty_s += WARMUP_PENALTY_S
        return penalty_s


def _estimate_slot_wait_s(
    worker: fleet.Worker, urgency: int, held_s: float
) -> float:
    if not worker.has_full_slots:
        return 0
    occupancy = worker.measure_occupancy(urgency)
    return estimates.estimate_slot_wait_s(occupancy, held_s)


def _is_full(worker: fleet.Worker, urgency: int) -> bool:
    if not worker.has_full_slots:
        return False
    return worker.measure_occupancy(urgency).excess > 0


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
