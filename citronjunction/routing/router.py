"""The routing decision."""

import itertools
import random
from collections import abc

from citronjunction.conf import models as conf
from citronjunction.routing import models, prefixes, ring
from citronjunction.upstreams import models as upstreams

RING_DEPTH = 8  # prefix blocks that the ring hashes
RING_HIT = 0.8  # chance that the ring's worker has that prefix
MAX_WALK = 32  # ring positions searched for eligible workers
PRICE_WEIGHT = 0.25  # score per unit of relative price
ZONE_WEIGHT = 0.02  # score of another data centre
MISS_WEIGHT = 2.5  # score of a prompt that is wholly uncached


class Router:
    """Choose a worker for each request."""

    __slots__ = ('fleet', 'index', 'random', 'rings', 'settings', 'zone')

    def __init__(
        self,
        settings: conf.Routing,
        zone: str,
        fleet: upstreams.Fleet,
        source: random.Random,
    ) -> None:
        """Take settings, own data centre, workers and random source."""
        self.settings = settings
        self.zone = zone
        self.fleet = fleet
        self.random = source
        self.index = prefixes.PrefixIndex()
        self.rings: dict[str, tuple[int, ring.Ring]] = {}

    def choose(
        self,
        query: models.Query,
        now: float,
    ) -> models.Choice | models.NoWorker:
        """Choose among a few candidates by load, affinity and price."""
        cached, blocks = self.index.find(query.prefixes)
        candidates = self._gather(query, cached, now)
        if not candidates:
            return self._explain_none(query)
        hits = self._estimate_hits(query, candidates, cached, blocks)
        scored = [
            (self._score(worker, query, hits.get(worker.name, 0)), position)
            for position, worker in enumerate(candidates)
        ]
        score, position = min(scored)
        worker = candidates[position]
        if query.prefixes:
            self.index.record(query.prefixes, worker.name)
        is_cached = worker.name == cached
        reason = 'prefix' if is_cached else 'load'
        hit_ratio = hits.get(worker.name, 0)
        names = tuple(candidate.name for candidate in candidates)
        return models.Choice(worker, reason, round(score, 3), names, hit_ratio)

    def _gather(
        self,
        query: models.Query,
        cached: str,
        now: float,
    ) -> list[upstreams.Worker]:
        found: dict[str, upstreams.Worker] = {}
        holder = self.fleet.by_name.get(cached)
        if holder is not None and self._accepts(holder, query, now):
            found[cached] = holder
        wanted = len(found) + self.settings.affinity_candidates
        for worker in self._walk_ring(query):
            if len(found) >= wanted:
                break
            if self._accepts(worker, query, now):
                found[worker.name] = worker
        for worker in self._draw(query):
            if self._accepts(worker, query, now):
                found[worker.name] = worker
        if not found:
            found = {
                worker.name: worker
                for worker in self.fleet.select(query.upstream)
                if self._accepts(worker, query, now)
            }
        return list(found.values())

    def _estimate_hits(
        self,
        query: models.Query,
        candidates: list[upstreams.Worker],
        cached: str,
        blocks: int,
    ) -> dict[str, float]:
        """Estimate the cached fraction of the prompt by worker.

        The first worker of the ring gets what other entries send, too.
        """
        if not query.prefixes:
            return {}
        total = len(query.prefixes)
        names = [held.name for held in candidates if held.name != cached]
        hits: dict[str, float] = {}
        if names:
            hits[names[0]] = RING_HIT * min(RING_DEPTH, total) / total
        if cached:
            hits[cached] = blocks / total
        return hits

    def _accepts(
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
        generation, held = self.rings.get(query.upstream, (-1, None))
        if held is None or generation != self.fleet.generation:
            workers = self.fleet.select(query.upstream)
            held = ring.Ring(worker.name for worker in workers)
            self.rings[query.upstream] = (self.fleet.generation, held)
        key = query.prefixes[min(RING_DEPTH, len(query.prefixes)) - 1]
        for name in itertools.islice(held.walk(key), MAX_WALK):
            yield self.fleet.by_name[name]

    def _draw(self, query: models.Query) -> list[upstreams.Worker]:
        workers = self.fleet.select(query.upstream)
        count = self.settings.random_candidates
        if not query.prefixes:
            count += self.settings.affinity_candidates
        if len(workers) <= count:
            return workers
        return self.random.sample(workers, count)

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

    def _explain_none(self, query: models.Query) -> models.NoWorker:
        workers = self.fleet.select(query.upstream)
        serving = [wk for wk in workers if query.version in wk.versions]
        return models.NoWorker(
            f'no eligible worker of {query.upstream} version {query.version}: '
            f'{len(workers)} known, {len(serving)} serve the version, '
            f'{len(query.excluded)} excluded',
        )
