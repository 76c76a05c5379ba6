"""Starts the binaries of a small deployment and stops them by id."""

import dataclasses
import json
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from urllib import request as url_request

ADDRESS = '127.0.0.1'
SECRET = 'demo-secret-of-the-peer-links'
START_S = 20.0  # longest start of a process
STOP_S = 10.0
POLL_S = 0.05

SETTINGS = """
[process]
name = {name}
region = maroc-nord
zone = {zone}
port = {port}
peer_port = {peer_port}
operator_token = demo-operator
[platform]
object_api = {object_api}
cloud_api = {cloud_api}
host_list = {host_list}
poll_s = 0.5
[membership]
secret = {secret}
drain_s = 5
"""


@dataclasses.dataclass(slots=True)
class Started:
    """Hold a started process and the port that it serves."""

    name: str
    process: subprocess.Popen
    port: int = 0


class Cluster:
    """Hold the processes of a deployment."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Take a folder for settings and logs."""
        self.folder = folder
        self.started: dict[str, Started] = {}
        self.ports: list[int] = []
        self.entries: list[str] = []

    @property
    def cloud_api(self) -> str:
        """Return the address of the cloud stand-in."""
        return f'{ADDRESS}:{self.ports[1]}'

    def start_platform(self) -> None:
        """Start the platform's stand-ins."""
        started = self._start('platform', 'standin', 'platform')
        self.ports = self._read_ports(started)
        started.port = self.ports[0]

    def start_worker(self, kind: str, *arguments: str) -> None:
        """Start a worker; it registers itself."""
        name = arguments[arguments.index('--name') + 1]
        self._start(
            name,
            'standin',
            kind,
            *arguments,
            '--cloud-api',
            self.cloud_api,
        )

    def await_workers(self) -> None:
        """Wait until all workers listen."""
        for started in self.started.values():
            if not started.port:
                started.port = self._read_ports(started)[0]

    def start_entry(
        self,
        name: str,
        zone: str,
        *,
        with_control: bool = True,
    ) -> None:
        """Start an entry and its control process."""
        path = self.folder / f'{name}.ini'
        port, peer_port = find_free_ports(2)
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                port=port,
                peer_port=peer_port,
                secret=SECRET,
                object_api=f'{ADDRESS}:{self.ports[0]}',
                cloud_api=self.cloud_api,
                host_list=f'{ADDRESS}:{self.ports[2]}',
            ),
        )
        host = {
            'name': name,
            'address': f'{ADDRESS}:{port}',
            'upstream': '',
            'zone': zone,
            'peer_address': f'{ADDRESS}:{peer_port}',
        }
        post(self.cloud_api, '/register', host)
        self._start(name, 'entry', '--config', str(path)).port = port
        self.entries.append(f'{ADDRESS}:{port}')
        if with_control:
            control = f'control-{name}'
            started = self._start(control, 'control', '--config', str(path))
            started.port = peer_port

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run citronctl and return what it printed."""
        return subprocess.run(  # noqa: S603
            [sys.executable, '-m', 'citronjunction.commands.citronctl']
            + list(arguments),
            capture_output=True,
            text=True,
            check=False,
            timeout=START_S,
        )

    def get_settings_path(self) -> str:
        """Return the settings of the first entry."""
        return str(self.folder / 'entry-1.ini')

    def kill(self, name: str) -> None:
        """Stop a process at once."""
        self.started.pop(name).process.kill()

    def terminate(self, name: str) -> None:
        """Stop a process gracefully; do not wait for its end."""
        self.started.pop(name).process.send_signal(signal.SIGTERM)

    def close(self) -> None:
        """Stop all processes."""
        for started in self.started.values():
            started.process.kill()
        for started in self.started.values():
            started.process.wait(STOP_S)

    def _start(self, name: str, binary: str, *arguments: str) -> Started:
        module = f'citronjunction.commands.{binary}'
        with open(self.folder / f'{name}.log', 'w', encoding='utf-8') as log:
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        started = Started(name, process)
        self.started[name] = started
        return started

    def _read_ports(self, started: Started) -> list[int]:
        line = started.process.stdout.readline()
        if not line.startswith('READY'):
            raise RuntimeError(f'{started.name} did not start: {line!r}')
        return [int(word) for word in line.split()[1:]]


def find_free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    held = [socket.socket() for _ in range(count)]
    for sock in held:
        sock.bind((ADDRESS, 0))
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def post(
    address: str,
    path: str,
    document: object,
    method: str = 'POST',
) -> None:
    """Send JSON to a stand-in."""
    call = url_request.Request(  # noqa: S310
        f'http://{address}{path}',
        json.dumps(document).encode(),
        {'Content-Type': 'application/json'},
        method=method,
    )
    with url_request.urlopen(call, timeout=START_S) as reply:  # noqa: S310
        reply.read()


def get(address: str, path: str) -> dict[str, object]:
    """Read JSON from a process."""
    url = f'http://{address}{path}'
    with url_request.urlopen(url, timeout=START_S) as reply:  # noqa: S310
        return json.load(reply)


def await_ready(address: str, wanted: dict[str, int]) -> bool:
    """Wait until an entry reports at least these numbers."""
    until = time.monotonic() + START_S
    while time.monotonic() < until:
        try:
            held = get(address, '/readyz')
        except OSError:
            held = {}
        if all(held.get(key, -1) >= low for key, low in wanted.items()):
            return True
        time.sleep(POLL_S)
    return False
