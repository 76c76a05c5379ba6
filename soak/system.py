"""Gateway processes, and stand-ins of the platform and its workers."""

import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys

from citronjunction.conf import models as conf
from citronjunction.transport import http_server, runtime
from soak import builds, links
from tests.support import platform_store, platform_system, platform_worker

ZONES = ('z1', 'z2')
SETTINGS_TEMPLATE = """\
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
EXIT_SIGNALS = frozenset((signal.SIGKILL, signal.SIGTERM))
HOST_NUMBERS = itertools.cycle(range(1, 251))
WORKERS = ('app-0', 'app-1', 'app-2', 'llm-3', 'llm-4')
LISTENERS = ('front', 'readiness', 'directory', 'control', 'metrics')


class Entry:
    """A gateway process with its settings, log and link to the store.

    ``code`` is the folder of the build that it runs from its next start.
    """

    def __init__(self, name: str, store_link: links.Link, folder: pathlib.Path):
        """Reserve addresses; settings and the log go to the folder."""
        self.name = name
        self.store_link = store_link
        self.settings = folder.resolve() / f'{name}.ini'
        self.log = folder / f'{name}.log'
        address = choose_loopback_address()
        self.ports = find_free_ports(address)
        self.process: subprocess.Popen | None = None
        self.is_exit_expected = False
        self.code = builds.ROOT

    def start(self) -> None:
        """Start the process and append its output to the log."""
        self.is_exit_expected = False
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                (
                    sys.executable,
                    '-m',
                    'citronjunction.commands.gateway',
                    '--config',
                    str(self.settings),
                ),
                cwd=self.code,
                env={**os.environ, 'PYTHONPATH': str(self.code)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.is_exit_expected |= number in EXIT_SIGNALS
            self.process.send_signal(number)

    def has_exited_unexpectedly(self) -> bool:
        """Return whether the process exited without a signal of the soak."""
        is_gone = self.process is not None and not self.is_running()
        return is_gone and not self.is_exit_expected


class System:
    """All stand-ins on one event loop, and the gateways that use them."""

    def __init__(self, entries: int, serving: int, folder: pathlib.Path):
        """Start the stand-ins and write the entries' settings to the folder.

        At most ``serving`` of the entries serve; the others stand by.
        """
        self.loop = runtime.Runtime()
        self.store = platform_store.PlatformStore(self.loop)
        self.cloud = platform_store.PlatformCloud()
        self.store_address = self._serve(self.store)
        self.cloud_address = self._serve(self.cloud)
        self.workers: dict[str, platform_worker.PlatformWorker] = {}
        self.worker_links: dict[str, links.Link] = {}
        self.removed_workers: list[platform_worker.PlatformWorker] = []
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
        """Start all gateway processes."""
        for entry in self.entries.values():
            entry.start()

    def close(self) -> None:
        """Kill all gateway processes and wait for their exit."""
        for entry in self.entries.values():
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()

    def configure(self, **changes: object) -> None:
        """Change the configuration in the store and increase its version."""
        self.configuration = {**self.configuration, **changes}
        self.configuration['version'] += 1
        self.store.put('config', 'main', self.configuration)

    def add_worker(self, name: str, service: str) -> None:
        """Start a worker stand-in behind a link and register it."""
        worker = platform_worker.PlatformWorker(self.loop, name)
        link = links.Link(self.loop, self._serve(worker))
        self.workers[name] = worker
        self.worker_links[name] = link
        self.register(name, service, 'ready')

    def register(self, name: str, service: str, state: str) -> None:
        """Write a worker's registration with a state to the store."""
        spec = platform_system.make_worker_spec(
            service,
            self.worker_links[name].address,
            state=state,
        )
        self.store.put('servers', name, spec)

    def deregister(self, name: str) -> None:
        """Remove a worker's registration; the worker continues to answer."""
        self.store.remove('servers', name)
        self.removed_workers.append(self.workers.pop(name))

    def list_workers(self) -> list[platform_worker.PlatformWorker]:
        """Return all workers, also those that were deregistered."""
        return [*self.workers.values(), *self.removed_workers]

    def _serve(self, app: object) -> str:
        server = http_server.HttpServer(
            self.loop.sockets,
            self.loop.timers,
            conf.Http(),
            app,
        )
        port = server.listen(links.ADDRESS, 0)
        return f'{links.ADDRESS}:{port}'

    def _write_settings(self, entry: Entry, zone: str, serving: int) -> None:
        first = list(self.entries.values())[:3]
        entry.settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=entry.name,
                zone=zone,
                address=entry.ports['front'].partition(':')[0],
                store=entry.store_link.address,
                cloud=self.cloud_address,
                serving=serving,
                seeds=','.join(seed.ports['control'] for seed in first),
                **entry.ports,
            ),
        )


def choose_loopback_address() -> str:
    """Return a loopback address that no other entry uses.

    Outgoing connections use 127.0.0.1 as their source; on a separate address
    none of them can occupy the port of an entry that is down.
    """
    process, number = divmod(os.getpid(), 250)
    return f'127.{16 + process % 200}.{number + 1}.{next(HOST_NUMBERS)}'


def find_free_ports(address: str) -> dict[str, str]:
    """Return free ports of a loopback address, a different one per listener."""
    with contextlib.ExitStack() as stack:
        bound = {
            kind: stack.enter_context(socket.socket()) for kind in LISTENERS
        }
        for sock in bound.values():
            sock.bind((address, 0))
        return {
            kind: f'{address}:{sock.getsockname()[1]}'
            for kind, sock in bound.items()
        }
