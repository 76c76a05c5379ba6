"""Offers, hosts and decisions of placement; times are seconds."""

import dataclasses
import enum
from typing import Union


class HostKind(enum.Enum):
    """Tell whether the cloud may take a host back."""

    reclaimable = 'reclaimable'
    on_demand = 'on-demand'


@dataclasses.dataclass(slots=True, frozen=True)
class Offer:
    """Describe what the cloud sells; the price is per host and hour."""

    zone: str
    kind: HostKind
    price: float


@dataclasses.dataclass(slots=True, frozen=True)
class AllocatedHost:
    """Describe a host that is held or has been ordered."""

    name: str
    zone: str
    kind: HostKind
    price: float
    is_leaving: bool = False
    running: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Describe what an upstream needs.

    ``requests`` run at once, ``slots`` are those of a host, ``minimum`` is
    the number of hosts that the release note asks for.
    """

    upstream: str
    requests: float
    slots: int
    minimum: int


@dataclasses.dataclass(slots=True, frozen=True)
class StartHost:
    """Order a host."""

    upstream: str
    zone: str
    kind: HostKind
    price: float
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseHost:
    """Give a host back once it is idle."""

    upstream: str
    name: str
    reason: str


PlacementDecision = Union[StartHost, ReleaseHost]
