"""Stand-ins of the platform and its workers, and real gateways beside them.

Python's standard library only. All addresses are loopback addresses.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = 'parts.example'
KEY = 'key-of-org'
TENANT = 'org'
ZONES = {'casa-voyageurs': 'maroc-nord', 'rabat-agdal': 'maroc-nord'}
# The bounds of the small deployments on the users' pages.
BOUNDS = {
    'stableMs': 3000,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 54,
    'quotaWindowS': 8,
    'leaseMs': 3000,
    'thawMs': 300,
    'windowS': 5,
    'usageLateS': 10,
}
METRICS_PORT = 7601
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


def is_troubled():
    """Return whether the run includes the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')
        self.started_at = time.monotonic()

    def write(self, *words):
        """Write a line with the seconds since the start."""
        passed_s = time.monotonic() - self.started_at
        text = ' '.join(str(word) for word in words)
        self.file.write(f'{passed_s:8.3f} {text}\n')
        self.file.flush()


@dataclasses.dataclass
class Request:
    """One HTTP request as it was received; names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """Return the fields of the query."""
        return dict(parse.parse_qsl(self.target.partition('?')[2]))


async def read_head(reader):
    """Return the first line and the headers, or None at the end of input."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    pairs = (line.partition(':')[::2] for line in lines)
    return first, {name.strip().lower(): text.strip() for name, text in pairs}


async def read_body(reader, headers):
    """Return a body with a length or in chunks; raise if it is cut short."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode_answer(status, headers, body):
    """Encode a whole answer."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '\r\n')).encode('latin-1') + body


