"""Choice of the worker for a request by load, prefix affinity and price."""

import itertools
import random
from collections import abc

from citronjunction.conf import models as conf
from citronjunction.routing import models, prefixes, ring
from citronjunction.upstreams import models as upstreams

RING_KEY_BLOCKS = 8  # leading prompt blocks hashed into the ring key
RING_HIT_RATIO = 0.8  # chance that the first ring worker caches these blocks
MAX_RING_WORKERS = 32  # ring workers checked for eligibility per request
# Penalties added to a worker's score; the lowest score wins.
PRICE_WEIGHT = 0.25  # per unit of relative price
ZONE_WEIGHT = 0.02  # for a worker in another data centre
MISS_WEIGHT = 2.5  # for a prompt of which the worker has nothing cached


class Router:
    """Choose a worker for each request.

    ``index`` records where this entry sent each prompt prefix. ``rings``
    caches the hash ring of each upstream with the fleet generation that it
    was built from.
    """

    __slots__ = ('fleet', 'index', 'rng', 'rings', 'settings', 'zone')

    def __init__(
        self,
        settings: conf.Routing,
        zone: str,
        fleet: upstreams.Fleet,
        rng: random.Random,
    ) -> None:
        """Route for an entry in the data centre ``zone``."""
        self.settings = settings
        self.zone = zone
        self.fleet = fleet
        self.rng = rng
        self.index = prefixes.PrefixIndex()
        self.rings: dict[str, tuple[int, ring.Ring]] = {}

    def choose(
        self,
        query: models.Query,
        now: float,
    ) -> models.Choice | models.NoWorker:
        """Return the candidate with the lowest score and record its prefixes.

        Candidates are the worker that last got the prompt's longest known
        prefix, the nearest workers on the hash ring and a random sample, or
        all workers of the upstream if none of these is eligible.
        """
        cached_name, cached_blocks = self.index.find(query.prefixes)
        candidates = self._find_candidates(query, cached_name, now)
        if not candidates:
            return self._describe_no_worker(query)
        hit_ratios = self._estimate_hit_ratios(
            query, candidates, cached_name, cached_blocks
        )
        scored = [
            (
                self._score(worker, query, hit_ratios.get(worker.name, 0)),
                position,
            )
            for position, worker in enumerate(candidates)
        ]
        score, position = min(scored)
        worker = candidates[position]
        if query.prefixes:
            self.index.record(query.prefixes, worker.name)
        is_cached = worker.name == cached_name
        reason = 'prefix' if is_cached else 'load'
        hit_ratio = hit_ratios.get(worker.name, 0)
        names = tuple(candidate.name for candidate in candidates)
        return models.Choice(worker, reason, round(score, 3), names, hit_ratio)

    def _find_candidates(
        self,
        query: models.Query,
        cached_name: str,
        now: float,
    ) -> list[upstreams.Worker]:
        candidates: dict[str, upstreams.Worker] = {}
        cached_worker = self.fleet.by_name.get(cached_name)
        if cached_worker is not None and self._is_eligible(
            cached_worker, query, now
        ):
            candidates[cached_name] = cached_worker
        max_candidates = len(candidates) + self.settings.affinity_candidates
        for worker in self._walk_ring(query):
            if len(candidates) >= max_candidates:
                break
            if self._is_eligible(worker, query, now):
                candidates[worker.name] = worker
        for worker in self._sample_workers(query):
            if self._is_eligible(worker, query, now):
                candidates[worker.name] = worker
        if not candidates:
            candidates = {
                worker.name: worker
                for worker in self.fleet.select(query.upstream)
                if self._is_eligible(worker, query, now)
            }
        return list(candidates.values())

    def _estimate_hit_ratios(
        self,
        query: models.Query,
        candidates: list[upstreams.Worker],
        cached_name: str,
        cached_blocks: int,
    ) -> dict[str, float]:
        """Return the expected cached fraction of the prompt by worker.

        The first ring worker probably has the prefix cached even if this
        entry never sent it there, because all entries use the same ring.
        """
        if not query.prefixes:
            return {}
        block_count = len(query.prefixes)
        names = [
            worker.name for worker in candidates if worker.name != cached_name
        ]
        hit_ratios: dict[str, float] = {}
        if names:
            hit_ratios[names[0]] = (
                RING_HIT_RATIO * min(RING_KEY_BLOCKS, block_count) / block_count
            )
        if cached_name:
            hit_ratios[cached_name] = cached_blocks / block_count
        return hit_ratios

    def _is_eligible(
        self,
        worker: upstreams.Worker,
        query: models.Query,
        now: float,
    ) -> bool:
        if worker.name in query.excluded or worker.upstream != query.upstream:
            return False
        return worker.is_eligible(query.version, now)

    def _walk_ring(
        self,
        query: models.Query,
    ) -> abc.Iterator[upstreams.Worker]:
        if not query.prefixes:
            return
        generation, hash_ring = self.rings.get(query.upstream, (-1, None))
        if hash_ring is None or generation != self.fleet.generation:
            workers = self.fleet.select(query.upstream)
            hash_ring = ring.Ring(worker.name for worker in workers)
            self.rings[query.upstream] = (self.fleet.generation, hash_ring)
        key = query.prefixes[min(RING_KEY_BLOCKS, len(query.prefixes)) - 1]
        for name in itertools.islice(hash_ring.walk(key), MAX_RING_WORKERS):
            yield self.fleet.by_name[name]

    def _sample_workers(self, query: models.Query) -> list[upstreams.Worker]:
        workers = self.fleet.select(query.upstream)
        count = self.settings.random_candidates
        if not query.prefixes:
            count += self.settings.affinity_candidates
        if len(workers) <= count:
            return workers
        return self.rng.sample(workers, count)

    def _score(
        self,
        worker: upstreams.Worker,
        query: models.Query,
        hit_ratio: float,
    ) -> float:
        load = worker.estimate_load()
        score = load + max(0, load - 1) * 4
        score += PRICE_WEIGHT * worker.price * min(1, load + 0.5)
        if worker.zone != self.zone:
            score += ZONE_WEIGHT
        if query.prefixes:
            score += MISS_WEIGHT * (1 - hit_ratio)
        return score

    def _describe_no_worker(self, query: models.Query) -> models.NoWorker:
        workers = self.fleet.select(query.upstream)
        serving = [wk for wk in workers if query.version in wk.versions]
        return models.NoWorker(
            f'no eligible worker of {query.upstream} version {query.version}: '
            f'{len(workers)} known, {len(serving)} serve the version, '
            f'{len(query.excluded)} excluded',
        )
