"""Inputs and results of a routing decision."""

import dataclasses

from citronjunction.upstreams import models as upstreams


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """Describe the request to route.

    ``prefixes`` are hashes of ever longer prompt prefixes.
    """

    upstream: str
    version: str
    prefixes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Name the chosen worker and why it was chosen.

    ``hit`` is the fraction of the prompt expected in the worker's cache.
    """

    worker: upstreams.Worker
    reason: str
    score: float
    candidates: tuple[str, ...]
    hit_ratio: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class NoWorker:
    """Report that no worker is eligible."""

    reason: str