class Server:
    """Serve HTTP with ``answer(request, writer)``, one request at a time.

    ``answer`` returns a status, headers and a body, or None if it has written
    its answer itself.
    """

    def __init__(self, answer):
        self.answer = answer
        self.address = ''

    async def start(self, host='127.0.0.1'):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        name = self.server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'
        return self

    async def _serve(self, reader, writer):
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ')
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                answered = await self.answer(request, writer)
                if answered is not None:
                    writer.write(encode_answer(*answered))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store: objects, conditional writes, watches."""

    prefix = '/api/objects/'

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()

    def put(self, kind, name, spec, status=None):
        """Write an object, as the operator or a worker does."""
        self.revision += 1
        known = self.objects.get((kind, name), {})
        stored = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'createdRev': known.get('meta', {}).get(
                    'createdRev', self.revision
                ),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': known.get('status', {}) if status is None else status,
        }
        self.objects[(kind, name)] = stored
        self._note(kind, stored, is_removed=False)
        return stored

    def remove(self, kind, name):
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._note(kind, stored, is_removed=True)

    def _note(self, kind, stored, *, is_removed):
        event = {'object': stored, 'tombstone': is_removed}
        self.history.append((self.revision, kind, event))
        asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, request, writer):
        """Answer a call."""
        kind, _, rest = request.path.removeprefix(self.prefix).partition('/')
        name = parse.unquote(rest.removesuffix('/status'))
        if request.method == 'GET' and 'watch' in request.query:
            return await self._watch(kind, request.query)
        if request.method == 'GET':
            return self._read(kind, name, request.query)
        return self._write(request, kind, name)

    def _respond(self, status, document):
        headers = {'Content-Type': 'application/json', 'Store-Era': '1'}
        return status, headers, json.dumps(document).encode()

    def _read(self, kind, name, query):
        if name:
            stored = self.objects.get((kind, name))
            return self._respond(200 if stored else 404, stored or {})
        listed = sorted(
            known
            for known_kind, known in self.objects
            if known_kind == kind and known > query.get('after', '')
        )
        page = listed[:500]
        entries = [self.objects[(kind, known)] for known in page]
        document = {
            'entries': entries,
            'hasMore': len(listed) > len(page),
            'asOf': self.revision,
        }
        return self._respond(200, document)

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            events = [
                event
                for revision, known_kind, event in self.history
                if known_kind == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                document = {'events': events, 'asOf': self.revision}
                return self._respond(200, document)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    continue

    def _write(self, request, kind, name):
        document = json.loads(request.body or b'{}')
        meta = document.get('meta', {})
        name = name or meta['name']
        known = self.objects.get((kind, name))
        if request.method == 'POST':
            is_conflict = known is not None
        else:
            expected = meta.get('rev') or request.query.get('rev')
            if known is None:
                return self._respond(404, {})
            is_conflict = expected and int(expected) != known['meta']['rev']
        if is_conflict:
            return self._respond(409, known)
        if request.method == 'DELETE':
            self.remove(kind, name)
            return self._respond(200, known)
        if request.path.endswith('/status'):
            stored = self.put(kind, name, known['spec'], document['status'])
        else:
            stored = self.put(kind, name, document['spec'])
        return self._respond(200, stored)


class Cloud:
    """The platform's calls for duties; it doesn't check the fence."""

    def __init__(self, record):
        self.record = record
        self.calls = []
        self.on_call = None

    async def answer(self, request, writer):
        """Record a call and accept it."""
        document = json.loads(request.body)
        call = {
            'at': time.monotonic(),
            'path': request.path,
            'holder': request.headers['holder'],
            'token': int(request.headers['fencing-token']),
            'document': document,
        }
        self.calls.append(call)
        self.record.write(
            'cloud got',
            request.path,
            'holder',
            call['holder'],
            'token',
            call['token'],
            json.dumps(document, sort_keys=True),
        )
        if self.on_call is not None:
            self.on_call(call)
        return 200, {'Content-Type': 'application/json'}, b'{}'


@dataclasses.dataclass
class Run:
    """A request that a worker has begun to work on."""

    worker: str
    id: str
    method: str
    target: str
    body: bytes


class Worker:
    """A worker with plain answers; a subclass or ``make`` changes them."""

    def __init__(self, name, record, work_s=0.02):
        self.name = name
        self.record = record
        self.work_s = work_s
        self.runs = []
        self.born = int(time.time() * 1000)

    async def start(self):
        """Listen on a free port."""
        self.server = await Server(self.answer).start()
        self.address = self.server.address
        return self

    def make(self, request):
        """Return the body of a plain answer, which names its request."""
        name = request.headers.get('attempt-id', '')
        return f'{self.name} {name} {request.target}'.encode()

    def sign(self, request):
        """Return the headers of an answer to a request that ran."""
        name = request.headers.get('attempt-id', '')
        return {'Attempt-Id': name, 'Signature': f'{self.name}.{name}'}

    async def answer(self, request, writer):
        """Run a request."""
        expected = request.headers.get('expect-instance', self.name)
        if request.path == '/healthz':
            return 200, {'Instance': self.name}, b''
        if expected != self.name:
            return 421, {'Instance': self.name, 'Not-Executed': '1'}, b''
        if 'attempt-id' not in request.headers:
            return 400, {'Not-Executed': '1'}, b''
        run = Run(
            self.name,
            request.headers['attempt-id'],
            request.method,
            request.target,
            request.body,
        )
        self.runs.append(run)
        self.record.write(
            'run at', self.name, run.id, run.method, run.target, len(run.body)
        )
        await asyncio.sleep(self.work_s)
        return 200, self.sign(request), self.make(request)


def make_route(name, kind, service, **options):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'type': kind,
        'service': service,
        'timeoutMs': 15000,
        'targetLatencyMs': 500,
        'attempts': 2,
        'priority': 1,
        'public': False,
        **options,
    }


def make_configuration(routes, services):
    """Return a configuration with one tenant without a quota."""
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY]}],
    }


def make_entry(worker, service, zone, **fields):
    """Return the store's entry of a worker."""
    return {
        'service': service,
        'addr': worker.address,
        'zone': zone,
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': worker.born,
        **fields,
    }


# --- settings, as the platform fills them in from the template ---------------

SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
PLACE = re.compile(r'\{\{([\w.@,]+)(\|json)?\}\}')


