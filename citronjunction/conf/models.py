"""Settings sections with their keys, units and defaults."""

import dataclasses
from typing import Annotated

import pydantic

Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, pydantic.Field(ge=1, le=1 << 30)]
Address = Annotated[str, pydantic.Field(pattern=r'^[\d.]+:\d+$')]
Cores = Annotated[float, pydantic.Field(gt=0, le=1024)]
Share = Annotated[float, pydantic.Field(gt=0, le=1)]
Ratio = Annotated[float, pydantic.Field(ge=0, le=1000)]
Amount = Annotated[float, pydantic.Field(ge=0, le=1e9)]
Duration = Annotated[float, pydantic.Field(ge=0, le=86400)]
Milliseconds = Annotated[float, pydantic.Field(gt=0, le=86_400_000)]


def describe(text: str, default: object, unit: str = '') -> object:
    """Declare a settings key with the text of ``citronctl settings``."""
    return dataclasses.field(
        default=default,
        metadata={'text': text, 'unit': unit},
    )


@dataclasses.dataclass(slots=True)
class Process:
    """Identity and addresses of the process."""

    name: str = describe('unique name of the process', 'entry-1')
    region: str = describe('region of the host', 'maroc-nord')
    zone: str = describe('data centre of the host', 'casa-voyageurs')
    address: str = describe('IP address to listen on', '127.0.0.1')
    cores: Cores = describe('processor cores of the host', 1.0, 'cores')
    memory_mb: Amount = describe('memory limit; 0: unknown', 0, 'MB')
    descriptors: Amount = describe(
        'limit of file descriptors; 0: the soft limit of the process', 0
    )
    port: Port = describe('TCP port for callers; 0: any free', 8080)
    peer_port: Port = describe('TCP port for peers; 0: any free', 8081)
    operator_token: str = describe(
        'bearer token of operators; empty: no access for operators', ''
    )


@dataclasses.dataclass(slots=True)
class Platform:
    """Addresses of the platform's services."""

    object_api: str = describe('IP:PORT of the Object API', '127.0.0.1:7000')
    cloud_api: str = describe('IP:PORT of the cloud API', '127.0.0.1:7001')
    host_list: str = describe('IP:PORT of the host list', '127.0.0.1:7002')
    timeout_s: Seconds = describe('deadline of one call', 2.0, 's')
    poll_s: Seconds = describe('interval of host list reads', 1.0, 's')


@dataclasses.dataclass(slots=True)
class Http:
    """Limits of the HTTP server for callers."""

    max_head: Bytes = describe('largest request head', 16384, 'bytes')
    max_body: Bytes = describe('largest request body', 4194304, 'bytes')
    max_unsent: Bytes = describe(
        'unsent bytes above which a slow reader is disconnected',
        1048576,
        'bytes',
    )
    max_connections: Count = describe('most open connections of callers', 4096)
    max_bodies: Bytes = describe(
        'bytes of the bodies of all requests in progress', 67108864, 'bytes'
    )
    max_cost: Bytes = describe(
        'memory that connections of callers may take in all', 268435456, 'bytes'
    )
    max_fields: Count = describe('most fields of a request head', 4096)
    max_address_connections: Count = describe(
        'most open connections of one address', 1_000_000
    )
    max_sockets: Count = describe(
        'open sockets of the process above which requests are refused',
        1_000_000,
    )
    idle_s: Seconds = describe(
        'time until an idle connection is closed', 75.0, 's'
    )
    receive_s: Seconds = describe(
        'longest time to receive a request', 20.0, 's'
    )


@dataclasses.dataclass(slots=True)
class Admission:
    """Limits on admitted requests."""

    max_wait_s: Seconds = describe(
        'longest expected time in the queue', 10.0, 's'
    )
    batch_wait_s: Seconds = describe(
        'longest expected time in the queue for the background class',
        120.0,
        's',
    )
    max_queued: Count = describe(
        'most queued requests per entry and upstream', 2000
    )
    default_deadline_s: Seconds = describe(
        'deadline of requests without one', 60.0, 's'
    )
    first_token_s: Seconds = describe(
        'target of the p95 time to the first token', 0.38, 's'
    )


@dataclasses.dataclass(slots=True)
class Routing:
    """Candidates of a routing decision."""

    affinity_candidates: Count = describe(
        'candidates from the hash ring of prefixes', 2
    )
    random_candidates: Count = describe('random candidates', 2)


@dataclasses.dataclass(slots=True)
class Attempts:
    """Attempts, retries and their timeouts."""

    max_attempts: Count = describe('most attempts per request', 4)
    retry_share: Share = describe(
        'retries per request sent (retry budget)', 0.2
    )
    backoff_s: Seconds = describe('delay before the first retry', 0.05, 's')
    max_backoff_s: Seconds = describe('longest delay before a retry', 1.0, 's')
    connect_s: Seconds = describe('timeout of connecting to a worker', 1.0, 's')
    silence_s: Seconds = describe(
        'longest time without a byte from a worker', 20.0, 's'
    )
    suspect_crashes: Count = describe(
        'worker crashes until a request is refused', 2
    )
    suspect_s: Seconds = describe(
        'time for which a suspect request is refused', 600.0, 's'
    )


