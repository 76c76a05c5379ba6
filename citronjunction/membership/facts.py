"""Facts that nodes exchange over peer links.

Every fact has a key and a version. Of two facts with the same key the one
with the higher version is kept, so lost, reordered or duplicated messages do
no harm. Only reports of suspect requests and parts are merged instead.
"""

import dataclasses
from collections import abc
from typing import Annotated, Literal, Optional, Union

import pydantic

MS_PER_S = 1000
KEY_SEPARATOR = '/'
LIMITED_SENDS = 'limited_sends'
LOST_UPSTREAMS = 'lost_upstreams'

Version = tuple[int, int]
Text = Annotated[str, pydantic.Field(max_length=256)]
LogValues = Annotated[tuple[float, ...], pydantic.Field(max_length=8)]


@dataclasses.dataclass(slots=True, frozen=True)
class EntryState:
    """Describe an entry: the heartbeat that it sends to its peers.

    ``usage`` counts tokens since the start of the incarnation by
    organisation and upstream, ``queued`` counts waiting requests by upstream.
    ``sent_at`` is in seconds since the epoch. ``period_s`` is the time until
    the next state, or 0 if the entry doesn't announce it. ``store_era`` is the
    latest era of the store that the entry has seen.
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
    store_era: int = 0
    kind: Literal['entry'] = 'entry'


@dataclasses.dataclass(slots=True, frozen=True)
class LoadState:
    """Report an entry's requests at workers and the use by organisations.

    ``running`` maps a worker to the number of this entry's requests there,
    followed by the prompt tokens that the worker has not processed yet for
    each urgency group. ``used`` counts quota units by organisation and
    ``offered`` prompt tokens by upstream, both since the start of the
    incarnation. ``windows`` counts started requests by usage window and
    organisation. ``outcomes`` maps workers with recent failures to their
    recent answers and failures. ``period_s`` is the longest time until the
    next report. ``lease_version`` is the version of the duties' lease if this
    entry holds it, and empty otherwise.
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
    """State of one statistical test of a version on a route and worker."""

    route: Text
    metric: Text
    worker: Text
    samples: int
    log_values: LogValues


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceState:
    """Report the evidence that an entry has about a candidate version."""

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
    """Announce that a host is leaving; times are in seconds since the epoch."""

    host: Text
    noticed_at: float
    leaves_at: float = 0
    kind: Literal['leaving'] = 'leaving'


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingWorker:
    """Announce that a worker leaves.

    ``started_at_ms`` tells apart the starts of a worker that keeps its name.
    """

    worker: Text
    started_at_ms: int
    noticed_at: float
    kind: Literal['leaving_worker'] = 'leaving_worker'


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerConstraint:
    """Announce a constraint that a worker names for all entries together.

    ``worker_start`` is the key of the worker's start, ``per_s`` None if it does
    not name the constraint any more. ``named_at`` is in seconds since the epoch.
    """

    worker_start: Text
    constraint: Literal['requests', 'refusals']
    per_s: Optional[float]
    named_at: float
    kind: Literal['worker_constraint'] = 'worker_constraint'


@dataclasses.dataclass(slots=True, frozen=True)
class FullWorker:
    """Report that a worker refused a request for want of room.

    ``room`` is the number of requests that it had, ``noticed_at`` is in
    seconds since the epoch.
    """

    worker_start: Text
    room: int
    noticed_at: float
    kind: Literal['full_worker'] = 'full_worker'


@dataclasses.dataclass(slots=True, frozen=True)
class LimitedSends:
    """Report an entry's requests to workers that name a limit.

    ``sends`` counts them since the start of the incarnation by start of the
    worker. ``sent_at`` is in seconds since the epoch.
    """

    name: Text
    incarnation: int
    sequence: int
    sends: dict[str, int]
    sent_at: float
    kind: Literal['limited_sends'] = LIMITED_SENDS


@dataclasses.dataclass(slots=True, frozen=True)
class LostUpstreams:
    """Report the upstreams to which an entry can't connect.

    ``is_cut_off`` means that it reaches no worker of any upstream. ``noticed_at``
    is in seconds since the epoch.
    """

    name: Text
    incarnation: int
    sequence: int
    upstreams: tuple[Text, ...]
    is_cut_off: bool
    noticed_at: float
    kind: Literal['lost_upstreams'] = LOST_UPSTREAMS


