"""Gateways on stand-ins of the platform, in virtual time."""

import dataclasses
import itertools

from citronjunction.commands import gateway as command
from citronjunction.conf import models as conf
from citronjunction.transport import echoes, http_client, http_server
from tests.support import platform_store, platform_worker, virtual

PLATFORM = '10.9.0.1'
STORE_PORT = 8000
CLOUD_PORT = 8001
HOST = 'x.example'
KEY_FORMAT = 'key-{}'

LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 1 << 20,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def make_route(name, prefix, kind, service, **options):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'service': service,
        'timeoutMs': 2000,
        'targetLatencyMs': 200,
        'attempts': 2,
        'priority': 1,
        'public': False,
        **options,
    }


def get_prefix(route):
    """Return the path prefix of a route."""
    return route['pathPrefix']


def make_configuration(*routes):
    """Return a configuration with two upstreams and two organisations."""
    return {
        'version': 1,
        'routes': list(routes),
        'services': [
            {'name': 'app', 'healthPath': '/healthz', 'maxConns': 100},
            {'name': 'llm', 'healthPath': '/healthz', 'maxConns': 100},
        ],
        'limits': LIMITS,
        'tenants': [
            {'name': name, 'apiKeys': [KEY_FORMAT.format(name)]}
            for name in ('org', 'other')
        ],
    }


def make_limited_organisation(rate_per_s, burst):
    """Return the second organisation with a quota."""
    return {
        'name': 'other',
        'apiKeys': [KEY_FORMAT.format('other')],
        'ratePerS': rate_per_s,
        'burst': burst,
    }


def make_scaled_upstream(prices, minimum=1, maximum=3):
    """Return the upstream of the streams with limits for its workers."""
    return {
        'name': 'llm',
        'healthPath': '/healthz',
        'maxConns': 100,
        'scaling': {
            'min': minimum,
            'max': maximum,
            'bootS': 4.0,
            'spotPrice': 0.2,
            'zonePrices': prices,
        },
    }


def make_worker_spec(service, address, zone='z1', state='ready', version='v1'):
    """Return the registration of a worker."""
    return {
        'service': service,
        'addr': address,
        'zone': zone,
        'version': version,
        'slots': 6,
        'state': state,
        'coldLeftMs': 0,
        'seq': 1,
        'born': 1000,
    }


def make_call(address, method, path, name, deadline_s, organisation='org'):
    """Return a caller's request with ``name`` as its request id."""
    return http_client.Call(
        address,
        method,
        path,
        {
            'Attempt-Id': name,
            'Deadline-Ms': str(round(deadline_s * 1000)),
            'Authorization': f'Bearer {KEY_FORMAT.format(organisation)}',
        },
        host=HOST,
    )


def add_tokens(call, tokens):
    """Name the tokens of a request, a quarter of them of its output."""
    output = tokens // 4
    call.headers['Token-Usage'] = f'{tokens - output},{output}'


def make_tenant(name, rate_per_s, burst, plain_tokens):
    """Return an organisation with a quota in tokens."""
    return {
        'name': name,
        'apiKeys': [KEY_FORMAT.format(name)],
        'unit': 'tokens',
        'plainTokens': plain_tokens,
        'ratePerS': rate_per_s,
        'burst': burst,
    }


def make_echo(name):
    """Return the header in which workers' answers repeat the request's name."""
    return echoes.Echo('attempt-id', name, is_optional=True)


def make_directory_call(address):
    """Return a caller's lookup of entry addresses in the directory."""
    path = f'/api/resolve?name={HOST}&region=r&zone=z1'
    return http_client.Call(
        address,
        'GET',
        path,
        max_idle_s=http_client.NO_REUSE_S,
    )


class Answer:
    """Record the answer to a caller's request."""

    def __init__(self, world):
        self.world = world
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.failure = None
        self.started_at = world.now
        self.ended_at = None

    def on_head(self, head):
        self.status = head.status
        self.headers = head.headers

    def on_data(self, chunk):
        self.body += chunk

    def on_end(self):
        self.is_complete = True
        self.ended_at = self.world.now

    def on_failure(self, failure):
        self.failure = failure
        self.ended_at = self.world.now

    @property
    def duration_s(self):
        return self.ended_at - self.started_at


