"""What all cases share: the record, the small system around the gateways."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

import standins_3_gateways as gateways
import standins_3_platform as platform
import standins_3_web as web

HELD = 0
BROKEN = 1
UNABLE = 2
HOST = 'desk.example'
KEY = 'key-of-partner'
TENANT = 'partner'


class Unable(Exception):
    """Raised if a case can't run."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.file = pathlib.Path(path).open('w')

    def write(self, who, what, subject, **details):
        at = time.monotonic() - self.began_at
        shown = ' '.join(
            f'{name}={json.dumps(text)}' for name, text in details.items()
        )
        self.file.write(f'{at:9.3f} {who} {what} {subject} {shown}'.rstrip())
        self.file.write('\n')
        self.file.flush()


class System:
    """A store, the API for duties, and gateways; workers belong to a case."""

    def __init__(self, record, folder, count):
        self.record = record
        self.store = platform.Store(record)
        self.cloud = platform.Cloud(record)
        self.servers = []
        self.gateways = [
            gateways.Gateway(
                f'edge-{number + 1}',
                gateways.ZONES[number % len(gateways.ZONES)],
                folder,
                record,
            )
            for number in range(count)
        ]

    async def serve(self, handle):
        """Start a server and return it with its address."""
        address = gateways.choose_address()
        server = web.Server(address, handle)
        port = await server.start()
        self.servers.append(server)
        return server, f'{address}:{port}'

    async def start(self, configuration, **settings):
        """Write the configuration and start the gateways until all are ready."""
        _, store = await self.serve(self.store.handle)
        _, cloud = await self.serve(self.cloud.handle)
        self.store.put('config', 'main', configuration)
        seeds = [gateway.listen['control'] for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(store, cloud, seeds, **settings)
            gateway.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def wait_ready(self, gateway, timeout_s=20.0):
        """Wait until a gateway says that it is ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while loop.time() < until:
            answer = await web.call(
                gateway.listen['readiness'], 'GET', '/api/readyz', {}, b'', 1.0
            )
            if answer.status == 200:
                self.record.write('platform', 'ready', gateway.name)
                return
            await asyncio.sleep(0.1)
        raise Unable(f'{gateway.name} is not ready after {timeout_s} s')

    def end(self):
        """End all processes and servers."""
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.stop()

    def list_ended(self):
        """Return the gateways that ended by themselves."""
        return [
            gateway.name
            for gateway in self.gateways
            if gateway.process is not None
            and not gateway.is_running()
            and not gateway.is_end_expected
        ]


def make_route(name, prefix, kind, service, **fields):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'service': service,
        'timeoutMs': 15000,
        'targetLatencyMs': 1000,
        'priority': 1,
        'attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }


def make_configuration(routes, services, version=1):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': TENANT,
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
    }


def make_registration(service, address, **fields):
    return {
        'service': service,
        'addr': address,
        'zone': gateways.ZONES[0],
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
        **fields,
    }


def has_trouble():
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(play, folder, limit_s=110.0):
    """Run a case in a temporary folder and exit with its verdict."""
    signal.signal(signal.SIGTERM, _stop)
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write('script', 'begins', f'TROUBLE={int(has_trouble())}')
    code = UNABLE
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = asyncio.run(_run(play, record, scratch, limit_s))
        except Unable as error:
            record.write('script', 'unable', str(error))
        except TimeoutError:
            record.write('script', 'unable', f'not done after {limit_s} s')
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for log in pathlib.Path(scratch).glob('*.log'):
                target = pathlib.Path(kept) / log.name
                target.write_bytes(log.read_bytes())
    verdict = {HELD: 'held', BROKEN: 'broken', UNABLE: 'unable'}[code]
    record.write('script', 'verdict', verdict)
    sys.exit(code)


def _stop(number, frame):
    """Leave the case, so that it ends its processes."""
    sys.exit(UNABLE)


async def _run(play, record, scratch, limit_s):
    systems = []
    try:
        async with asyncio.timeout(limit_s):
            return await play(record, scratch, systems)
    finally:
        for system in systems:
            with contextlib.suppress(OSError):
                system.end()
