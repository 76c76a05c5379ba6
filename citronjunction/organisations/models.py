"""Organisations, their shares and credentials, and request classes."""

import dataclasses
import enum
import hashlib
from collections import abc


class RequestClass(enum.Enum):
    """Order requests of one organisation by urgency."""

    urgent = 'urgent'
    standard = 'standard'
    background = 'background'


# Seconds after arrival at which a queued request of the class is due.
DUE_AFTER_S: abc.Mapping[RequestClass, float] = {
    RequestClass.urgent: 0,
    RequestClass.standard: 2.0,
    RequestClass.background: 60.0,
}
ENGINE_PRIORITY: abc.Mapping[RequestClass, int] = {
    RequestClass.urgent: 0,
    RequestClass.standard: 1,
    RequestClass.background: 2,
}
OVER_FAIR_SHARE_PENALTY = 3  # added for an organisation over its even part


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Describe a caller's organisation; ``share`` is a relative weight."""

    name: str
    token_sha256: str
    share: float = 1.0


def hash_token(token: str) -> str:
    """Hash a bearer token as release notes name it."""
    return hashlib.sha256(token.encode()).hexdigest()


class Directory:
    """Find organisations by their credentials."""

    __slots__ = ('by_hash', 'by_name')

    def __init__(self, organisations: abc.Iterable[Organisation]) -> None:
        """Index the organisations."""
        self.by_name = {org.name: org for org in organisations}
        self.by_hash = {org.token_sha256: org for org in self.by_name.values()}

    def authenticate(self, authorization: str) -> Organisation | None:
        """Return the organisation of an Authorization header."""
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            return None
        return self.by_hash.get(hash_token(token.strip()))
