"""Both users' deployments at their real sizes, with simulated callers."""

import collections

from tests.support import system

ATLAS = {
    'zones': ('casa-voyageurs', 'rabat-agdal', 'fes-ateliers', 'tanger-med'),
    'entries': 6,
    'engine': ('atelier-llm', 6),
    'service': ('magasin-app', 4),
    'organisations': ('onr', 'ferro', 'ateliers-sud', 'depot-est', 'petit'),
}
LIN = {
    'zones': ('taipei-a', 'taipei-b', 'taoyuan', 'hsinchu'),
    'entries': 7,
    'engine': ('salat-llm', 5),
    'service': ('notice-app', 4),
    'organisations': (
        'taipei-grand',
        'longgang',
        'an-nur',
        'hsinchu-m',
        'small',
    ),
}
DEPLOYMENTS = {'Atlas': ATLAS, 'Lin': LIN}
SETTLE_S = 8
QUESTION_TOKENS = 24
DOSSIER_TOKENS = 300  # a long answer
DOSSIER_INTERVAL = 8  # every eighth question asks for a dossier


class Deployment:
    """Start a named deployment, apply its first release note and settle."""

    def __init__(self, name, seed=0, lag_s=1.0, **changes):
        self.plan = DEPLOYMENTS[name]
        self.system = system.System(seed, lag_s)
        self.world = self.system.world
        self.engine, engines = self.plan['engine']
        self.service, services = self.plan['service']
        zones = self.plan['zones']
        for number in range(engines):
            zone = zones[number % 4]
            self.system.add_engine(f'{self.engine}-{number}', self.engine, zone)
        for number in range(services):
            zone = zones[number % 4]
            self.system.add_service(
                f'{self.service}-{number}', self.service, zone
            )
        for number in range(self.plan['entries']):
            zone = zones[number % 4]
            self.system.add_entry(f'entry-{number}', zone, **changes)
        self.system.apply(
            '[note]\nid = first\n'
            f'[upstream {self.engine}]\nchecks_fencing = yes\nworkers = {engines}\n'
            f'[upstream {self.service}]\nkind = service\nrepeatable = GET *\n'
            + self.system.make_organisation_note(*self.plan['organisations'])
        )
        self.traffic = Traffic(self)
        self.world.run(SETTLE_S)

    @property
    def live_entries(self):
        return [
            name
            for name, node in self.system.entries.items()
            if self.world.hosts[name].is_alive and not node.entry.is_leaving
        ]

    def list_workers(self, zone):
        return [
            name
            for name, host in self.system.cloud.hosts.items()
            if host.zone == zone and host.upstream
        ]

    def reclaim(self, names, notice_s, killed_after_s=None):
        """Announce the reclaim of hosts and kill them when the notice expires.

        With ``killed_after_s``, kill them after that many seconds instead.
        """
        delay_s = notice_s if killed_after_s is None else killed_after_s
        for name in names:
            host = self.system.cloud.hosts[name]
            host.is_leaving = True
            host.leaves_in_s = notice_s
            self.call_later_on_platform(delay_s, self.world.hosts[name].kill)

    def call_later_on_platform(self, seconds, call):
        self.system.platform_host.timers.call_later(seconds, call)

    def count_runs_per_hold(self):
        runs = collections.Counter()
        for service in self.system.services.values():
            runs.update(
                run.body for run in service.executions if run.method == 'POST'
            )
        return runs


