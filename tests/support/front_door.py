"""A gateway process with low limits, and what it uses of its host."""

import contextlib
import dataclasses
import fcntl
import pathlib
import socket
import tempfile
import time

from soak import system
from tests.support import crowds, live

MEMORY_MB = 110
DESCRIPTORS = 400
RECEIVE_S = 600  # the crowd stays, however slowly the test runs
START_S = 60
ANSWER_S = 30  # without an answer the process hangs
TRIES = 5
ANSWER_BYTES = 900_000
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 1 << 20,
    'headerTimeoutMs': RECEIVE_S * 1000,
    'idleTimeoutMs': RECEIVE_S * 1000,
}
PROCESS = f'[process]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n'
HTTP = f'[http]\nreceive_s = {RECEIVE_S}\n\n[listeners]'
TARGETS = {
    'data': ('front', '/safe/'),
    'unrouted': ('front', '/none/'),
    'ready': ('readiness', '/api/readyz'),
    'directory': ('directory', '/api/resolve'),
    'faulty': ('front', '/faulty/'),
    'faulty stream': ('front', '/faulty/stream/'),
}


@dataclasses.dataclass
class Usage:
    """What a process has used: peak of resident bytes, open descriptors."""

    peak_bytes: int
    descriptors: int


@contextlib.contextmanager
def alone():
    """Run one such test at a time, also beside other processes of pytest."""
    path = pathlib.Path(tempfile.gettempdir()) / 'citronjunction-crowds.lock'
    with path.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.contextmanager
def start(folder, prepare=lambda world: None):
    """Start a gateway with workers; yield it once it is ready.

    ``prepare`` may change the stand-ins before.
    """
    world = system.System(1, 12, folder)
    for worker in world.workers.values():
        worker.behaviour.padding = ANSWER_BYTES
    world.configure(limits=LIMITS)
    prepare(world)
    door = Door(next(iter(world.entries.values())))
    settings = door.entry.settings
    text = settings.read_text()
    text = text.replace('[process]\n', PROCESS).replace('[listeners]', HTTP)
    settings.write_text(text)
    with live.run_in_thread(world.loop), contextlib.closing(world):
        world.start()
        door.wait_ready()
        yield door


class Door:
    """The listeners of one gateway process."""

    def __init__(self, entry):
        self.entry = entry
        self.most_descriptors = 0

    def get_targets(self, *names):
        """Return the address and path of the named doors."""
        return [
            (self.entry.ports[listener], path)
            for listener, path in (TARGETS[name] for name in names)
        ]

    def is_running(self):
        return self.entry.is_running()

    def wait_ready(self):
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                if self.ask('ready') == 200 and self.ask('data') == 200:
                    return
            time.sleep(0.1)
        raise TimeoutError('the gateway is not ready')

    def ask(self, name, body=b''):
        """Return the status of one request on a new connection."""
        listener, path = TARGETS[name]
        host, _, port = self.entry.ports[listener].partition(':')
        length = f'Content-Length: {len(body)}'
        method = 'POST' if body else 'GET'
        head = crowds.make_head(
            path, method, length, 'Connection: close', name='ordinary'
        )
        with socket.create_connection((host, int(port)), ANSWER_S) as sock:
            sock.sendall(head + body)
            answer = live.read_all(sock)
        return int(answer.split(b' ', 2)[1]) if answer else 0

    def is_served(self, name, body=b''):
        """Return whether one of a few tries of a request is served."""
        for _ in range(TRIES):
            if self.ask(name, body) == 200:
                return True
            time.sleep(0.5)
        return False

    def settle(self, crowd, limit_s=START_S):
        """Wait until the process has read and answered what the crowd sent."""
        until = time.monotonic() + limit_s
        quiet = 0
        previous = None
        while quiet < 5 and time.monotonic() < until and self.is_running():
            crowd.read_some()
            time.sleep(0.1)
            state = self.measure().peak_bytes, self._count_unread()
            quiet = quiet + 1 if state == previous and not state[1] else 0
            previous = state

    def measure(self):
        """Return what the process has used."""
        proc = pathlib.Path(f'/proc/{self.entry.process.pid}')
        lines = (proc / 'status').read_text().splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        count = len(list((proc / 'fd').iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)
        return Usage(int(peak.split()[1]) * 1024, self.most_descriptors)

    def _count_unread(self):
        """Return the bytes that wait in the kernel for the process."""
        ports = {
            int(address.partition(':')[2])
            for address in self.entry.ports.values()
        }
        return sum(
            int(queues.partition(':')[2], 16)
            for local, state, queues in _list_sockets()
            if state == '01' and int(local.partition(':')[2], 16) in ports
        )


def _list_sockets():
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    for line in lines:
        fields = line.split()
        yield fields[1], fields[3], fields[4]
