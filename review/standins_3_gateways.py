"""Gateway processes, started with the command of the deploy file."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
ROLE = 'gateway'
LISTENERS = ('front', 'readiness', 'control', 'directory')
ADDRESSES = f'127.{16 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{{}}'
HOST_NUMBERS = itertools.count(1)
# Fields of a settings file of a small deployment, as DEPLOY.md and SYSTEM.md
# state them.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 54,
    'quotaWindowS': 8,
    'quotaOverrun': 0.1,
    'quotaSlack': 140000,
    'fencingEnforced': False,
    'leaseMs': 3000,
    'thawMs': 300,
    'windowS': 5,
    'usageOff': 0.05,
    'usageLateS': 10,
    'canaryShare': 0.1,
    'canarySlack': 50,
    'rollbackMs': 5000,
    'recoverS': 12,
    'passMs': 120,
    'againS': 10,
    'ttl_max_s': 5,
}
ZONES = ('casa-voyageurs', 'rabat-agdal', 'fes-ateliers', 'tanger-med')


def choose_address():
    """Return a loopback address that nothing else here uses."""
    return ADDRESSES.format(next(HOST_NUMBERS))


def find_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


TAG = re.compile(r'\{\{([#^/]?)([^}]*)\}\}')


def render(template, fields):
    """Fill in a template as DEPLOY.md describes it."""
    text, _ = _render(template, 0, [fields], '', is_last=True, key='')
    return text


def _look_up(path, scopes):
    if path == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        found = scope
        for part in path.split('.'):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdecimal():
                found = found[int(part)]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def _show(value):
    if value is None:
        return ''
    if isinstance(value, list):
        return ','.join(map(str, value))
    if isinstance(value, dict | bool):
        return json.dumps(value)
    return str(value)


def _render(template, at, scopes, end, *, is_last, key):
    shown = []
    while True:
        tag = TAG.search(template, at)
        if tag is None:
            shown.append(template[at:])
            return ''.join(shown), len(template)
        shown.append(template[at : tag.start()])
        at = tag.end()
        kind, name = tag.groups()
        if kind == '/':
            return ''.join(shown), at
        if kind:
            text, at = _render_section(template, at, scopes, kind, name)
            shown.append(text)
        elif name == ',':
            shown.append('' if is_last else ',')
        elif name == '@':
            shown.append(str(key))
        elif name.endswith('|json'):
            shown.append(json.dumps(_look_up(name[:-5], scopes)))
        else:
            shown.append(_show(_look_up(name, scopes)))


def _render_section(template, at, scopes, kind, name):
    value = _look_up(name, scopes)
    if kind == '^':
        rounds = [('', scopes[-1])] if not value else []
    elif isinstance(value, dict):
        rounds = list(value.items())
    elif isinstance(value, list):
        rounds = list(enumerate(value))
    else:
        rounds = [('', scopes[-1])] if value not in (None, False) else []
    shown = []
    for number, (key, scope) in enumerate(rounds):
        is_last = number == len(rounds) - 1
        text, end = _render(
            template, at, [*scopes, scope], name, is_last=is_last, key=key
        )
        shown.append(text)
    if not rounds:
        _, end = _render(template, at, scopes, name, is_last=True, key='')
    return ''.join(shown), end


class Gateway:
    """One gateway on a loopback address of its own."""

    def __init__(self, name, zone, folder, record):
        self.name = name
        self.zone = zone
        self.record = record
        self.folder = pathlib.Path(folder)
        self.settings = self.folder / f'{name}.ini'
        self.log = self.folder / f'{name}.log'
        self.address = choose_address()
        self.listen = {
            kind: f'{self.address}:{find_port(self.address)}'
            for kind in LISTENERS
        }
        self.process = None
        self.is_end_expected = False

    @property
    def front(self):
        return self.listen['front']

    def write_settings(self, store, cloud, seeds, **changes):
        """Fill in the template of the deploy file."""
        fields = {
            'node': self.name,
            'role': ROLE,
            'machineClass': 'edge',
            'serves': ['edge', 'control', 'registry'],
            'ip': self.address,
            'zone': self.zone,
            'region': 'maroc-nord',
            'zones': dict.fromkeys(ZONES, 'maroc-nord'),
            'listen': self.listen,
            'portRange': [7600, 7615],
            'seeds': seeds,
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeatMs': 1200,
            'tolerate': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'addr': store, 'form': 'objects'},
            'cloud': {'addr': cloud, 'duties': ['usage', 'scale']},
            **changes,
        }
        role = read_deploy_file()['roles'][ROLE]
        template = (ROOT / role['template']).read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        """Start the process; its output is appended to its log."""
        self.is_end_expected = False
        role = read_deploy_file()['roles'][ROLE]
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                shlex.split(role['run']),
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CITRONJUNCTION_NODE_FILE': str(self.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.is_running():
            if number in {signal.SIGTERM, signal.SIGKILL}:
                self.is_end_expected = True
            self.record.write('script', signal.Signals(number).name, self.name)
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    def read_log(self):
        """Return the decisions that the process has logged."""
        lines = []
        for line in self.log.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


async def wait_until(is_met, timeout_s, interval_s=0.05):
    """Return whether a condition was met in time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    while not is_met():
        if loop.time() > until:
            return False
        await asyncio.sleep(interval_s)
    return True


def read_deploy_file():
    return tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
