"""Facts that nodes tell each other.

Every fact has a key and a version. Of two facts with one key the higher
version stands, so loss, reordering and duplication do no harm.
"""

import dataclasses
from typing import Annotated, Literal, Union

import pydantic

Version = tuple[int, int]
Text = Annotated[str, pydantic.Field(max_length=256)]
LogValues = Annotated[tuple[float, ...], pydantic.Field(max_length=8)]


@dataclasses.dataclass(slots=True, frozen=True)
class EntryState:
    """Tell where an entry is and what it does.

    ``usage`` is in tokens since the start of the incarnation, ``sent_at``
    in seconds since the epoch, ``queued`` counts waiting requests by upstream,
    ``period_s`` is the time until the next state; 0 is not told.
    """

    name: Text
    incarnation: int
    sequence: int
    address: Text
    peer_address: Text
    zone: Text
    region: Text
    sent_at: float
    is_leaving: bool = False
    revision: int = 0
    running: int = 0
    usage: dict[str, float] = dataclasses.field(default_factory=dict)
    queued: dict[str, int] = dataclasses.field(default_factory=dict)
    cores: float = 1
    period_s: float = 0
    stands_by: bool = False
    kind: Literal['entry'] = 'entry'


@dataclasses.dataclass(slots=True, frozen=True)
class LoadState:
    """Tell what an entry does at workers and what organisations used.

    ``running`` holds by worker its requests, then the unread prompt tokens of
    each urgency. ``used`` holds quota units by organisation and ``offered``
    prompt tokens by upstream, both since the start of the incarnation.
    ``windows`` holds requests begun by usage window and organisation,
    ``outcomes`` the recent answers and failures of workers that failed.
    ``period_s`` is the time until the next report. ``lease_version`` is that
    of the duties' lease if the entry holds it, or empty.
    """

    name: Text
    incarnation: int
    sequence: int
    running: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict,
    )
    used: dict[str, float] = dataclasses.field(default_factory=dict)
    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    windows: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict,
    )
    outcomes: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict,
    )
    lease_version: str = ''
    period_s: float = 0.25
    kind: Literal['load'] = 'load'


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceRow:
    """Hold one test of a version on a route by a worker."""

    route: Text
    metric: Text
    worker: Text
    samples: int
    log_values: LogValues


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceState:
    """Tell what an entry measured of a candidate version."""

    name: Text
    incarnation: int
    sequence: int
    upstream: Text
    version: Text
    release: int
    rows: tuple[EvidenceRow, ...]
    kind: Literal['evidence'] = 'evidence'


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationState:
    """Carry the accepted configuration."""

    revision: int
    document: dict[str, object]
    kind: Literal['configuration'] = 'configuration'


@dataclasses.dataclass(slots=True, frozen=True)
class TrafficState:
    """Carry the status of an upstream, with its split of traffic."""

    upstream: Text
    step: int
    document: dict[str, object]
    kind: Literal['traffic'] = 'traffic'


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingHost:
    """Tell that a host is leaving; times are epoch seconds."""

    host: Text
    noticed_at: float
    leaves_at: float = 0
    kind: Literal['leaving'] = 'leaving'


@dataclasses.dataclass(slots=True, frozen=True)
class WithdrawnVersion:
    """Tell that a version must get no more work in a release."""

    upstream: Text
    version: Text
    release: int
    reason: Text
    kind: Literal['withdrawn'] = 'withdrawn'


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectRequest:
    """Tell under which workers' crashes a request was running."""

    fingerprint: int
    workers: tuple[Text, ...]
    noticed_at: float
    kind: Literal['suspect'] = 'suspect'


Fact = Union[
    EntryState,
    LoadState,
    EvidenceState,
    ConfigurationState,
    TrafficState,
    LeavingHost,
    WithdrawnVersion,
    SuspectRequest,
]

BATCHED = (EntryState, LoadState, EvidenceState)  # sent at intervals


def get_key(fact: Fact) -> str:
    """Return what the fact is about."""
    match fact:
        case EntryState(name=name) | LoadState(name=name):
            return f'{fact.kind}/{name}'
        case EvidenceState(name=name, upstream=upstream):
            return f'evidence/{name}/{upstream}'
        case ConfigurationState():
            return 'configuration'
        case TrafficState(upstream=upstream):
            return f'traffic/{upstream}'
        case LeavingHost(host=host):
            return f'leaving/{host}'
        case WithdrawnVersion(upstream=upstream, version=version):
            return f'withdrawn/{upstream}/{version}'
        case SuspectRequest(fingerprint=fingerprint):
            return f'suspect/{fingerprint}'


def get_version(fact: Fact) -> Version:
    """Return the order of the fact among those with its key."""
    match fact:
        case EntryState() | LoadState() | EvidenceState():
            return fact.incarnation, fact.sequence
        case ConfigurationState(revision=revision):
            return revision, 0
        case TrafficState(step=step):
            return step, 0
        case WithdrawnVersion(release=release):
            return release, 0
        case SuspectRequest(workers=workers):
            return len(workers), sum(name.encode()[-1] for name in workers)
        case _:
            return 1, 0


def is_urgent(fact: Fact) -> bool:
    """Tell whether the fact is sent on without waiting for a batch."""
    return not isinstance(fact, BATCHED)
