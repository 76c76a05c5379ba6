"""What callers and workers saw in a run; times are in seconds of the run."""

import dataclasses

OK = 200  # HTTP status
STORE = 'store'  # as the name of the store in disturbances
GONE = 'gone'  # as the entry at an address that no entry has any more
STABLE_S = 3.0  # without disturbance, until bounds apply to an entry


@dataclasses.dataclass(slots=True)
class Request:
    """One attempt of a caller; ``status`` is 0 without an answer.

    ``entry`` got it, ``origin`` is the name of the caller's first attempt,
    ``may_repeat`` means that it may run more than once.
    """

    name: str
    origin: str
    path_prefix: str
    is_stream: bool
    may_repeat: bool
    entry: str
    sent_at: float
    deadline_s: float
    status: int = 0
    is_not_run: bool = False
    is_complete: bool = False
    body: bytes = b''
    signature: str = ''
    ended_at: float | None = None
    organisation: str = 'org'
    tokens: int = 0

    @property
    def is_first_try(self) -> bool:
        """Return whether this is the caller's first attempt."""
        return self.name == self.origin

    @property
    def is_served(self) -> bool:
        """Return whether the caller got a whole, successful answer."""
        return self.status == OK and self.is_complete


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached a worker from an entry."""

    request: str
    worker: str
    entry: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Use:
    """A run of a request as its worker saw it; ``cost`` is in tokens."""

    request: str
    organisation: str
    cost: int
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaChange:
    """A quota that was set; ``limit`` is in tokens in a window."""

    organisation: str
    limit: float
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call of a duty to the cloud, as the cloud got it."""

    subject: tuple[str, ...]
    holder: str
    token: int


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """What a worker named in an answer to an entry."""

    worker: str
    entry: str
    at: float
    limit_per_s: float | None
    is_leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A time in which something holds for entries or workers."""

    names: frozenset[str]
    started_at: float
    ended_at: float

    def binds(self, at: float) -> bool:
        """Return whether bounds that hold after ``STABLE_S`` hold at a time."""
        return self.started_at + STABLE_S <= at < self.ended_at


@dataclasses.dataclass(slots=True)
class History:
    """The record of a run.

    ``disturbances`` are those of entries that excuse them, ``cuts`` the times in
    which entries reached no worker, ``limits`` and ``brittle`` those in which
    workers named a limit or said that they were brittle. ``runs`` are the runs
    of requests by worker, ``falls`` when brittle workers fell over. ``lost_at``
    are the times at which entries ended for good. ``quota_slack`` is a share of
    the limit that may be used beyond it. No process that was informed before
    ``all_ended_at`` still runs. ``drains`` are the workers that said in the store
    that they drain, ``routes`` the prefixes that were added, each with the time.
    ``calls`` are in the order in which the cloud got them.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    runs: list[Arrival] = dataclasses.field(default_factory=list)
    notices: list[Notice] = dataclasses.field(default_factory=list)
    disturbances: list[Span] = dataclasses.field(default_factory=list)
    cuts: list[Span] = dataclasses.field(default_factory=list)
    limits: list[tuple[float, Span]] = dataclasses.field(default_factory=list)
    brittle: list[Span] = dataclasses.field(default_factory=list)
    falls: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    uses: list[Use] = dataclasses.field(default_factory=list)
    quotas: list[QuotaChange] = dataclasses.field(default_factory=list)
    quota_slack: float = 0
    lost_at: dict[str, float] = dataclasses.field(default_factory=dict)
    all_ended_at: list[float] = dataclasses.field(default_factory=list)
    drains: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    routes: dict[str, float] = dataclasses.field(default_factory=dict)
    calls: list[Call] = dataclasses.field(default_factory=list)

    def is_in_touch(self, entry: str, at: float, until: float = 0) -> bool:
        """Return whether an entry was undisturbed up to a time or a span."""
        return not any(
            entry in span.names
            and span.started_at <= max(at, until)
            and at - STABLE_S < span.ended_at
            for span in self.disturbances
        )
