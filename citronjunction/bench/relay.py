"""Cost of relaying streams, measured on real processes on loopback."""

import contextlib
import dataclasses
import json
import pathlib
import statistics
import tempfile
import time

from citronjunction.bench import processes
from citronjunction.launch import cluster
from citronjunction.organisations import models as organisations
from citronjunction.transport import http_client, runtime
from citronjunction.verdicts import models as verdicts

TOKEN = 'bench-token'  # noqa: S105
UPSTREAM = 'bench-llm'
NOTE = """
[note]
id = bench
[organisation bench]
token_sha256 = {digest}
[upstream bench-llm]
kind = engine
"""
TARGET_REQUESTS_PER_S = 21
BACKGROUND_STREAMS = 280  # together 7,000 tokens/s
BACKGROUND_RAMP_S = 2.0
BACKGROUND_TOKENS = 250
PROBE_STREAMS = 126
PROBE_TOKENS = 30
STEP_S = 0.04
ENGINES = 3  # a single stand-in cannot produce the tokens of the target
SLOTS = 500
MIB = 1048576


@dataclasses.dataclass(slots=True)
class Stream:
    """Measure a stream; times are in monotonic seconds."""

    sent_at: float
    first_at: float = 0
    ended_at: float = 0
    events: int = 0
    is_failed: bool = False

    def on_head(self, head: http_client.Head) -> None:
        """Record whether the status is an error."""
        self.is_failed = head.status != 200

    def on_data(self, chunk: bytes) -> None:
        """Count events and record the time of the first data."""
        if not self.first_at:
            self.first_at = time.monotonic()
        self.events += chunk.count(b'\n\n')

    def on_end(self) -> None:
        """Record the end."""
        self.ended_at = time.monotonic()

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Record a failure."""
        self.is_failed = True
        self.ended_at = time.monotonic()


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """Figures for a number of streams; written as JSON."""

    streams: int
    tokens: int
    tokens_per_s: float
    us_per_token: float
    cpu_share: float
    first_token_p95_ms: float
    direct_first_token_p95_ms: float
    rss_mb: float
    failed: int


class RelayExperiment:
    """Compare streams through an entry with streams direct from its engines."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the deployment with its files in ``folder``."""
        self.cluster = cluster.Cluster(folder)
        self.folder = folder

    def start(self) -> None:
        """Start the platform, the engines and an entry."""
        deployment = self.cluster
        deployment.start_platform()
        for number in range(ENGINES):
            deployment.start_worker(
                'engine',
                '--name',
                f'engine-{number}',
                '--upstream',
                UPSTREAM,
                '--slots',
                str(SLOTS),
                '--step',
                str(STEP_S),
                '--per-job',
                '0',
            )
        deployment.start_entry('entry-1', 'zone-1')
        deployment.wait_for_workers()
        digest = organisations.hash_token(TOKEN)
        note = self.folder / 'bench.note'
        note.write_text(NOTE.format(digest=digest))
        deployment.run_operator(
            'apply',
            str(note),
            '--config',
            deployment.get_settings_path(),
        )
        minimums = {'ready': True, 'workers': ENGINES}
        if not cluster.wait_until_ready(deployment.entries[0], minimums):
            raise RuntimeError('entry-1 is not ready')
        time.sleep(1)

    def close(self) -> None:
        """Stop all processes."""
        self.cluster.close()

    def measure(self, streams: int, tokens: int) -> Point:
        """Measure a number of concurrent streams."""
        entry = self.cluster.processes['entry-1']
        direct = self._run(
            self._list_engines(),
            f'{UPSTREAM}@v1',
            streams,
            tokens,
        )
        before = processes.read_usage(entry.process.pid)
        started_at = time.monotonic()
        relayed = self._run(
            self.cluster.entries,
            UPSTREAM,
            streams,
            tokens,
        )
        spent_s = time.monotonic() - started_at
        after = processes.read_usage(entry.process.pid)
        return build_point(
            relayed,
            (before, after),
            spent_s,
            get_first_token_p95_ms(relayed),
            get_first_token_p95_ms(direct),
        )

    def measure_target(self) -> Point:
        """Measure first tokens at the target load of a node."""
        entry = self.cluster.processes['entry-1']
        plan = [
            (
                BACKGROUND_RAMP_S * number / BACKGROUND_STREAMS,
                BACKGROUND_TOKENS,
            )
            for number in range(BACKGROUND_STREAMS)
        ]
        probes = [
            (BACKGROUND_RAMP_S + number / TARGET_REQUESTS_PER_S, PROBE_TOKENS)
            for number in range(PROBE_STREAMS)
        ]
        engines = self._list_engines()
        model = f'{UPSTREAM}@v1'
        direct = _run_plan(engines, model, plan + probes)[BACKGROUND_STREAMS:]
        before = processes.read_usage(entry.process.pid)
        started_at = time.monotonic()
        relayed = _run_plan(self.cluster.entries, UPSTREAM, plan + probes)
        spent_s = time.monotonic() - started_at
        after = processes.read_usage(entry.process.pid)
        return build_point(
            relayed,
            (before, after),
            spent_s,
            get_first_token_p95_ms(relayed[BACKGROUND_STREAMS:]),
            get_first_token_p95_ms(direct),
        )

    def _list_engines(self) -> list[str]:
        return [
            f'{cluster.ADDRESS}:{server.port}'
            for name, server in self.cluster.processes.items()
            if name.startswith('engine')
        ]

    def _run(
        self,
        addresses: list[str],
        model: str,
        streams: int,
        tokens: int,
    ) -> list[Stream]:
        spread_s = STEP_S * tokens / 4
        plan = [
            (spread_s * number / streams, tokens) for number in range(streams)
        ]
        return _run_plan(addresses, model, plan)


