"""Objects, hosts and results of platform calls."""

import dataclasses
from typing import Union

import pydantic


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """Hold an object and the version to give at its next update."""

    kind: str
    name: str
    version: str
    spec: dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """Report that a read or write gave this object."""

    stored_object: StoredObject


@dataclasses.dataclass(slots=True, frozen=True)
class Absent:
    """Report that no such object exists."""


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Report that the object has another version than expected."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotWritten:
    """Report that the store refused the call before any effect."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """Report that the call failed and may have had its effect."""

    reason: str


ReadResult = Union[Stored, Absent, Unknown]
WriteResult = Union[Stored, Conflict, NotWritten, Unknown]


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """Describe a host of the host list; an empty upstream is an entry."""

    name: str
    address: str
    upstream: str
    zone: str
    kind: str = 'reclaimable'
    price: float = 1
    is_leaving: bool = False
    leaves_in_s: float = 0
    peer_address: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Offer:
    """Describe what the cloud sells; the price is per host and hour."""

    zone: str
    kind: str
    price: float


OFFERS = pydantic.TypeAdapter(list[Offer])
HOSTS = pydantic.TypeAdapter(list[Host])
