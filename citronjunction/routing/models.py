"""Inputs and results of a routing decision."""

import dataclasses

from citronjunction.upstreams import models as upstreams


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """Describe the request to route.

    ``prefixes`` are hashes of the prompt's prefixes, shortest first, and
    ``excluded`` the names of workers that must not get the request.
    """

    upstream: str
    version: str
    prefixes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Report the chosen worker and why it was chosen.

    ``score`` is lowest for the best worker. ``candidates`` are the names of
    all scored workers. ``hit_ratio`` is the fraction of the prompt expected
    in the worker's prefix cache.
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
