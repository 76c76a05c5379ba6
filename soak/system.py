"""Gateways as processes, beside stand-ins of the platform and its workers."""

import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys

from citronjunction.conf import models as conf
from citronjunction.transport import http_server, runtime
from soak import links
from tests.support import platform_store, platform_system, platform_worker

ZONES = ('z1', 'z2')
SETTINGS = """\
[process]
name = {name}
zone = {zone}
address = {address}

[listeners]
front = {front}
readiness = {readiness}
directory = {directory}
control = {control}
metrics = {metrics}

[platform]
object_api = {store}
cloud_api = {cloud}

[membership]
secret = only-for-soak-runs-of-one-machine
seeds = {seeds}
heartbeat_s = 0.5
lost_after_s = 2.5
links = 6
serving = {serving}

[gateway]
watch_s = 5
grace_s = 5

[attempts]
suspect_crashes = 3
"""
ENDING = frozenset((signal.SIGKILL, signal.SIGTERM))
NUMBERS = itertools.cycle(range(1, 251))
WORKERS = ('app-0', 'app-1', 'app-2', 'llm-3', 'llm-4')
LISTENERS = ('front', 'readiness', 'directory', 'control', 'metrics')


class Entry:
    """A gateway process, its settings and its link to the store."""

    def __init__(self, name: str, store: links.Link, folder: pathlib.Path):
        """Take the name, the link and where settings and logs go."""
        self.name = name
        self.store = store
        self.settings = folder / f'{name}.ini'
        self.log = folder / f'{name}.log'
        address = find_address()
        self.ports = {kind: find_port(address) for kind in LISTENERS}
        self.process: subprocess.Popen | None = None
        self.is_ended = False

    def start(self) -> None:
        """Start the process; its output goes to the log."""
        self.is_ended = False
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    'citronjunction.commands.gateway',
                    '--config',
                    str(self.settings),
                ),
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.is_ended |= number in ENDING
            self.process.send_signal(number)

    def has_failed(self) -> bool:
        """Tell whether the process ended by itself."""
        is_gone = self.process is not None and not self.is_running()
        return is_gone and not self.is_ended


class System:
    """All stand-ins on one loop, and the gateways they serve."""

    def __init__(self, entries: int, serving: int, folder: pathlib.Path):
        """Take how many entries there are and how many of them serve."""
        self.loop = runtime.Runtime()
        self.store = platform_store.PlatformStore(self.loop)
        self.cloud = platform_store.PlatformCloud()
        self.store_address = self._serve(self.store)
        self.cloud_address = self._serve(self.cloud)
        self.workers: dict[str, platform_worker.PlatformWorker] = {}
        self.worker_links: dict[str, links.Link] = {}
        self.departed: list[platform_worker.PlatformWorker] = []
        self.configuration = platform_system.make_configuration(
            platform_system.make_route('safe', '/safe/', 'safe', 'app'),
            platform_system.make_route('unsafe', '/unsafe/', 'unsafe', 'app'),
            platform_system.make_route(
                'stream',
                '/stream/',
                'stream',
                'llm',
                resumable=True,
            ),
        )
        self.store.put('config', 'main', self.configuration)
        for name in WORKERS:
            self.add_worker(name, name.partition('-')[0])
        names = [f'entry-{number}' for number in range(entries)]
        self.entries = {
            name: Entry(name, links.Link(self.loop, self.store_address), folder)
            for name in names
        }
        zones = itertools.cycle(ZONES)
        for entry in self.entries.values():
            self._write_settings(entry, next(zones), serving)

    def start(self) -> None:
        """Start all gateways."""
        for entry in self.entries.values():
            entry.start()

    def close(self) -> None:
        """End the processes that were started here."""
        for entry in self.entries.values():
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()

    def configure(self, **changes: object) -> None:
        """Write the next version of the configuration."""
        self.configuration = {**self.configuration, **changes}
        self.configuration['version'] += 1
        self.store.put('config', 'main', self.configuration)

    def add_worker(self, name: str, service: str) -> None:
        """Start a worker behind a link and register it."""
        worker = platform_worker.PlatformWorker(self.loop, name)
        link = links.Link(self.loop, self._serve(worker))
        self.workers[name] = worker
        self.worker_links[name] = link
        self.register(name, service, 'ready')

    def register(self, name: str, service: str, state: str) -> None:
        """Write a worker's entry."""
        spec = platform_system.make_worker_spec(
            service,
            self.worker_links[name].address,
            state=state,
        )
        self.store.put('servers', name, spec)

    def retire(self, name: str) -> None:
        """Remove a worker's entry; it still answers those that come."""
        self.store.remove('servers', name)
        self.departed.append(self.workers.pop(name))

    def list_workers(self) -> list[platform_worker.PlatformWorker]:
        """Return all workers that ever ran."""
        return [*self.workers.values(), *self.departed]

    def _serve(self, app: object) -> str:
        served = http_server.HttpServer(
            self.loop.sockets,
            self.loop.timers,
            conf.Http(),
            app,
        )
        port = served.listen(links.ADDRESS, 0)
        return f'{links.ADDRESS}:{port}'

    def _write_settings(self, entry: Entry, zone: str, serving: int) -> None:
        first = list(self.entries.values())[:3]
        entry.settings.write_text(
            SETTINGS.format(
                name=entry.name,
                zone=zone,
                address=entry.ports['front'].partition(':')[0],
                store=entry.store.address,
                cloud=self.cloud_address,
                serving=serving,
                seeds=','.join(held.ports['control'] for held in first),
                **entry.ports,
            ),
        )


def find_address() -> str:
    """Return a loopback address of its own.

    Outgoing connections come from 127.0.0.1, so that none of them takes a
    port of an entry that is down for a while.
    """
    process, number = divmod(os.getpid(), 250)
    return f'127.{16 + process % 200}.{number + 1}.{next(NUMBERS)}'


def find_port(address: str) -> str:
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return f'{address}:{sock.getsockname()[1]}'