@dataclasses.dataclass(slots=True, frozen=True)
class StreamStarter:
    """Start a stream at its scheduled time."""

    loop: runtime.Runtime
    address: str
    model: str
    tokens: int
    number: int
    streams: list[Stream]

    def start(self) -> None:
        """Send the request and add its stream to ``streams``."""
        document = {
            'model': self.model,
            'prompt': f'stream {self.number}',
            'max_tokens': self.tokens,
            'stream': True,
        }
        call = http_client.Call(
            self.address,
            'POST',
            '/v1/completions',
            {'Authorization': f'Bearer {TOKEN}'},
            json.dumps(document).encode(),
        )
        stream = Stream(time.monotonic())
        self.streams.append(stream)
        self.loop.client.send(call, stream)


def _run_plan(
    addresses: list[str],
    model: str,
    plan: list[tuple[float, int]],
) -> list[Stream]:
    """Run streams planned as (start in seconds, tokens) and return them."""
    loop = runtime.Runtime()
    streams: list[Stream] = []
    for number, (delay_s, tokens) in enumerate(plan):
        address = addresses[number % len(addresses)]
        starter = StreamStarter(loop, address, model, tokens, number, streams)
        loop.timers.call_later(delay_s, starter.start)
    loop.timers.call_every(
        STEP_S,
        lambda: _stop_if_done(loop, streams, len(plan)),
    )
    loop.run()
    return streams


def build_point(
    relayed: list[Stream],
    usage: tuple[processes.Usage, processes.Usage],
    spent_s: float,
    first_p95_ms: float,
    direct_first_p95_ms: float,
) -> Point:
    """Compute the figures of one run."""
    before, after = usage
    count = sum(stream.events for stream in relayed)
    cpu_s = after.cpu_s - before.cpu_s
    return Point(
        len(relayed),
        count,
        round(count / spent_s),
        round(cpu_s / max(1, count) * 1e6, 1),
        round(cpu_s / spent_s, 3),
        first_p95_ms,
        direct_first_p95_ms,
        round(after.rss_bytes / MIB, 1),
        sum(stream.is_failed for stream in relayed),
    )


def _stop_if_done(
    loop: runtime.Runtime,
    streams: list[Stream],
    expected_count: int,
) -> None:
    if len(streams) == expected_count and all(
        stream.ended_at for stream in streams
    ):
        loop.stop_loop()


def get_first_token_p95_ms(streams: list[Stream]) -> float:
    """Return the 95th percentile of the time to the first token in ms."""
    first_token_ms = [
        (stream.first_at - stream.sent_at) * 1000 for stream in streams
    ]
    if len(first_token_ms) == 1:
        return round(first_token_ms[0], 1)
    return round(statistics.quantiles(first_token_ms, n=20)[-1], 1)


def run(*, quick: bool) -> list[Point]:
    """Measure 1, 10, 100, 1,000 streams and, unless quick, the target load."""
    tokens = 20 if quick else 60
    plan = [(count, tokens) for count in (1, 10, 100, 1000)]
    with tempfile.TemporaryDirectory() as folder:
        with contextlib.closing(RelayExperiment(pathlib.Path(folder))) as relay:
            relay.start()
            points = [relay.measure(count, tokens) for count, tokens in plan]
            return points if quick else [*points, relay.measure_target()]
