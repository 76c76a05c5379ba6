"""The gateway's configuration, requests, answers, workers and rollouts."""

import dataclasses
import enum
from collections import abc


SUCCESS_CLASS = 2  # first digit of an HTTP status


class RouteKind(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


class QuotaUnit(enum.Enum):
    """The unit of an organisation's quota."""

    requests = 'requests'
    tokens = 'tokens'


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """An upstream and its weight in the split of a route's traffic."""

    upstream: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Describe how requests under a path prefix of a host are handled.

    ``timeout_s`` limits the time until the answer has ended.
    ``latency_target_s`` is the target latency, which also sets the limit for
    load shedding; 0 disables shedding. Rank 0 is the most urgent.
    ``max_workers`` limits the workers that one request is sent to.
    ``event_gap_s`` is the longest pause between events of a stream that is on
    time, or 0 if none is stated.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    latency_target_s: float
    max_workers: int
    rank: int
    is_public: bool
    can_resume: bool
    is_prompt: bool
    event_gap_s: float = 0

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of the route may run more than once."""
        match self.kind:
            case RouteKind.safe:
                return True
            case RouteKind.unsafe:
                return False
            case RouteKind.stream:
                return self.can_resume


@dataclasses.dataclass(slots=True, frozen=True)
class Scaling:
    """Limits for the number of workers of an upstream per data centre.

    The limits apply to reclaimable and on-demand workers together.
    ``reclaimable_price`` is a fraction of a data centre's price in ``prices``.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    prices: abc.Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """Describe the model engine of an upstream's workers.

    ``cache_tokens`` is the capacity of the KV cache. ``can_move`` means that
    the KV cache of a run can be copied to another worker, which takes
    ``token_copy_s`` a token within a data centre; 0 if unknown.
    """

    slots: int
    cache_tokens: int
    can_move: bool
    can_back_up: bool
    token_copy_s: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ColdStart:
    """What a worker bears while it is cold; a rate of 0 means no bound.

    A worker is cold for ``cold_s`` after its start. ``per_s`` counts the
    requests of all entries.
    """

    cold_s: float
    per_s: float


NO_COLD_START = ColdStart(0, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamPolicy:
    """Describe an upstream; ``max_connections`` is per worker.

    ``cold_start`` is None if it can't be used, until a configuration is
    applied.
    """

    name: str
    health_path: str
    max_connections: int
    scaling: Scaling | None
    engine: Engine | None
    cold_start: ColdStart | None = NO_COLD_START


@dataclasses.dataclass(slots=True, frozen=True)
class Quota:
    """Rate limit of an organisation, in its unit; a rate of 0 means no limit.

    ``plain_cost`` is charged for a request without a prompt if the unit is
    tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit
    plain_cost: float


NO_QUOTA = Quota(0, 0, QuotaUnit.requests, 1)


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Describe a customer; its rank, if any, overrides the route's.

    ``quota`` is None if it can't be used, until a configuration is applied.
    """

    name: str
    rank: int | None
    quota: Quota | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits for the size and the duration of a caller's requests."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration.

    ``keys`` maps the callers' keys to names of organisations.
    """

    version: int
    routes: tuple[Route, ...]
    upstreams: abc.Mapping[str, UpstreamPolicy]
    organisations: abc.Mapping[str, Organisation]
    keys: abc.Mapping[str, str]
    limits: CallerLimits


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, with its length."""

    name: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """Describe the work of a generation.

    Only the request or its session uses the last part.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def total_tokens(self) -> int:
        """Return the number of tokens that a quota counts."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in parts that other requests share."""
        shared = sum(part.tokens for part in self.shared_parts)
        return min(shared, self.prompt_tokens)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests share."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the name of the last shared part, or of the only part."""
        if len(self.parts) > 1:
            return self.parts[-2].name
        return self.parts[0].name if self.parts else ''


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A caller's request; ``deadline_s`` counts from its arrival.

    ``headers`` are sent to the worker unchanged. ``key`` authenticates the
    caller, ``last_event`` is the event id after which a stream resumes.
    ``forwarding_mark`` is the signed mark of a peer that forwarded the request.
    """

    name: str
    host: str
    method: str
    target: str
    path: str
    headers: abc.Mapping[str, str]
    body: bytes
    key: str
    deadline_s: float | None
    prompt: Prompt | None
    last_event: str
    arrived_at: float
    forwarding_mark: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Forwarding:
    """Peer that a request is forwarded to; fields are as in ``Assignment``."""

    address: str
    deadline_s: float
    last_event: str
    connect_s: float
    max_idle_s: float
    mark: str


@dataclasses.dataclass(slots=True, frozen=True)
class Forwarded:
    """Describe the peer that forwarded a request and has charged its cost.

    ``max_workers`` limits the workers that it may still be sent to.
    """

    entry: str
    max_workers: int


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """Destination of an attempt and what it sends besides the request.

    ``priority`` 0 is the most urgent. ``last_event`` is the event id after
    which a stream resumes, ``kv_source`` the copy of its run's KV cache as
    ``ADDRESS/HANDLE``. ``max_idle_s`` limits how long a reused connection may
    have been idle.
    """

    worker: str
    address: str
    deadline_s: float
    organisation: str
    priority: int | None
    last_event: str
    connect_s: float
    max_idle_s: float
    kv_source: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and headers of a worker's answer, decoded as evidence.

    ``is_refused`` means that the worker states that it did not run the
    request, ``is_misdirected`` that another worker has the address now, and
    ``is_authentic`` that the answer comes from a worker. ``length`` is None for
    a body without one. ``fields`` are relayed to the caller. ``is_leaving`` means
    that the worker will end, ``retry_after_s`` is the time for which it asks
    for no further requests. ``is_framed`` is false if only the end of the
    connection ends the body. ``limit_per_s`` is the number of requests a second
    that the worker takes from all entries together, ``max_refusals_per_s`` the
    number of refusals above which it ends; each is None if it states none.
    """

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    length: int | None
    is_refused: bool
    is_misdirected: bool
    is_authentic: bool
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_framed: bool = True
    limit_per_s: float | None = None
    max_refusals_per_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return self.status // 100 == SUCCESS_CLASS


class WorkerState(enum.Enum):
    """Whether a worker accepts new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerRegistration:
    """A worker's registration in the store.

    ``started_at_ms`` tells apart the starts of a worker that keeps its name.
    ``warmup_s`` is the time left in which it is slow after its start.
    """

    name: str
    upstream: str
    address: str
    zone: str
    version: str
    slots: int
    state: WorkerState
    is_reclaimable: bool
    started_at_ms: int
    warmup_s: float

    @property
    def start_key(self) -> str:
        """Return a key of this start of the worker."""
        return f'{self.name}/{self.started_at_ms}'


class RolloutState(enum.Enum):
    """State of a rollout."""

    in_progress = 'in_progress'
    complete = 'complete'
    reverted = 'reverted'


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """A request to move an upstream's traffic to workers of a version.

    ``revision`` is that of the stored object that requested it. ``state`` is
    None until the system has reported one for this target.
    """

    upstream: str
    target: str
    duration_s: float
    revision: int
    state: RolloutState | None