@dataclasses.dataclass(slots=True)
class Membership:
    """Peer links and the facts sent over them."""

    secret: str = describe('shared secret of all processes for peer links', '')
    seeds: str = describe('IP:PORT of first peers, comma-separated', '')
    links: Count = describe('peer links that a process opens', 2)
    serving: Count = describe(
        'least number of entries that serve callers; in a larger fleet,'
        ' entries that the load does not need are standbys',
        1_000_000,
    )
    heartbeat_s: Seconds = describe('shortest interval of heartbeats', 1.0, 's')
    lost_after_s: Seconds = describe(
        'silence after which a peer counts as lost', 6.0, 's'
    )
    sync_s: Seconds = describe(
        'interval of anti-entropy with a peer', 10.0, 's'
    )
    max_message: Bytes = describe('largest peer message', 1048576, 'bytes')
    watchers: Count = describe(
        'processes per data centre that watch the store', 2
    )
    bytes_per_s: Bytes = describe('limit of periodic facts', 24000, 'bytes/s')
    drain_s: Seconds = describe('longest graceful shutdown', 20.0, 's')


@dataclasses.dataclass(slots=True)
class Control:
    """Leases and timing of the control process."""

    lease_s: Seconds = describe('duration of a lease', 6.0, 's')
    margin_s: Seconds = describe(
        'time before expiry at which the holder stops', 2.0, 's'
    )
    tick_s: Seconds = describe('interval of control steps', 0.5, 's')
    pause_s: Seconds = describe(
        'longest pause of a former lease holder to wait out', 10.0, 's'
    )
    significance: Share = describe(
        'probability of a false alarm in a trial', 0.01
    )


@dataclasses.dataclass(slots=True)
class Listeners:
    """Addresses that a gateway listens on."""

    front: Address = describe('IP:PORT for callers', '127.0.0.1:8080')
    readiness: Address = describe(
        'IP:PORT for readiness probes', '127.0.0.1:8082'
    )
    directory: Address = describe(
        'IP:PORT of the directory of entries', '127.0.0.1:8083'
    )
    control: Address = describe('IP:PORT for peers', '127.0.0.1:8081')
    metrics: Address = describe('IP:PORT for metrics', '127.0.0.1:8084')


@dataclasses.dataclass(slots=True)
class Gateway:
    """Timing of a gateway."""

    keep_addresses_s: Seconds = describe(
        'time for which callers may cache the list of entries',
        2.0,
        's',
    )
    grace_s: Duration = describe('time from a stop signal to a kill', 8.0, 's')
    watch_s: Seconds = describe(
        'longest wait of a store watch request', 5.0, 's'
    )
    seed_s: Seconds = describe(
        'wait for the store at start before copies are requested from peers',
        0.5,
        's',
    )


@dataclasses.dataclass(slots=True)
class Retries:
    """Retry budget of an upstream, shared by all entries."""

    ratio: Ratio = describe('retries per request of the window', 0.2)
    window_s: Seconds = describe('length of the window', 10.0, 's')
    slack: Amount = describe(
        'retries per window in addition to the ratio', 50.0
    )


@dataclasses.dataclass(slots=True)
class Quotas:
    """Measurement of the quotas of organisations."""

    window_s: Seconds = describe('window over which usage is summed', 8.0, 's')


@dataclasses.dataclass(slots=True)
class Pacing:
    """Bound of the requests to a worker whose caches are cold."""

    cold_overrun: Ratio = describe(
        'requests a second to a cold worker, as a ratio of the rate that it'
        ' bears',
        1.0,
    )
    cold_slack: Amount = describe(
        'requests a second in addition to the ratio', 0
    )
    follows_answers: bool = describe(
        'whether late first events of a worker keep requests away from it, and'
        ' limit them after it starts or recovers',
        False,
    )


@dataclasses.dataclass(slots=True)
class Duties:
    """Duties that one entry at a time performs under a lease."""

    usage_window_s: Seconds = describe('length of a usage window', 5.0, 's')
    usage_settle_s: Seconds = describe(
        'time after a usage window until the counts of peers have arrived',
        2.0,
        's',
    )
    usage_late_s: Duration = describe(
        'time after a usage window at which its report is late', 10.0, 's'
    )
    lease_s: Seconds = describe('duration of the lease', 3.0, 's')
    margin_s: Seconds = describe(
        'time before expiry at which the holder stops', 1.0, 's'
    )
    tick_s: Seconds = describe('interval of duty steps', 0.25, 's')


@dataclasses.dataclass(slots=True)
class Evacuations:
    """Evacuations of data centres that operators order in the store."""

    is_followed: bool = describe(
        'whether the platform knows evacuations; the store is asked for them',
        False,
    )
    bound_ms: Milliseconds = describe(
        'time after an order until nothing more is sent to the data centre',
        5000.0,
        'ms',
    )
    zones: str = describe(
        'data centres, comma-separated; empty: any name is one', ''
    )

    @property
    def zone_names(self) -> frozenset[str]:
        """Return the names of the data centres."""
        names = (name.strip() for name in self.zones.split(','))
        return frozenset(filter(None, names))


@dataclasses.dataclass(slots=True)
class Settings:
    """All settings of a process."""

    process: Process = dataclasses.field(default_factory=Process)
    platform: Platform = dataclasses.field(default_factory=Platform)
    http: Http = dataclasses.field(default_factory=Http)
    admission: Admission = dataclasses.field(default_factory=Admission)
    routing: Routing = dataclasses.field(default_factory=Routing)
    attempts: Attempts = dataclasses.field(default_factory=Attempts)
    membership: Membership = dataclasses.field(default_factory=Membership)
    control: Control = dataclasses.field(default_factory=Control)
    listeners: Listeners = dataclasses.field(default_factory=Listeners)
    gateway: Gateway = dataclasses.field(default_factory=Gateway)
    retries: Retries = dataclasses.field(default_factory=Retries)
    quotas: Quotas = dataclasses.field(default_factory=Quotas)
    pacing: Pacing = dataclasses.field(default_factory=Pacing)
    duties: Duties = dataclasses.field(default_factory=Duties)
    evacuations: Evacuations = dataclasses.field(default_factory=Evacuations)


SECRET_KEYS = frozenset(('secret', 'operator_token'))
