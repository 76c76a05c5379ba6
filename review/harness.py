"""Stand-ins of the platform, of workers and of clients, for the review's scripts.

Standard library only. All addresses are loopback addresses. The store, the cloud
API, the workers and the clients run in one event loop; each gateway is a process
of its own, started with the ``run`` command of ``deploy/system.toml`` and with
settings filled in from ``deploy/node.ini``.
"""

import asyncio
import contextlib
import functools
import itertools
import json
import os
import pathlib
import random
import re
import resource
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, UNUSABLE = 0, 1, 2
DESCRIPTORS = 16384  # of the process with the stand-ins, if it may
BOUNDS = {  # of the sheet of sites/arpc-souk.toml
    'graceS': 8,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 54,
    'quotaWindowS': 8,
    'windowS': 5,
    'usageLateS': 10,
}
STABLE_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
HOST = 'depot.example'
KEY = 'key-one'


class CannotRun(Exception):
    """Raised if the case can't be played on this machine."""


class Request:
    """One request as a stand-in has received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition('?')
        self.target = target
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Return the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, mark, text = line.partition(':')
        if mark:
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, headers, body)


def encode_answer(status, headers, body):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """Serve HTTP/1.1 on a loopback address, one request at a time a connection."""

    def __init__(self, answer, address='127.0.0.1'):
        self.answer = answer
        self.address = address
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.location = f'{self.address}:{port}'
        return self.location

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answered = await self.answer(request)
                if answered is None:
                    break
                writer.write(encode_answer(*answered))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: objects, conditional writes, lists, watches."""

    PAGE = 500  # entries of a page

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 10
        self.changed = asyncio.Condition()
        self.raw = {}  # JSON text that stands for a string in the answers
        self.link_bytes_per_s = None  # of a machine's link, for lists
        self.is_down = False

    async def start(self):
        self.server = Server(self._answer)
        return await self.server.start()

    async def put(self, kind, name, spec):
        """Write as the operator or a worker does; return the time of the answer."""
        self._store(kind, name, spec, None)
        await self._tell()
        return time.monotonic()

    async def remove(self, kind, name):
        removed = self.objects.pop((kind, name), None)
        if removed:
            self.revision += 1
            self.history.append((self.revision, kind, removed, True))
            await self._tell()
        return time.monotonic()

    async def _tell(self):
        async with self.changed:
            self.changed.notify_all()

    def _store(self, kind, name, spec, status):
        known = self.objects.get((kind, name))
        if known and status is None and known['spec'] == spec:
            return known
        self.revision += 1
        meta = {'name': name, 'rev': self.revision, 'createdRev': self.revision}
        if known:
            meta['createdRev'] = known['meta']['createdRev']
            spec = known['spec'] if spec is None else spec
            status = known['status'] if status is None else status
        stored = {'meta': meta, 'spec': spec, 'status': status or {}}
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, False))
        return stored

    def go_down(self):
        """Reset all connections, and each call until ``is_down`` is unset."""
        self.is_down = True
        for writer in tuple(self.server.writers):
            writer.transport.abort()

    async def _answer(self, request):
        if self.is_down:
            raise ConnectionResetError
        await asyncio.sleep(0.004)  # the sheet's time of an answer
        parts = request.path.removeprefix('/api/objects/').split('/')
        kind = urllib.parse.unquote(parts[0])
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ''
        if request.method == 'GET' and 'watch' in request.query:
            return await self._watch(kind, request.query)
        if request.method == 'GET' and name:
            stored = self.objects.get((kind, name))
            return self._reply(200 if stored else 404, stored or {})
        if request.method == 'GET':
            return await self._list(kind, request)
        return await self._write(kind, name, request, parts[2:] == ['status'])

    async def _list(self, kind, request):
        after = request.query.get('after', '')
        found = sorted(
            (name, stored)
            for (of, name), stored in self.objects.items()
            if of == kind and name > after
        )
        page = [stored for _, stored in found[: self.PAGE]]
        more = len(found) > self.PAGE
        reply = self._reply(
            200, {'entries': page, 'hasMore': more, 'asOf': self.revision}
        )
        if self.link_bytes_per_s:
            await asyncio.sleep(len(reply[2]) / self.link_bytes_per_s)
        return reply

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            events = [
                {'object': stored, 'tombstone': gone}
                for revision, of, stored, gone in self.history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return self._reply(
                    200, {'events': events, 'asOf': self.revision}
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()

    async def _write(self, kind, name, request, is_status):
        document = json.loads(request.body or b'{}')
        name = name or document['meta']['name']
        known = self.objects.get((kind, name))
        wanted = document.get('meta', {}).get('rev')
        if request.method == 'POST' and known:
            return self._reply(409, known)
        if request.method != 'POST' and not known:
            return self._reply(404, {})
        if wanted is not None and known and known['meta']['rev'] != wanted:
            return self._reply(409, known)
        if is_status:
            stored = self._store(kind, name, None, document.get('status') or {})
        else:
            stored = self._store(kind, name, document.get('spec') or {}, None)
        await self._tell()
        return self._reply(200, stored)

    def _reply(self, status, document):
        headers = {'Content-Type': 'application/json', 'Store-Era': '1'}
        text = json.dumps(document)
        for name, raw in self.raw.items():
            text = text.replace(json.dumps(name), raw)
        return status, headers, text.encode()


class Cloud:
    """The platform's API for duties: accepts each call and keeps it."""

    def __init__(self):
        self.calls = []

    async def start(self):
        self.server = Server(self._answer)
        return await self.server.start()

    async def _answer(self, request):
        self.calls.append(
            (
                time.monotonic(),
                request.path,
                request.headers.get('holder'),
                request.headers.get('fencing-token'),
                request.body.decode(),
            )
        )
        return 200, {'Content-Type': 'application/json'}, b'{}'


class Worker:
    """A worker of a plain service; ``runs`` holds the requests that it began."""

    def __init__(self, name, service, zone, make_body, work_s=0.03):
        self.name = name
        self.service = service
        self.zone = zone
        self.make_body = make_body
        self.work_s = work_s
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.runs = []
        self.sequence = 0

    async def start(self):
        self.server = Server(self._answer)
        self.location = await self.server.start()

    def describe(self):
        self.sequence += 1
        return {
            'service': self.service,
            'addr': self.location,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': self.born,
        }

    async def _answer(self, request):
        headers = {'Load': f'{len(self.runs) % 3},0,6'}
        attempt = request.headers.get('attempt-id', '')
        if attempt:
            headers['Attempt-Id'] = attempt
        if self.state == 'draining':
            headers['Connection'] = 'close'
            headers['Server-Leaving'] = '1'
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            return 421, {**headers, 'Not-Executed': '1'}, b''
        self.runs.append((time.monotonic(), attempt, request.path))
        await asyncio.sleep(self.work_s)
        headers['Signature'] = f'{self.name}.{attempt}'
        return 200, headers, self.make_body(request)


def is_free(address, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True


def choose_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def look_up(fields, path):
    found = fields
    for part in path.split('.'):
        found = found[int(part)] if isinstance(found, list) else found[part]
    return ','.join(map(str, found)) if isinstance(found, list) else str(found)


class Gateway:
    """A machine that runs the gateway's process, and starts it again."""

    numbers = itertools.count(1)

    def __init__(self, system, zone):
        self.system = system
        number = next(self.numbers)
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        while True:
            self.address = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.{number}'
            if is_free(self.address, 7601):
                break
        self.ports = {
            kind: f'{self.address}:{choose_port(self.address)}'
            for kind in ('front', 'readiness', 'control', 'directory')
        }
        self.settings = system.folder / f'{self.name}.ini'
        self.process = None
        self.ends = []  # (time, exit code) of each process

    def write_settings(self, seeds):
        template = (ROOT / 'deploy' / 'node.ini').read_text()
        fields = {
            'node': self.name,
            'region': 'maroc-nord',
            'zone': self.zone,
            'ip': self.address,
            'limits': {'cpuShare': 0.537},
            'listen': self.ports,
            'platform': {'addr': self.system.store_at},
            'cloud': {'addr': self.system.cloud_at},
            'seeds': seeds,
            'bounds': BOUNDS,
        }
        text = re.sub(
            r'\{\{([\w.]+)\}\}', lambda m: look_up(fields, m[1]), template
        )
        written = self.settings.with_suffix('.new')
        written.write_text(text)
        written.rename(self.settings)

    async def start(self, descriptors=None):
        role = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(role['roles']['gateway']['run'])
        kept = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        log = (self.system.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=descriptors
            and functools.partial(
                resource.setrlimit,
                resource.RLIMIT_NOFILE,
                (descriptors, descriptors),
            ),
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CITRONJUNCTION_NODE_FILE': str(self.settings),
            },
        )
        log.close()
        self.started_at = time.monotonic()
        asyncio.create_task(self._wait(self.process))

    async def _wait(self, process):
        code = await process.wait()
        self.ends.append((time.monotonic(), code))

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await ask(
                self.ports['readiness'], 'GET', '/api/readyz', {}, limit_s=1
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready after {limit_s} s')


class Answer:
    """What a client has got: ``is_whole`` if the framing says that it is complete."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.ended_at = None
        self.end = ''


async def ask(
    location,
    method,
    path,
    headers,
    body=b'',
    limit_s=15.0,
    bytes_per_s=None,
    segment=None,
    receive_buffer=None,
):
    """Send one request on a new connection and read its answer.

    A client on a slow line reads ``bytes_per_s``, with small packets.
    """
    host, _, port = location.rpartition(':')
    sock = socket.socket()
    sock.setblocking(False)
    if segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    loop = asyncio.get_running_loop()
    answer = Answer()
    try:
        async with asyncio.timeout(limit_s):
            await loop.sock_connect(sock, (host, int(port)))
            lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            await loop.sock_sendall(
                sock, '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
            )
            await _read_answer(loop, sock, answer, bytes_per_s)
    finally:
        answer.ended_at = time.monotonic()
        sock.close()
    return answer


async def _read_answer(loop, sock, answer, bytes_per_s):
    received = b''
    while b'\r\n\r\n' not in received:
        chunk = await loop.sock_recv(sock, 4096)
        if not chunk:
            raise EOFError('the connection ended without an answer')
        received += chunk
    head, _, rest = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        name, _, text = line.partition(':')
        answer.headers[name.strip().lower()] = text.strip()
    length = int(answer.headers.get('content-length', -1))
    collected = bytearray(rest)
    step = max(1, int((bytes_per_s or 0) / 20))
    while length < 0 or len(collected) < length:
        if bytes_per_s:
            await asyncio.sleep(0.05)
        try:
            chunk = await loop.sock_recv(sock, step if bytes_per_s else 65536)
        except ConnectionError as error:
            answer.end = type(error).__name__
            break
        if not chunk:
            answer.end = 'closed'
            break
        collected += chunk
    answer.body = bytes(collected)
    answer.is_whole = length >= 0 and len(collected) == length


class System:
    """A small deployment with its stand-ins, and the record of a run."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='citron-review-'))
        self.record_file = (pathlib.Path(case) / 'record.txt').open('w')
        self.began_at = time.monotonic()
        self.gateways = []
        self.workers = []
        self.version = 100
        self.routes = []

    def record(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.record_file.write(f'{at - self.began_at:9.3f} {text}\n')
        self.record_file.flush()

    async def start(self, zones, services, descriptors=None):
        """Start the platform, then a gateway in each zone once workers are there.

        A gateway may have so many ``descriptors``; None leaves the limit as it is.
        """
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('run the build command of deploy/system.toml first')
        self.store = Store()
        self.cloud = Cloud()
        self.store_at = await self.store.start()
        self.cloud_at = await self.cloud.start()
        self.services = services
        for worker in self.workers:
            await worker.start()
            await self.store.put('servers', worker.name, worker.describe())
        await self.configure()
        self.gateways = [Gateway(self, zone) for zone in zones]
        seeds = [gateway.ports['control'] for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            await gateway.start(descriptors)
        for gateway in self.gateways:
            await gateway.wait_ready()
            self.record(f'{gateway.name} is ready at {gateway.ports["front"]}')

    async def configure(self):
        """Write the next version of the configuration; return the answer's time."""
        self.version += 3
        return await self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': self.routes,
                'services': [
                    {'name': name, 'healthPath': '/healthz', 'maxConns': 100}
                    for name in self.services
                ],
                'limits': LIMITS,
                'tenants': [{'name': 'depot', 'apiKeys': [KEY]}],
            },
        )

    def add_route(self, prefix, kind, service, **options):
        self.routes.append(
            {
                'name': prefix.strip('/'),
                'host': HOST,
                'pathPrefix': prefix,
                'type': kind,
                'service': service,
                'timeoutMs': 15000,
                'targetLatencyMs': 200,
                'attempts': 1 if kind == 'unsafe' else 2,
                'priority': 1,
                'public': False,
                **options,
            }
        )

    async def close(self):
        for gateway in self.gateways:
            if gateway.is_running:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                await gateway.process.wait()
        self.record_file.close()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs in {self.folder}', file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_headers(attempt, deadline_ms=15000):
    return {
        'Attempt-Id': attempt,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
    }


def run(case, play):
    """Play a case: ``play(system, is_troubled)`` returns what was broken, if anything."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    # Processes inherit an ignored signal, as under nohup.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    # The stand-ins of a case with many workers or users need many sockets.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = (
        DESCRIPTORS
        if most == resource.RLIM_INFINITY
        else min(most, DESCRIPTORS)
    )
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))

    async def whole():
        system = System(case)
        try:
            async with asyncio.timeout(110):
                broken = await play(system, is_troubled)
            for line in broken:
                system.record(f'BROKEN {line}')
                print(f'BROKEN {line}')
            system.record('the rule was broken' if broken else 'the rule held')
            print('the rule was broken' if broken else 'the rule held')
            return BROKEN if broken else HELD
        except (CannotRun, OSError, TimeoutError) as error:
            system.record(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return UNUSABLE
        finally:
            await system.close()

    sys.exit(asyncio.run(whole()))
