"""Cost of an idle fleet of entries, and the time a revision takes to spread.

The entries are real processes on loopback.
"""

import contextlib
import dataclasses
import pathlib
import tempfile
import time

from citronjunction.bench import processes
from citronjunction.configuration import models as configuration
from citronjunction.launch import cluster
from citronjunction.store import object_api

ZONES = 5
IDLE_PERIOD_S = 4.0
POLL_INTERVAL_S = 0.02
SPREAD_TIMEOUT_S = 30.0
MIB = 1048576
NOTE = """
[note]
id = {name}
[upstream {name}]
kind = engine
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """Cost per node in a fleet of ``nodes``; written as JSON.

    ``rss_mb`` is the largest of all nodes, the other costs and ``links`` are
    means. ``spread_s`` is the time until all nodes have a new revision.
    """

    nodes: int
    cpu_share: float
    rss_mb: float
    bytes_per_s: float
    spread_s: float
    links: float


class Fleet:
    """Start and measure a fleet of entries.

    Only ``membership.watchers`` entries per data centre watch the store; the
    others get configurations from their peers.
    """

    def __init__(self, folder: pathlib.Path, size: int) -> None:
        """Create a fleet of ``size`` entries with its files in ``folder``."""
        self.cluster = cluster.Cluster(folder)
        self.folder = folder
        self.size = size

    def close(self) -> None:
        """Stop all processes."""
        self.cluster.close()

    def start(self) -> None:
        """Start all entries and wait until each lists all of them."""
        self.cluster.start_platform()
        for number in range(self.size):
            self.cluster.start_entry(
                f'entry-{number + 1}',
                f'zone-{number % ZONES}',
                with_control=False,
            )
        self._apply_note('first')
        for entry in self.cluster.entries:
            minimums = {'revision': 1, 'entries': self.size}
            cluster.wait_until_ready(entry, minimums)

    def measure(self) -> Point:
        """Measure an idle fleet, then how long a revision takes to spread."""
        pids = [
            server.process.pid
            for name, server in self.cluster.processes.items()
            if name.startswith('entry')
        ]
        before = [processes.read_usage(pid) for pid in pids]
        peer_bytes_before = [
            self._read_state(entry)['peer_bytes']
            for entry in self.cluster.entries
        ]
        started_at = time.monotonic()
        time.sleep(IDLE_PERIOD_S)
        after = [processes.read_usage(pid) for pid in pids]
        spent_s = time.monotonic() - started_at
        states = [self._read_state(entry) for entry in self.cluster.entries]
        cpu_s = sum(
            late.cpu_s - early.cpu_s
            for early, late in zip(before, after, strict=True)
        )
        peer_bytes = sum(
            state['peer_bytes'] - early
            for state, early in zip(states, peer_bytes_before, strict=True)
        )
        return Point(
            self.size,
            round(cpu_s / spent_s / self.size, 4),
            round(max(usage.rss_bytes for usage in after) / MIB, 1),
            round(peer_bytes / spent_s / self.size),
            self._measure_spread(),
            sum(state['peers'] for state in states) / self.size,
        )

    def _measure_spread(self) -> float:
        api = f'{cluster.ADDRESS}:{self.cluster.platform_ports[0]}'
        path = f'{object_api.PREFIX}/{configuration.KIND}/{configuration.NAME}'
        stored = cluster.get(api, path)
        stored['spec']['revision'] += 1
        started_at = time.monotonic()
        cluster.post(api, path, stored, method='PUT')
        waiting = list(self.cluster.entries)
        while waiting and time.monotonic() - started_at < SPREAD_TIMEOUT_S:
            revision = self._read_state(waiting[-1])['revision']
            if revision >= 2:
                waiting.pop()
            else:
                time.sleep(POLL_INTERVAL_S)
        return round(time.monotonic() - started_at, 2)

    def _read_state(self, entry: str) -> dict[str, float]:
        return cluster.get(entry, '/readyz')

    def _apply_note(self, name: str) -> None:
        path = self.folder / f'{name}.note'
        path.write_text(NOTE.format(name=name))
        self.cluster.run_operator(
            'apply',
            str(path),
            '--config',
            self.cluster.get_settings_path(),
        )


def measure(size: int) -> Point:
    """Start, measure and stop a fleet of entries."""
    with tempfile.TemporaryDirectory() as folder:
        with contextlib.closing(Fleet(pathlib.Path(folder), size)) as fleet:
            fleet.start()
            return fleet.measure()
