"""Configuration in force and the requests that it allows."""

import dataclasses
import enum
from collections import abc


SUCCESS_CLASS = 2  # first digit of an HTTP status


class RouteKind(enum.Enum):
    """Tell what of a route may be repeated."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


class QuotaUnit(enum.Enum):
    """Tell what an organisation's quota counts."""

    requests = 'requests'
    tokens = 'tokens'


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """Name an upstream and its weight in a route's split."""

    upstream: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Describe how requests under a path prefix of a host are handled.

    ``timeout_s`` bounds the answer, ``aim_s`` is the target latency;
    rank 0 is the most urgent. ``max_workers`` bounds the workers that one
    request may be sent to.
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

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request of the route may run more than once."""
        match self.kind:
            case RouteKind.safe:
                return True
            case RouteKind.unsafe:
                return False
            case RouteKind.stream:
                return self.can_resume


@dataclasses.dataclass(slots=True, frozen=True)
class Scaling:
    """Bound how many workers of an upstream a data centre may have.

    The bounds hold for reclaimable and on-demand workers together.
    ``reclaimable_price`` is relative to the price of the data centre.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    prices: abc.Mapping[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class Engine:
    """Describe the model engine of an upstream's workers."""

    slots: int
    cache_tokens: int
    can_move: bool
    can_back_up: bool


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamPolicy:
    """Describe an upstream; ``max_connections`` is per worker."""

    name: str
    health_path: str
    max_connections: int
    scaling: Scaling | None
    engine: Engine | None


@dataclasses.dataclass(slots=True, frozen=True)
class Quota:
    """Bound an organisation's use; a rate of 0 means no bound."""

    rate_per_s: float
    burst: float
    unit: QuotaUnit
    plain_cost: float


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Describe a customer; its rank goes before the route's."""

    name: str
    rank: int | None
    quota: Quota


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """Hold one version of the configuration; keys map to organisations."""

    version: int
    routes: tuple[Route, ...]
    upstreams: abc.Mapping[str, UpstreamPolicy]
    organisations: abc.Mapping[str, Organisation]
    keys: abc.Mapping[str, str]
    limits: CallerLimits


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Name a part of a prompt that requests may share."""

    name: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """Describe the work of a generation.

    The last part belongs to the request or its session alone.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def total_tokens(self) -> int:
        """Return the tokens that a quota counts."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other requests share."""
        shared = sum(part.tokens for part in self.parts[:-1])
        return min(shared, self.prompt_tokens)

    @property
    def affinity_key(self) -> str:
        """Return the last part that other requests share."""
        if len(self.parts) > 1:
            return self.parts[-2].name
        return self.parts[0].name if self.parts else ''


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold what a caller asks for; ``deadline_s`` counts from its arrival.

    ``headers`` are those that the worker gets unchanged.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """State what an attempt tells the worker besides the request itself.

    ``priority`` 0 is the most urgent; ``last_event`` is where a stream goes
    on, ``memory`` names the copy of its run's memory.
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
    """Hold the head of a worker's answer as evidence.

    ``is_refused`` means that the worker states it did not run the request,
    ``is_other_worker`` that another worker has the address now. ``length``
    is nothing for a chunked body. ``fields`` are relayed to the caller.
    """

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    length: int | None
    is_refused: bool
    is_misdirected: bool
    is_authentic: bool

    @property
    def is_success(self) -> bool:
        """Tell whether the worker answered with success."""
        return self.status // 100 == SUCCESS_CLASS


class WorkerState(enum.Enum):
    """Tell whether a worker takes new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerEntry:
    """Hold what a worker registered about itself.

    ``born_ms`` tells apart the starts of a worker that keeps its name.
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


class RolloutState(enum.Enum):
    """Tell how far a rollout is."""

    in_progress = 'in_progress'
    complete = 'complete'
    reverted = 'reverted'


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """Ask to move an upstream's traffic to workers of a version.

    ``order`` is the revision at which it was ordered; ``state`` is nothing
    until the system has reported one for this target.
    """

    upstream: str
    target: str
    duration_s: float
    order: int
    state: RolloutState | None
