"""Organisations with their shares and credentials, and request classes."""

import dataclasses
import enum
import hashlib
from collections import abc


class RequestClass(enum.Enum):
    """Urgency of a request among those of its organisation."""

    urgent = 'urgent'
    standard = 'standard'
    background = 'background'


# Seconds from arrival until a queued request is due. Requests of an
# organisation run in the order of their due times.
DUE_AFTER_S: abc.Mapping[RequestClass, float] = {
    RequestClass.urgent: 0,
    RequestClass.standard: 2.0,
    RequestClass.background: 60.0,
}
# Priorities of requests to engines; lower numbers run first.
ENGINE_PRIORITY: abc.Mapping[RequestClass, int] = {
    RequestClass.urgent: 0,
    RequestClass.standard: 1,
    RequestClass.background: 2,
}
OVER_FAIR_SHARE_PENALTY = 3  # added for organisations over their fair share


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Organisation of callers; ``share`` is its weight in fair queueing."""

    name: str
    token_sha256: str
    share: float = 1.0


def hash_token(token: str) -> str:
    """Return the SHA-256 of a bearer token, as stated in release notes."""
    return hashlib.sha256(token.encode()).hexdigest()


class Directory:
    """Find organisations by their credentials."""

    __slots__ = ('by_hash', 'by_name')

    def __init__(self, organisations: abc.Iterable[Organisation]) -> None:
        self.by_name = {org.name: org for org in organisations}
        self.by_hash = {org.token_sha256: org for org in self.by_name.values()}

    def authenticate(self, authorization: str) -> Organisation | None:
        """Return the organisation of an Authorization header, if any.

        Only the bearer scheme is accepted.
        """
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            return None
        return self.by_hash.get(hash_token(token.strip()))