class Traffic:
    """Simulate callers that send questions and holds at an interval."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.system = deployment.system
        self.streams = []
        self.holds = []
        self.random = deployment.world.random
        self.is_running = False
        self.number = 0

    def start(self, interval_s=0.25):
        self.is_running = True
        self._tick(interval_s)

    def stop(self):
        self.is_running = False

    def _tick(self, interval_s):
        if not self.is_running:
            return
        self.number += 1
        is_dossier = self.number % DOSSIER_INTERVAL == 0
        self.send_question(DOSSIER_TOKENS if is_dossier else QUESTION_TOKENS)
        self.send_hold()
        timers = self.system.caller_host.timers
        timers.call_later(interval_s, lambda: self._tick(interval_s))

    def pick_entry(self):
        return self.random.choice(self.deployment.live_entries)

    def pick_organisation(self):
        return self.random.choice(self.deployment.plan['organisations'])

    def send_question(self, max_tokens):
        prompt = f'question {self.number} of the depot'
        self.streams.append(Stream(self, prompt, max_tokens))

    def send_hold(self):
        self.holds.append(Hold(self, f'hold-{self.number}'))

    def list_requests(self):
        return self.streams + self.holds


class Stream:
    """Send a question, follow handovers and retry it while it has not run."""

    def __init__(self, traffic, prompt, max_tokens):
        self.traffic = traffic
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.organisation = traffic.pick_organisation()
        self.tokens = []
        self.refusals = 0
        self.sent_at = traffic.system.world.now
        self.first_at = None
        self.handovers = 0
        self.outcome = ''
        self._send(traffic.pick_entry())

    @property
    def is_complete(self):
        return self.tokens == system.expected_tokens(
            self.prompt, self.max_tokens
        )

    def _send(self, entry):
        self.call = self.traffic.system.complete(
            entry,
            self.traffic.deployment.engine,
            self.prompt,
            self.max_tokens,
            organisation=self.organisation,
        )
        self._watch()

    def _watch(self):
        self.call.on_end = self._on_end
        self.call.on_failure = self._on_failure

    def _on_end(self):
        self.call.ended_at = self.traffic.system.world.now
        self.call.is_complete = True
        if self.call.status != 200:
            self._on_refused()
            return
        self.tokens.extend(self.call.tokens)
        self.first_at = self.first_at or self.call.first_at
        continuations = [
            document
            for kind, document in self.call.events
            if kind == 'continue'
        ]
        if continuations:
            self.handovers += 1
            self._follow_continuation(continuations[0])
        else:
            self.outcome = 'answered' if self.call.is_done else 'cut'

    def _follow_continuation(self, continuation):
        entries = self.traffic.system.entries
        name = next(
            name
            for name, node in entries.items()
            if f'{node.settings.process.address}:' in continuation['entry']
        )
        self.call = self.traffic.system.send(
            name, continuation['path'], b'', self.organisation, method='GET'
        )
        self._watch()

    def _on_refused(self):
        if self.call.verdict != 'not-run':
            self.outcome = f'{self.call.status} {bytes(self.call.body)}'
            return
        self.refusals += 1
        host = self.traffic.system.caller_host
        host.timers.call_later(
            1.0, lambda: self._send(self.traffic.pick_entry())
        )

    def _on_failure(self, failure):
        self.call.ended_at = self.traffic.system.world.now
        if not self.call.body and 'could not connect' in failure.reason:
            self._on_connect_failed()
            return
        self.tokens.extend(self.call.tokens)
        self.outcome = f'cut: {failure.reason}'

    def _on_connect_failed(self):
        host = self.traffic.system.caller_host
        host.timers.call_later(
            0.2, lambda: self._send(self.traffic.pick_entry())
        )


class Hold:
    """Send a stock hold; retries use the same idempotency key."""

    def __init__(self, traffic, name):
        self.traffic = traffic
        self.name = name
        self.organisation = traffic.pick_organisation()
        self.outcome = ''
        self.sent_at = traffic.system.world.now
        self._send()

    def _send(self):
        self.call = self.traffic.system.send(
            self.traffic.pick_entry(),
            f'/v1/services/{self.traffic.deployment.service}/holds',
            {'order': self.name},
            self.organisation,
            headers={'Idempotency-Key': self.name},
        )
        self.call.on_end = self._on_end
        self.call.on_failure = self._on_failure

    def _on_end(self):
        self.call.ended_at = self.traffic.system.world.now
        if self.call.status == 200:
            self.outcome = 'answered'
        elif self.call.verdict == 'not-run':
            self._retry_later()
        else:
            self.outcome = 'may have run'

    def _on_failure(self, failure):
        self.call.ended_at = self.traffic.system.world.now
        self._retry_later()

    def _retry_later(self):
        host = self.traffic.system.caller_host
        host.timers.call_later(1.0, self._send)