class PlatformSystem:
    """Run the platform's stand-ins, workers, gateways and a caller."""

    def __init__(self, seed=0):
        self.world = virtual.World(seed)
        self.ids = itertools.count(1)
        self.last_number = 0
        self.workers = {}
        self.worker_hosts = {}
        self.gateways = {}
        self.gateway_hosts = {}
        self.platform_host = self.world.add_host('platform')
        self.store = platform_store.PlatformStore(self.platform_host)
        self.cloud = platform_store.PlatformCloud()
        self._serve(self.platform_host, self.store, STORE_PORT)
        self._serve(self.platform_host, self.cloud, CLOUD_PORT)
        self.caller_host = self.world.add_host('caller')
        self.configuration = make_configuration(
            make_route('safe', '/safe/', 'safe', 'app'),
            make_route('unsafe', '/unsafe/', 'unsafe', 'app', attempts=2),
            make_route('stream', '/stream/', 'stream', 'llm'),
            make_route('resume', '/stream/r/', 'stream', 'llm', resumable=True),
        )

    def configure(self, **changes):
        """Change the configuration in the store and increase its version."""
        self.configuration = {**self.configuration, **changes}
        self.configuration['version'] += 1
        self.store.put('config', 'main', self.configuration)

    def add_worker(self, name, service, zone='z1', version='v1', **fields):
        number = self._number_host()
        host = self.world.add_host(name)
        worker = platform_worker.PlatformWorker(host, name)
        address = f'10.8.0.{number}'
        server = http_server.HttpServer(
            host.sockets, host.timers, conf.Http(), worker
        )
        server.listen(address, 8080)
        self.workers[name] = worker
        self.worker_hosts[name] = host
        spec = make_worker_spec(
            service, f'{address}:8080', zone, version=version
        )
        spec.update(fields)
        self.store.put('servers', name, spec)
        return worker

    def set_state(self, name, state, **fields):
        spec = self.store.objects[('servers', name)]['spec']
        self.store.put('servers', name, {**spec, 'state': state, **fields})

    def configure_settings(self, settings):
        """Change the settings of a gateway in a subclass; do nothing here."""

    def add_gateway(self, name, zone='z1'):
        number = self._number_host()
        address = f'10.1.0.{number}'
        settings = conf.Settings()
        settings.process.name = name
        settings.process.zone = zone
        settings.process.address = address
        listeners = settings.listeners
        listeners.front = f'{address}:8080'
        listeners.control = f'{address}:8081'
        listeners.readiness = f'{address}:8082'
        listeners.directory = f'{address}:8083'
        listeners.metrics = f'{address}:8084'
        settings.platform.object_api = f'{PLATFORM}:{STORE_PORT}'
        settings.platform.cloud_api = f'{PLATFORM}:{CLOUD_PORT}'
        settings.membership.secret = 'a-secret-for-tests-only'
        settings.membership.heartbeat_s = 0.5
        settings.membership.lost_after_s = 2.5
        settings.membership.seeds = ','.join(
            gateway.settings.listeners.control
            for gateway in self.gateways.values()
        )
        settings.attempts.suspect_crashes = 3
        settings.gateway.watch_s = 10
        self.configure_settings(settings)
        host = self.world.add_host(name)
        node = command.build_node(host, settings, '')
        node.start()
        self.gateways[name] = node
        self.gateway_hosts[name] = host
        return node

    def press(self, names, seconds, per_s, path='/safe/x'):
        """Send requests to the named gateways in turn; return the answers."""
        answers = []
        for number in range(round(seconds * per_s)):
            name = names[number % len(names)]
            answers.append(self.send(path, name, method='POST'))
            self.world.run(1 / per_s)
        return answers

    def start_again(self, name):
        """Start a gateway whose host was killed, unless it runs again."""
        if not self.gateway_hosts[name].is_alive:
            self.add_gateway(name)

    def build(self, workers=2, gateways=1):
        """Start workers and gateways and run for 3 s until they are ready."""
        self.store.put('config', 'main', self.configuration)
        for number in range(workers):
            self.add_worker(f'app-{number}', 'app')
            self.add_worker(f'llm-{number}', 'llm')
        for number in range(gateways):
            self.add_gateway(f'gateway-{number}')
        self.world.run(3)
        return self

    def send(
        self,
        path,
        gateway='gateway-0',
        method='GET',
        organisation='org',
        body=b'',
        deadline_ms=1500,
        **headers,
    ):
        """Send a caller's request and return its ``Answer``."""
        answer = Answer(self.world)
        extra_headers = {
            key.replace('_', '-'): text for key, text in headers.items()
        }
        call = dataclasses.replace(
            make_call(
                self.gateways[gateway].settings.listeners.front,
                method,
                path,
                f'request-{next(self.ids)}',
                deadline_ms / 1000,
                organisation,
            ),
            body=body,
            max_idle_s=http_client.NO_REUSE_S,
        )
        call.headers.update(extra_headers)
        answer.call = self.caller_host.client.send(call, answer)
        return answer

    def ask(self, path, run_s=3.0, **options):
        """Send a request, run for ``run_s`` and return its ``Answer``."""
        answer = self.send(path, **options)
        self.world.run(run_s)
        return answer

    def count_runs(self, request_id=None):
        """Count the runs of one request, or of all, on all workers."""
        return sum(
            request_id in {None, run.headers['attempt-id']}
            for worker in self.workers.values()
            for run in worker.runs
        )

    def _number_host(self):
        """Return a number that no host had, also not an earlier one."""
        self.last_number = max(self.last_number + 1, len(self.world.hosts))
        return self.last_number

    def _serve(self, host, app, port):
        server = http_server.HttpServer(
            host.sockets, host.timers, conf.Http(), app
        )
        server.listen(PLATFORM, port)


def build_forwarding():
    """Return two gateways, of which the first reaches no worker."""
    deployed = PlatformSystem().build(workers=1, gateways=2)
    forward_from_first(deployed)
    return deployed


def forward_from_first(deployed):
    """Cut the first gateway off from the workers, so that it forwards."""
    deployed.world.refuse(['gateway-0'], deployed.workers)
    deployed.press(['gateway-0'], 3, 20)
    # Connections to the stand-ins that the tests replace.
    for gateway in deployed.gateways.values():
        drop_idle(gateway)


def drop_idle(gateway):
    """Close the idle connections of a gateway."""
    pool = gateway.services.client.pool
    for address, _ in tuple(pool.idle):
        pool.drop(address)


class LinkedSystem(PlatformSystem):
    """Link gateways as the users' platform does (``deploy/node.ini``)."""

    def configure_settings(self, settings):
        """Set the number of peer links and of serving entries."""
        settings.membership.links = 6
        settings.membership.serving = 8