def look_up(fields, path):
    """Return the value at a dotted path, or None."""
    for name in path.split('.'):
        fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def fill_in(template, fields):
    """Fill in the placeholders that ``deploy/node.ini`` uses."""

    def replace_section(found):
        value = look_up(fields, found[2])
        is_shown = bool(value) if found[1] == '#' else not value
        return fill_in(found[3], fields) if is_shown else ''

    def replace_place(found):
        value = look_up(fields, found[1])
        if found[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ','.join(value)
        return '' if value is None else str(value)

    return PLACE.sub(replace_place, SECTION.sub(replace_section, template))


def find_ports(address, count):
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((address, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def choose_address():
    """Return a loopback address whose port for metrics is free.

    ``deploy/node.ini`` names that port itself.
    """
    while True:
        address = '127.' + '.'.join(
            str(random.randint(low, 250)) for low in (77, 1, 2)
        )
        with socket.socket() as sock:
            try:
                sock.bind((address, METRICS_PORT))
            except OSError:
                continue
        return address


class Gateway:
    """A gateway process with its settings and its log."""

    def __init__(self, number, folder, store, cloud, seeds, zone):
        self.name = f'edge-{zone}-{number}'
        self.ip = choose_address()
        ports = find_ports(self.ip, 4)
        names = ('front', 'readiness', 'control', 'directory')
        self.listen = {
            name: f'{self.ip}:{port}'
            for name, port in zip(names, ports, strict=True)
        }
        self.folder = pathlib.Path(folder)
        self.file = self.folder / f'{self.name}.ini'
        self.log = self.folder / f'{self.name}.log'
        self.store = store
        self.cloud = cloud
        self.seeds = seeds
        self.zone = zone
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        fields = {
            'node': self.name,
            'region': ZONES[self.zone],
            'zone': self.zone,
            'ip': self.ip,
            'limits': {'cpuShare': 0.537, 'memoryMb': 300, 'maxFds': 4100},
            'listen': self.listen,
            'platform': {'addr': self.store},
            'cloud': {'addr': self.cloud},
            'seeds': self.seeds,
            'bounds': BOUNDS,
        }
        template = (ROOT / role['template']).read_text()
        self.file.write_text(fill_in(template, fields))
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CITRONJUNCTION_NODE_FILE': str(self.file),
                },
                stdout=output,
                stderr=output,
            )

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Ask the readiness address."""
        try:
            status, _, _ = await ask(
                self.listen['readiness'], 'GET', '/api/readyz', {}
            )
        except (OSError, ValueError, EOFError, TimeoutError):
            return False
        return status == 200

    async def end(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


async def connect(address):
    """Open a connection to IP:PORT."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, int(port)), 2
    )
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer


def encode_request(method, target, headers, body=b''):
    """Encode a client's request."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '\r\n')).encode('latin-1') + body


def make_headers(name, deadline_ms=15000, **more):
    """Return the headers of a client's request."""
    return {
        'Attempt-Id': name,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **more,
    }


async def read_answer(reader):
    """Return status, headers and body; raise ``EOFError`` if it is cut."""
    head = await read_head(reader)
    if head is None:
        raise EOFError('no answer')
    try:
        body = await read_body(reader, head[1])
    except ConnectionError as error:
        raise EOFError(str(error)) from None
    return int(head[0].split(' ')[1]), head[1], body


async def ask(address, method, target, headers, body=b'', wait_s=20):
    """Send a request on a connection of its own and return the answer."""
    reader, writer = await connect(address)
    try:
        writer.write(encode_request(method, target, headers, body))
        return await asyncio.wait_for(read_answer(reader), wait_s)
    finally:
        writer.close()


class System:
    """Store, cloud and gateways, with a temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.store = Store()
        self.cloud = Cloud(self.record)
        self.gateways = []

    async def start_platform(self):
        """Start the store and the cloud."""
        self.store_server = await Server(self.store.answer).start()
        self.cloud_server = await Server(self.cloud.answer).start()

    def add_gateway(self, store='', cloud=''):
        """Prepare a gateway; the first three are the seeds."""
        number = len(self.gateways) + 1
        zone = list(ZONES)[number % len(ZONES)]
        gateway = Gateway(
            number,
            self.folder,
            store or self.store_server.address,
            cloud or self.cloud_server.address,
            [],
            zone,
        )
        self.gateways.append(gateway)
        return gateway

    async def start_gateways(self, wait_s=25):
        """Start all gateways and wait until they are ready."""
        seeds = [known.listen['control'] for known in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds
            await gateway.start()
        until = time.monotonic() + wait_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    last = gateway.log.read_text()[-2000:]
                    raise NotRun(f'{gateway.name} is not ready: {last}')
                await asyncio.sleep(0.1)
            self.record.write('ready', gateway.name)

    async def close(self):
        """End all processes and remove the folder."""
        for gateway in self.gateways:
            await gateway.end()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """Raised where the case could not run."""


def run_case(folder, play):
    """Run ``play(system)``, which returns whether the rule was broken."""

    async def run():
        system = System(folder)
        try:
            await system.start_platform()
            return await asyncio.wait_for(play(system), 110)
        finally:
            await system.close()

    try:
        is_broken = asyncio.run(run())
    except (NotRun, OSError, TimeoutError) as error:
        print(f'the case could not run: {error!r}', flush=True)
        os._exit(EXIT_NOT_RUN)
    print('rule broken' if is_broken else 'rule held', flush=True)
    # Connections that are still open end with the process.
    os._exit(EXIT_BROKEN if is_broken else EXIT_HELD)
