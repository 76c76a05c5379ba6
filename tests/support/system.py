"""A deployment in virtual time: entries and control nodes on stand-ins."""

import json

from citronjunction.conf import models as conf
from citronjunction.control import node as control_node
from citronjunction.entry import node as entry_node
from citronjunction.organisations import models as organisations
from citronjunction.store import models as store_models
from citronjunction.releases import applying, notes
from citronjunction.standins import batch, cloud, engine, object_api, service
from citronjunction.transport import http_client, http_server
from tests.support import virtual

ADDRESS = '10.0.0.9'
PORTS = {'object_api': 7000, 'cloud_api': 7001, 'host_list': 7002}
SECRET = 'a-secret-for-tests-only'
TOKEN_FORMAT = 'token-{}'


class System:
    def __init__(self, seed=0, lag_s=1.0):
        self.world = virtual.World(seed)
        self.entries = {}
        self.controls = {}
        self.engines = {}
        self.services = {}
        self.calls = []
        self.platform_host = self.world.add_host('platform')
        self.store = object_api.ObjectApi(self.platform_host)
        self.cloud = cloud.Cloud(self.platform_host)
        host_list = cloud.HostList(self.platform_host, self.cloud, lag_s)
        self.host_list = host_list
        for key, app in (
            ('object_api', self.store),
            ('cloud_api', self.cloud),
            ('host_list', host_list),
        ):
            self.serve(self.platform_host, app.routes, ADDRESS, PORTS[key])
        self.caller_host = self.world.add_host('caller')

    def serve(self, host, app, address, port):
        server = http_server.HttpServer(
            host.sockets, host.timers, conf.Http(), app
        )
        return server.listen(address, port)

    def add_engine(
        self, name, upstream, zone='z1', versions=('v1',), **options
    ):
        host = self.world.add_host(name)
        batch_options = options.pop('batch_options', batch.BatchOptions())
        worker = engine.Engine(
            host,
            engine.EngineOptions(
                name,
                list(versions),
                batch_options=batch_options,
                on_crash=host.kill,
                **options,
            ),
        )
        self.engines[name] = worker
        self._register(host, worker.routes, name, upstream, zone)

    def add_service(self, name, upstream, zone='z1', versions=('v1',)):
        host = self.world.add_host(name)
        worker = service.Service(host, list(versions), on_crash=host.kill)
        self.services[name] = worker
        self._register(host, worker.routes, name, upstream, zone)

    def add_entry(self, name, zone='z1', region='r1', control=True, **changes):
        number = len(self.world.hosts)
        settings = conf.Settings()
        process = settings.process
        process.name = name
        process.zone = zone
        process.region = region
        process.address = f'10.1.0.{number}'
        settings.membership.secret = SECRET
        for key, port in PORTS.items():
            setattr(settings.platform, key, f'{ADDRESS}:{port}')
        for section, values in changes.items():
            for key, value in values.items():
                setattr(getattr(settings, section), key, value)
        host = self.world.add_host(name)
        entry = entry_node.EntryNode(host, settings)
        entry.start()
        self.entries[name] = entry
        address = f'{process.address}:{process.port}'
        peer = f'{process.address}:{process.peer_port}'
        self.cloud.hosts[name] = cloud.Host(
            name, address, '', zone, peer_address=peer
        )
        if control:
            control_host = self.world.add_host(f'control-{name}')
            self.controls[name] = control_node.ControlNode(
                control_host, settings
            )
            self.controls[name].start()
        return entry

    def apply(self, text, operation='op'):
        """Apply a release note directly to the store, as citronctl does."""
        parsed = notes.parse_note(
            text, self.world.now + virtual.WALL_TIME_OFFSET_S
        )
        assert parsed.is_ok(), parsed
        application = applying.NoteApplication(
            parsed.ok, frozenset(), operation
        )
        current = self.store.store.get('configurations', 'current')
        if current is None:
            action = application.on_read(store_models.Absent())
        else:
            version = current['metadata']['resourceVersion']
            stored = store_models.StoredObject(
                'configurations', 'current', version, current['spec']
            )
            action = application.on_read(store_models.Stored(stored))
        assert isinstance(action, applying.WriteConfiguration), action
        written = self.put(
            'configurations',
            'current',
            applying.configuration.encode(action.planned),
            action.expected_version,
        )
        assert written
        return action.planned.revision

    def put(self, kind, name, spec, expected):
        spec = json.loads(json.dumps(spec))
        stored = self.store.store.put(kind, name, spec, expected)
        if stored is not None:
            self.store._notify(kind, stored)
        return stored

    def get_status(self, owner):
        stored = self.store.store.objects.get(('statuses', owner))
        return stored['spec'] if stored else None

    def get_move(self, owner, name):
        status = self.get_status(owner) or {'moves': ()}
        for record in status['moves']:
            if name in record['subject']:
                return record
        return None

    def make_organisation_note(self, *names):
        return ''.join(
            f'[organisation {name}]\ntoken_sha256 = '
            f'{organisations.hash_token(TOKEN_FORMAT.format(name))}\n'
            for name in names
        )

    def send(self, entry, path, body, organisation='org', **options):
        """Send a request and return the call that records its answer."""
        process = self.entries[entry].settings.process
        headers = {
            'Authorization': f'Bearer {TOKEN_FORMAT.format(organisation)}'
        }
        headers.update(options.get('headers', {}))
        call = http_client.Call(
            f'{process.address}:{process.port}',
            options.get('method', 'POST'),
            path,
            headers,
            body if isinstance(body, bytes) else json.dumps(body).encode(),
            silence_s=600,
            max_idle_s=http_client.NO_REUSE_S,
        )
        sent_call = SentCall(self.world, call)
        sent_call.exchange = self.caller_host.client.send(call, sent_call)
        self.calls.append(sent_call)
        return sent_call

    def complete(self, entry, model, prompt, max_tokens=8, **options):
        body = {'model': model, 'prompt': prompt, 'max_tokens': max_tokens}
        body['stream'] = options.pop('stream', True)
        return self.send(entry, '/v1/completions', body, **options)

    def _register(self, host, app, name, upstream, zone):
        address = f'10.2.0.{len(self.world.hosts)}'
        port = self.serve(host, app, address, 9000)
        self.cloud.hosts[name] = cloud.Host(
            name, f'{address}:{port}', upstream, zone
        )


