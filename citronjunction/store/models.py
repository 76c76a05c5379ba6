"""Objects, hosts and results of platform calls."""

import dataclasses
from typing import Union

import pydantic


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """Object of the Object API; ``version`` is sent with its next update."""

    kind: str
    name: str
    version: str
    spec: dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """Report the object that was read or written."""

    stored_object: StoredObject


@dataclasses.dataclass(slots=True, frozen=True)
class Absent:
    """Report that no such object exists."""


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Report that the version of the object isn't the expected one."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotWritten:
    """Report that a write failed and had no effect."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """Report that a call failed; a write may have taken effect."""

    reason: str


ReadResult = Union[Stored, Absent, Unknown]
WriteResult = Union[Stored, Conflict, NotWritten, Unknown]


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """Host of the host list; it runs an entry if ``upstream`` is empty."""

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
    """Offer of the cloud; the price is per host and hour."""

    zone: str
    kind: str
    price: float


OFFERS = pydantic.TypeAdapter(list[Offer])
HOSTS = pydantic.TypeAdapter(list[Host])
