"""Run a demonstration of the whole system and print a summary.

It is started by ``make demo``.
"""

import collections
import contextlib
import json
import pathlib
import sys
import tempfile
import time

from citronjunction.demo import callers
from citronjunction.launch import cluster
from citronjunction.organisations import models as organisations

BEARER_TOKENS = {'oncf': 'demo-token-oncf', 'lin': 'demo-token-lin'}
ZONES = ('casa-voyageurs', 'rabat-agdal')
CALLERS_PER_UPSTREAM = 3
ENGINES = {'atelier-llm': 3, 'salat-llm': 2}
SERVICES = {'magasin-app': 2, 'notice-app': 2}
MOVES_TIMEOUT_S = 30.0

FIRST_NOTE = """
[note]
id = first
[organisation oncf]
token_sha256 = {oncf}
[organisation lin]
token_sha256 = {lin}
[upstream atelier-llm]
kind = engine
checks_fencing = yes
workers = 3
[upstream salat-llm]
kind = engine
checks_fencing = yes
workers = 2
[upstream magasin-app]
kind = service
repeatable = GET *
[upstream notice-app]
kind = service
repeatable = GET *
"""
SECOND_NOTE = """
[note]
id = second
[version atelier-llm v2]
deadline = 14s
[version salat-llm v9]
deadline = 30s
"""


class Demonstration:
    """Run release moves and reclaims under load.

    Check that no request is lost and no stock hold runs twice.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the demonstration; its files go to ``folder``."""
        self.folder = folder
        self.cluster = cluster.Cluster(folder)
        self.stats = callers.CallerStats()
        self.moves: list[dict[str, object]] = []
        self.failures: list[str] = []

    def run(self) -> bool:
        """Run the demonstration and return whether all checks passed."""
        with contextlib.closing(self.cluster):
            self._start_all()
            self._run_scenario()
            return self._print_summary()

    def _start_all(self) -> None:
        echo(
            'starting the stand-ins, three entries and three control processes'
        )
        self.cluster.start_platform()
        for upstream, count in ENGINES.items():
            for number in range(count):
                self._start_worker('engine', upstream, number)
        for upstream, count in SERVICES.items():
            for number in range(count):
                self._start_worker('service', upstream, number)
        for number in range(3):
            zone = ZONES[number % len(ZONES)]
            self.cluster.start_entry(f'entry-{number + 1}', zone)
        self.cluster.wait_for_workers()
        hashes = {
            name: organisations.hash_token(token)
            for name, token in BEARER_TOKENS.items()
        }
        self._apply('first', FIRST_NOTE.format(**hashes))
        minimums = {'ready': True, 'workers': 9, 'entries': 3, 'peers': 2}
        for entry in self.cluster.entries:
            if not cluster.wait_until_ready(entry, minimums):
                raise RuntimeError(f'entry {entry} is not ready')

    def _start_worker(self, kind: str, upstream: str, number: int) -> None:
        self.cluster.start_worker(
            kind,
            '--name',
            f'{upstream}-{number}',
            '--upstream',
            upstream,
            '--zone',
            ZONES[number % len(ZONES)],
        )

    def _run_scenario(self) -> None:
        threads = self._start_callers()
        time.sleep(2)
        self._inject_fault('salat-llm', 'v9')
        echo('release note: atelier-llm to v2 (good), salat-llm to v9 (bad)')
        self._apply('second', SECOND_NOTE)
        time.sleep(4)
        echo('reclaim: atelier-llm-2, magasin-app-1, entry-3; 4 s of notice')
        names = ['atelier-llm-2', 'magasin-app-1']
        notice = {'names': [*names, 'entry-3'], 'leaves_in_s': 4}
        cluster.post(self.cluster.cloud_api, '/reclaim', notice)
        time.sleep(4.5)
        for name in names:
            self.cluster.kill(name)
        self._await_moves()
        self.stats.stop.set()
        for thread in threads:
            thread.join(callers.TIMEOUT_S)

    def _start_callers(self) -> list[callers.Caller]:
        threads = []
        for upstream in (*ENGINES, *SERVICES):
            for number in range(CALLERS_PER_UPSTREAM):
                name = 'oncf' if upstream[0] in 'am' else 'lin'
                threads.append(
                    callers.Caller(
                        self.stats,
                        self.cluster.entries,
                        BEARER_TOKENS[name],
                        upstream,
                        number,
                    ),
                )
        for thread in threads:
            thread.start()
        return threads

    def _inject_fault(self, upstream: str, version: str) -> None:
        fault = {'version': version, 'kind': 'fail'}
        for name, server in self.cluster.processes.items():
            if name.startswith(upstream):
                address = f'{cluster.ADDRESS}:{server.port}'
                cluster.post(address, '/faults', fault)

    def _apply(self, name: str, text: str) -> None:
        path = self.folder / f'{name}.note'
        path.write_text(text)
        settings = self.cluster.get_settings_path()
        proc = self.cluster.run_operator(
            'apply',
            str(path),
            '--config',
            settings,
        )
        echo(f'citronctl apply {name}: {(proc.stdout or proc.stderr).strip()}')

    def _await_moves(self) -> None:
        deadline = time.monotonic() + MOVES_TIMEOUT_S
        while time.monotonic() < deadline:
            result = self.cluster.run_operator(
                'status',
                '--json',
                '--config',
                self.cluster.get_settings_path(),
            )
            self.moves = json.loads(result.stdout or '[]')
            if self.moves and all(move['is_final'] for move in self.moves):
                return
        self.failures.append('some moves did not finish')

    def _print_summary(self) -> bool:
        for move in self.moves:
            echo(f'{move["action"]} {move["subject"]}: {move["state"]}')
            echo(f'    {move["reason"]}')
        repeated, hold_runs = self._count_runs()
        counts = self.stats.counts
        states = collections.Counter(move['state'] for move in self.moves)
        accepted = counts['answered'] + counts['lost'] + counts['unknown']
        echo('')
        echo(f'accepted          {accepted}')
        echo(f'answered          {counts["answered"]}')
        echo(f'refused           {counts["refused as not run"]} (then resent)')
        echo(f'handed over       {counts["handed over"]}')
        echo(f'lost              {counts["lost"] + counts["unknown"]}')
        echo(f'holds run         {hold_runs}')
        echo(f'run twice         {repeated}')
        echo(f'moves done        {states["done"]}')
        echo(f'moves taken back  {states["taken back"]}')
        for problem in (*self.stats.problems[:10], *self.failures):
            echo(f'problem: {problem}')
        lost_count = counts['lost'] + counts['unknown'] + counts['refused']
        return not (lost_count or repeated or self.failures)

    def _count_runs(self) -> tuple[int, int]:
        # Killed workers no longer answer, so their executions are not counted.
        runs: collections.Counter[str] = collections.Counter()
        for name, server in self.cluster.processes.items():
            if name.startswith(tuple(SERVICES)):
                address = f'{cluster.ADDRESS}:{server.port}'
                response = cluster.get(address, '/executions')
                runs.update(run['body'] for run in response['executions'])
        return sum(count > 1 for count in runs.values()), sum(runs.values())


def echo(text: str) -> None:
    """Print a line and flush standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main() -> None:
    """Run the demonstration; exit with 0 if all checks passed, else with 1."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        is_good = Demonstration(pathlib.Path(folder)).run()
    echo(f'took {time.monotonic() - started_at:.0f} s')
    sys.exit(0 if is_good else 1)


if __name__ == '__main__':
    main()
