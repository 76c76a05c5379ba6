"""Duration of a routing decision by the number of workers."""

import random
import time

from citronjunction.conf import models as conf
from citronjunction.routing import models, router
from citronjunction.upstreams import models as upstreams

ROUNDS = 2000
PREFIXES_PER_QUERY = 16
WORKER_COUNTS = (10, 100, 860)


def measure(workers: int, seed: int) -> float:
    """Return the microseconds per decision."""
    rng = random.Random(seed)  # noqa: S311
    fleet = upstreams.Fleet()
    for number in range(workers):
        worker = upstreams.Worker(f'w{number}', '', 'llm', f'z{number % 5}')
        worker.versions = frozenset(('v1',))
        worker.load.running = rng.randrange(12)
        fleet.add(worker)
    product_router = router.Router(conf.Routing(), 'z0', fleet, rng)
    queries = [
        models.Query(
            'llm',
            'v1',
            tuple(rng.getrandbits(62) for _ in range(PREFIXES_PER_QUERY)),
        )
        for _ in range(ROUNDS)
    ]
    product_router.choose(queries[0], 0)
    started_at = time.perf_counter()
    for query in queries:
        product_router.choose(query, 0)
    return round((time.perf_counter() - started_at) / ROUNDS * 1e6, 1)