@dataclasses.dataclass(slots=True, frozen=True)
class StoredUsage:
    """Announce the counts of a usage window that are stored or sent."""

    window: int
    counts: dict[str, int]
    noticed_at: float
    kind: Literal['stored_usage'] = 'stored_usage'


@dataclasses.dataclass(slots=True, frozen=True)
class WithdrawnVersion:
    """Announce that a version gets no more requests in a release."""

    upstream: Text
    version: Text
    release: int
    reason: Text
    kind: Literal['withdrawn'] = 'withdrawn'


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectRequest:
    """Report the workers that crashed while a request was running there."""

    fingerprint: int
    workers: tuple[Text, ...]
    noticed_at: float
    kind: Literal['suspect'] = 'suspect'


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectPart:
    """Report crashes of workers that ran prompts with a part.

    Each crash is a start of a worker, when the prompt was sent and when its
    connection was lost. ``cleared_at`` is when such a prompt was last answered,
    or 0; only later crashes count. Times are in seconds since the epoch.
    """

    part: int
    crashes: tuple[tuple[Text, float, float], ...]
    cleared_at: float
    kind: Literal['suspect_part'] = 'suspect_part'


Fact = Union[
    EntryState,
    LoadState,
    EvidenceState,
    ConfigurationState,
    TrafficState,
    LeavingHost,
    LeavingWorker,
    WorkerConstraint,
    FullWorker,
    LimitedSends,
    LostUpstreams,
    StoredUsage,
    WithdrawnVersion,
    SuspectRequest,
    SuspectPart,
]

# Sent by the periodic flush.
BATCHED = (EntryState, LoadState, LimitedSends, EvidenceState)


# Fields that identify the subject of a fact, after its kind.
KEY_FIELDS: abc.Mapping[type, tuple[str, ...]] = {
    EntryState: ('name',),
    LoadState: ('name',),
    EvidenceState: ('name', 'upstream'),
    ConfigurationState: (),
    TrafficState: ('upstream',),
    LeavingHost: ('host',),
    LeavingWorker: ('worker', 'started_at_ms'),
    WorkerConstraint: ('worker_start', 'constraint'),
    FullWorker: ('worker_start',),
    LimitedSends: ('name',),
    LostUpstreams: ('name',),
    StoredUsage: ('window',),
    WithdrawnVersion: ('upstream', 'version'),
    SuspectRequest: ('fingerprint',),
    SuspectPart: ('part',),
}


def get_key(fact: Fact) -> str:
    """Return the key of the subject that the fact describes."""
    values = [str(getattr(fact, name)) for name in KEY_FIELDS[type(fact)]]
    return KEY_SEPARATOR.join((fact.kind, *values))


def get_kind(key: str) -> str:
    """Return the kind of the fact with a key."""
    return key.partition(KEY_SEPARATOR)[0]


def get_version(fact: Fact) -> Version:
    """Return the version that orders facts with the same key."""
    match fact:
        case (
            EntryState()
            | LoadState()
            | LimitedSends()
            | LostUpstreams()
            | EvidenceState()
        ):
            return fact.incarnation, fact.sequence
        case (
            ConfigurationState(revision=number)
            | TrafficState(step=number)
            | WithdrawnVersion(release=number)
        ):
            return number, 0
        case WorkerConstraint(named_at=at) | FullWorker(noticed_at=at):
            return int(at * MS_PER_S), 0
        case SuspectRequest(workers=workers):
            # Merging only adds workers. Different sets of one size differ in
            # version unless the sums of the last bytes of the names are equal.
            return len(workers), sum(name.encode()[-1] for name in workers)
        case SuspectPart(crashes=crashes, cleared_at=cleared_at):
            latest = max([cleared_at, *(at for _, _, at in crashes)])
            return int(latest * MS_PER_S), len(crashes)
        case _:
            return 1, 0


def is_urgent(fact: Fact) -> bool:
    """Return whether the fact is forwarded without waiting for a flush."""
    return not isinstance(fact, BATCHED)
