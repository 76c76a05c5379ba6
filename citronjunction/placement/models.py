"""Offers, hosts, demand and decisions of placement."""

import dataclasses
import enum
from typing import Union


class HostKind(enum.Enum):
    """Whether the cloud may reclaim a host."""

    reclaimable = 'reclaimable'
    on_demand = 'on-demand'


@dataclasses.dataclass(slots=True, frozen=True)
class Offer:
    """Offer of hosts by the cloud; the price is per host and hour."""

    zone: str
    kind: HostKind
    price: float


@dataclasses.dataclass(slots=True, frozen=True)
class AllocatedHost:
    """Host that runs or has been ordered.

    A host on order has no name yet. ``running`` counts its requests.
    """

    name: str
    zone: str
    kind: HostKind
    price: float
    is_leaving: bool = False
    running: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Describe the capacity that an upstream needs.

    ``requests`` is the number of running and queued requests, ``slots`` the
    number that one host runs at once, and ``minimum`` the number of hosts
    that the release note asks for.
    """

    upstream: str
    requests: float
    slots: int
    minimum: int


@dataclasses.dataclass(slots=True, frozen=True)
class StartHost:
    """Start a host of an offer."""

    upstream: str
    zone: str
    kind: HostKind
    price: float
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseHost:
    """Return a host to the cloud once it is idle."""

    upstream: str
    name: str
    reason: str


PlacementDecision = Union[StartHost, ReleaseHost]
