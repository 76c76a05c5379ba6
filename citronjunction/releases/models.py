"""Changes that a release note declares."""

import dataclasses
from typing import Union

from citronjunction.organisations import models as organisations
from citronjunction.upstreams import models as upstreams


@dataclasses.dataclass(slots=True, frozen=True)
class AddUpstream:
    """Start serving an upstream; the deadline is in epoch seconds."""

    spec: upstreams.UpstreamSpec
    deadline_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeUpstream:
    """Change the named ``keys`` of an upstream."""

    spec: upstreams.UpstreamSpec
    deadline_at: float
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class WithdrawUpstream:
    """Stop serving an upstream."""

    name: str
    deadline_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AddVersion:
    """Move the traffic of an upstream to a version."""

    upstream: str
    version: str
    deadline_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class WithdrawVersion:
    """Roll back a version, or unload an old one."""

    upstream: str
    version: str
    deadline_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AddOrganisation:
    """Start serving an organisation."""

    organisation: organisations.Organisation
    deadline_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeOrganisation:
    """Change the named ``keys`` of an organisation."""

    organisation: organisations.Organisation
    deadline_at: float
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class WithdrawOrganisation:
    """Stop serving an organisation."""

    name: str
    deadline_at: float


Change = Union[
    AddUpstream,
    ChangeUpstream,
    WithdrawUpstream,
    AddVersion,
    WithdrawVersion,
    AddOrganisation,
    ChangeOrganisation,
    WithdrawOrganisation,
]


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseNote:
    """Parsed release note; ``name`` is its unique id."""

    name: str
    changes: tuple[Change, ...]


def get_subject(change: Change) -> str:
    """Return the subject of a change, such as ``version llm v2``."""
    match change:
        case AddUpstream(spec=spec) | ChangeUpstream(spec=spec):
            return f'upstream {spec.name}'
        case WithdrawUpstream(name=name):
            return f'upstream {name}'
        case AddVersion() | WithdrawVersion():
            return f'version {change.upstream} {change.version}'
        case AddOrganisation() | ChangeOrganisation():
            return f'organisation {change.organisation.name}'
        case WithdrawOrganisation(name=name):
            return f'organisation {name}'


def get_action(change: Change) -> str:
    """Return the action of a change: add, change or withdraw."""
    match change:
        case AddUpstream() | AddVersion() | AddOrganisation():
            return 'add'
        case ChangeUpstream() | ChangeOrganisation():
            return 'change'
        case _:
            return 'withdraw'