class SentCall:
    """Record one request and its answer as the caller sees them."""

    def __init__(self, world, call):
        self.world = world
        self.call = call
        self.sent_at = world.now
        self.first_at = None
        self.ended_at = None
        self.status = 0
        self.headers = {}
        self.body = bytearray()
        self.is_complete = False
        self.failure = None

    def on_head(self, head):
        self.status = head.status
        self.headers = head.headers

    def on_data(self, chunk):
        if self.first_at is None:
            self.first_at = self.world.now
        self.body.extend(chunk)

    def on_end(self):
        self.is_complete = True
        self.ended_at = self.world.now

    def on_failure(self, failure):
        self.failure = failure
        self.ended_at = self.world.now

    @property
    def is_over(self):
        return self.ended_at is not None

    @property
    def verdict(self):
        return self.headers.get('citron-verdict', '')

    @property
    def document(self):
        return json.loads(self.body)

    @property
    def events(self):
        """Return the (kind, document) pairs of a stream."""
        pairs = []
        for block in bytes(self.body).split(b'\n\n'):
            kind = 'data'
            for line in block.split(b'\n'):
                if line.startswith(b'event: '):
                    kind = line[7:].decode()
                elif line.startswith(b'data: ') and b'[DONE]' not in line:
                    pairs.append((kind, json.loads(line[6:])))
        return pairs

    @property
    def is_done(self):
        return self.is_complete and b'data: [DONE]' in self.body

    @property
    def tokens(self):
        return [
            document['choices'][0]['text']
            for kind, document in self.events
            if kind == 'data'
        ]


def expected_tokens(prompt, count):
    return [engine.make_token(prompt, offset) for offset in range(count)]
