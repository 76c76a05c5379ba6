"""Cost of relaying streams: real processes on loopback."""

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
FILL_STREAMS = 280  # streams that make 7,000 tokens a second
FILL_S = 2.0
FILL_TOKENS = 250
PROBES = 126
PROBE_TOKENS = 30
STEP_S = 0.04
ENGINES = 3  # one stand-in cannot make the target's tokens
SLOTS = 500
MIB = 1048576


@dataclasses.dataclass(slots=True)
class Stream:
    """Measure one stream; times are monotonic seconds."""

    sent_at: float
    first_at: float = 0
    ended_at: float = 0
    events: int = 0
    is_failed: bool = False

    def on_head(self, head: http_client.Head) -> None:
        """Take the status."""
        self.is_failed = head.status != 200

    def on_data(self, chunk: bytes) -> None:
        """Count events."""
        if not self.first_at:
            self.first_at = time.monotonic()
        self.events += chunk.count(b'\n\n')

    def on_end(self) -> None:
        """Note the end."""
        self.ended_at = time.monotonic()

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Note a failure."""
        self.is_failed = True
        self.ended_at = time.monotonic()


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """Hold the figures at a number of streams."""

    streams: int
    tokens: int
    tokens_per_s: float
    us_per_token: float
    cpu_share: float
    first_token_p95_ms: float
    direct_first_token_p95_ms: float
    rss_mb: float
    failed: int


class Relay:
    """Run streams through an entry and directly to its engine."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start an engine, an entry and the platform."""
        self.cluster = cluster.Cluster(folder)
        self.folder = folder

    def start(self) -> None:
        """Start the processes."""
        held = self.cluster
        held.start_platform()
        for number in range(ENGINES):
            held.start_worker(
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
        held.start_entry('entry-1', 'zone-1')
        held.wait_for_workers()
        digest = organisations.hash_token(TOKEN)
        note = self.folder / 'bench.note'
        note.write_text(NOTE.format(digest=digest))
        held.run_operator(
            'apply',
            str(note),
            '--config',
            held.get_settings_path(),
        )
        wanted = {'ready': True, 'workers': ENGINES}
        if not cluster.wait_until_ready(held.entries[0], wanted):
            raise RuntimeError('the entry is not ready')
        time.sleep(1)

    def close(self) -> None:
        """Stop the processes."""
        self.cluster.close()

    def measure(self, streams: int, tokens: int) -> Point:
        """Measure a number of streams at once."""
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
            get_first_p95(relayed),
            get_first_p95(direct),
        )

    def measure_target(self) -> Point:
        """Measure first tokens at the load that the target gives a node."""
        entry = self.cluster.processes['entry-1']
        plan = [
            (FILL_S * number / FILL_STREAMS, FILL_TOKENS)
            for number in range(FILL_STREAMS)
        ]
        probes = [
            (FILL_S + number / TARGET_REQUESTS_PER_S, PROBE_TOKENS)
            for number in range(PROBES)
        ]
        engines = self._list_engines()
        model = f'{UPSTREAM}@v1'
        direct = _run_plan(engines, model, plan + probes)[FILL_STREAMS:]
        before = processes.read_usage(entry.process.pid)
        started_at = time.monotonic()
        relayed = _run_plan(self.cluster.entries, UPSTREAM, plan + probes)
        spent_s = time.monotonic() - started_at
        after = processes.read_usage(entry.process.pid)
        return build_point(
            relayed,
            (before, after),
            spent_s,
            get_first_p95(relayed[FILL_STREAMS:]),
            get_first_p95(direct),
        )

    def _list_engines(self) -> list[str]:
        return [
            f'{cluster.ADDRESS}:{held.port}'
            for name, held in self.cluster.processes.items()
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
class Starter:
    """Start one stream when it is due."""

    loop: runtime.Runtime
    address: str
    model: str
    tokens: int
    number: int
    started: list[Stream]

    def start(self) -> None:
        """Send the request."""
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
        self.started.append(stream)
        self.loop.client.send(call, stream)


def _run_plan(
    addresses: list[str],
    model: str,
    plan: list[tuple[float, int]],
) -> list[Stream]:
    """Start streams at their times, each with its tokens."""
    loop = runtime.Runtime()
    started: list[Stream] = []
    for number, (delay_s, tokens) in enumerate(plan):
        address = addresses[number % len(addresses)]
        starter = Starter(loop, address, model, tokens, number, started)
        loop.timers.call_later(delay_s, starter.start)
    loop.timers.call_every(
        STEP_S,
        lambda: _stop_if_done(loop, started, len(plan)),
    )
    loop.run()
    return started


def build_point(
    relayed: list[Stream],
    usage: tuple[processes.Usage, processes.Usage],
    spent_s: float,
    first_p95_ms: float,
    direct_first_p95_ms: float,
) -> Point:
    """Work out the figures of one run."""
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
    started: list[Stream],
    wanted: int,
) -> None:
    if len(started) == wanted and all(held.ended_at for held in started):
        loop.stop_loop()


def get_first_p95(streams: list[Stream]) -> float:
    """Return the 95th percentile of the first token, milliseconds."""
    firsts = [(held.first_at - held.sent_at) * 1000 for held in streams]
    if len(firsts) == 1:
        return round(firsts[0], 1)
    return round(statistics.quantiles(firsts, n=20)[-1], 1)


def run(*, quick: bool) -> list[Point]:
    """Measure 1, 10, 100 and 1,000 streams, then the target's load."""
    tokens = 20 if quick else 60
    plan = [(count, tokens) for count in (1, 10, 100, 1000)]
    with tempfile.TemporaryDirectory() as folder:
        with contextlib.closing(Relay(pathlib.Path(folder))) as relay:
            relay.start()
            points = [relay.measure(count, tokens) for count, tokens in plan]
            return points if quick else [*points, relay.measure_target()]
