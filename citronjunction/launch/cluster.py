"""Start the processes of a small deployment and stop them by process id."""

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
TIMEOUT_S = 20.0  # of a process start, a citronctl run or an HTTP call
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05

SETTINGS_TEMPLATE = """
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
class ServerProcess:
    """Describe a process and the port that it serves."""

    name: str
    process: subprocess.Popen
    port: int = 0


class Cluster:
    """Manage the processes of a deployment on loopback.

    ``platform_ports`` are those of the Object API, the cloud API, the host
    list and the weight store.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create an empty deployment; settings and logs go to ``folder``."""
        self.folder = folder
        self.processes: dict[str, ServerProcess] = {}
        self.platform_ports: list[int] = []
        self.entries: list[str] = []

    @property
    def cloud_api(self) -> str:
        """Return the address of the cloud stand-in."""
        return f'{ADDRESS}:{self.platform_ports[1]}'

    def start_platform(self) -> None:
        """Start the stand-ins of the platform."""
        server = self._start('platform', 'standin', 'platform')
        self.platform_ports = self._read_ports(server)
        server.port = self.platform_ports[0]

    def start_worker(self, kind: str, *arguments: str) -> None:
        """Start a worker, which registers itself at the cloud API."""
        name = arguments[arguments.index('--name') + 1]
        self._start(
            name,
            'standin',
            kind,
            *arguments,
            '--cloud-api',
            self.cloud_api,
        )

    def wait_for_workers(self) -> None:
        """Wait until all workers print their ports."""
        for server in self.processes.values():
            if not server.port:
                server.port = self._read_ports(server)[0]

    def start_entry(
        self,
        name: str,
        zone: str,
        *,
        with_control: bool = True,
    ) -> None:
        """Register and start an entry, and optionally its control process."""
        path = self.folder / f'{name}.ini'
        port, peer_port = find_free_ports(2)
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                zone=zone,
                port=port,
                peer_port=peer_port,
                secret=SECRET,
                object_api=f'{ADDRESS}:{self.platform_ports[0]}',
                cloud_api=self.cloud_api,
                host_list=f'{ADDRESS}:{self.platform_ports[2]}',
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
            server = self._start(control, 'control', '--config', str(path))
            server.port = peer_port

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run citronctl and return the completed process with its output."""
        return subprocess.run(  # noqa: S603
            [sys.executable, '-m', 'citronjunction.commands.citronctl']
            + list(arguments),
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_S,
        )

    def get_settings_path(self) -> str:
        """Return the path of the settings file of the first entry."""
        return str(self.folder / 'entry-1.ini')

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process."""
        self.processes.pop(name).process.kill()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process without waiting for its end."""
        self.processes.pop(name).process.send_signal(signal.SIGTERM)

    def close(self) -> None:
        """Kill all processes and wait for their ends."""
        for server in self.processes.values():
            server.process.kill()
        for server in self.processes.values():
            server.process.wait(STOP_TIMEOUT_S)

    def _start(self, name: str, binary: str, *arguments: str) -> ServerProcess:
        module = f'citronjunction.commands.{binary}'
        with open(self.folder / f'{name}.log', 'w', encoding='utf-8') as log:
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        server = ServerProcess(name, process)
        self.processes[name] = server
        return server

    def _read_ports(self, server: ServerProcess) -> list[int]:
        line = server.process.stdout.readline()
        if not line.startswith('READY'):
            raise RuntimeError(f'{server.name} did not start: {line!r}')
        return [int(word) for word in line.split()[1:]]


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free at present; none is reserved."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ADDRESS, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def post(
    address: str,
    path: str,
    document: object,
    method: str = 'POST',
) -> None:
    """Send JSON to a stand-in and wait for the response."""
    call = url_request.Request(  # noqa: S310
        f'http://{address}{path}',
        json.dumps(document).encode(),
        {'Content-Type': 'application/json'},
        method=method,
    )
    with url_request.urlopen(call, timeout=TIMEOUT_S) as reply:  # noqa: S310
        reply.read()


def get(address: str, path: str) -> dict[str, object]:
    """Return JSON from a process."""
    url = f'http://{address}{path}'
    with url_request.urlopen(url, timeout=TIMEOUT_S) as reply:  # noqa: S310
        return json.load(reply)


def wait_until_ready(address: str, minimums: dict[str, int]) -> bool:
    """Wait until an entry reports at least these values on /readyz.

    Return whether it does so within ``TIMEOUT_S``.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            state = get(address, '/readyz')
        except OSError:
            state = {}
        if all(state.get(key, -1) >= low for key, low in minimums.items()):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False
