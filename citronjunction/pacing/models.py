"""Bounds of an upstream's workers, and what an entry knows of its peers."""

import dataclasses
import math

# Share of a bound that is divided; the rest is for moments in which entries
# have different views of the fleet.
MARGIN = 0.7
RESERVE_SHARE = 0.125  # of the tokens, which only their owners use


@dataclasses.dataclass(slots=True, frozen=True)
class Bound:
    """Tokens of a worker; each permits one request in a sliding second.

    ``pooled`` of them are divided among the delegates, ``reserved`` are used by
    their owners. A worker that is known to be cold has only ``cold`` of the
    pooled ones, for ``cold_s`` after its start.
    """

    pooled: int
    reserved: int
    cold: int
    cold_s: float


def build_bound(
    per_s: float, cold_s: float, overrun: float, slack: float
) -> Bound:
    """Divide the requests that all entries may send to a worker in a second.

    A bound below one request still permits one, as nothing else could serve.
    """
    tokens = max(1, math.floor(MARGIN * (per_s * overrun + slack)))
    reserved = math.floor(tokens * RESERVE_SHARE)
    pooled = tokens - reserved
    cold = max(1, min(pooled, math.floor(per_s)))
    return Bound(pooled, reserved, cold, cold_s)


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """What an entry knows of its peers, itself included.

    ``known`` are all entries, ``heard`` the live ones, ``delegates`` those that
    serve or have served lately.
    """

    known: frozenset[str]
    heard: frozenset[str]
    delegates: frozenset[str]
