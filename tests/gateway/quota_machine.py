"""Entries that share a quota on a fake clock, judged by what workers ran.

``Ledger`` is the only class here that knows the interface of the product.
"""

import collections
import dataclasses

from hypothesis import stateful, strategies

from citronjunction.gateway import models, quotas

TICKS_PER_S = 100
WINDOW = 8 * TICKS_PER_S
REPORT_INTERVAL = 25
MIN_REPORT_INTERVAL = 5
LIMIT = 800  # tokens in a window
OVERRUN = 0.1
RELEASE_PACE = 0  # ticks between waiting requests that are sent or repeated
SLACK = 0.2  # share of the limit
COST = 10
PACE = 2  # ticks between requests in a flood of five times the limit


class QuotaBrokenError(AssertionError):
    """Workers ran more than a quota allows in some window."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Store a request; requests differ by identity."""

    host: 'Host'
    cost: float = COST


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """Store requests that were handled together and what they wait for."""

    state: str
    changed_at: int
    requests: list[Request] = dataclasses.field(default_factory=list)


class Ledger:
    """Adapt the quotas of one entry to the events of a request."""

    quota_class = quotas.Quotas

    def __init__(self, host):
        self.host = host
        self.quotas = self.quota_class(WINDOW / TICKS_PER_S, host.now_s())
        self.quotas.count_live = host.count_live
        self.quotas.on_unreported_use = self._want_report
        self.wants_report = False
        self.incarnation = int(host.wall_s() * 1000)
        self.sequence = 0
        # Gossip delivers only the newest report of each entry.
        self.versions = {}

    def admit(self, request):
        organisation = self._build_organisation()
        now = self.host.now_s()
        return self.quotas.admit(organisation, request.cost, now) is None

    def send(self, request):
        return True

    def repeat(self, request):
        return True

    def refund(self, request):
        organisation = self._build_organisation()
        self.quotas.refund(organisation, request.cost, self.host.now_s())

    def report(self):
        self.sequence += 1
        self.wants_report = False
        self.quotas.clear_unreported()
        version = (self.incarnation, self.sequence)
        return self.host.name, version, dict(self.quotas.used)

    def receive(self, report):
        name, version, used = report
        if version > self.versions.get(name, (0, 0)):
            self.versions[name] = version
            now = self.host.now_s()
            self.quotas.record_report(name, version[0], used, now)

    def note_leaving(self, name):
        self.quotas.mark_leaving(name)

    def expire(self):
        self.quotas.expire(self.host.now_s())

    def checkpoint(self):
        return self.host.wall_s(), self.quotas.export(self.host.now_s())

    def restore(self, saved):
        """Restore a checkpoint; ``None`` means that the store has none."""
        if saved is None:
            self.quotas.is_past_use_known = True
            return
        written_at, use = saved
        age_s = max(0, self.host.wall_s() - written_at)
        self.quotas.restore(use, age_s, self.host.now_s())

    def _build_organisation(self):
        rate = self.host.limit * TICKS_PER_S / WINDOW
        quota = models.Quota(rate, 0, models.QuotaUnit.tokens, COST)
        return models.Organisation('org', None, quota)

    def _want_report(self):
        self.wants_report = True


class Host:
    """Hold the state of one entry that its ledger doesn't see."""

    def __init__(self, fleet, name, ledger_class):
        self.fleet = fleet
        self.name = name
        self.limit = fleet.limits[-1][0]
        self.link = 'ok'
        self.is_frozen = False
        self.reported_at = -1
        self.ledger = ledger_class(self)

    def now_s(self):
        return self.fleet.now / TICKS_PER_S

    def wall_s(self):
        return 1e9 + self.now_s() + self.fleet.clock_offsets[self.name]

    def count_live(self):
        return sum(host.link != 'cut' for host in self.fleet.hosts)


class Fleet:
    """Carry reports between entries and judge every send that ran.

    ``limits`` has each limit with the time from which all entries know a later
    one.
    """

    def __init__(self, count, ledger_class):
        self.ledger_class = ledger_class
        self.size = count
        self.now = 100 * TICKS_PER_S
        self.limits = [[LIMIT, None]]
        self.clock_offsets = collections.defaultdict(int)
        self.saved = None
        self.late = collections.deque(maxlen=50)
        self.batches = []
        self.sends = collections.deque()
        self.worst = 0
        self.is_calm = True
        self.hosts = []
        self.started = 0
        for _ in range(count):
            self.start_host().ledger.restore(None)
        self.advance(WINDOW)

    def start_host(self, name=None):
        self.started += name is None
        host = Host(self, name or f'e{self.started}', self.ledger_class)
        self.hosts.append(host)
        return host

    def end_host(self, host, *, is_planned=False):
        self.hosts.remove(host)
        if is_planned:
            for peer in self.hosts:
                peer.ledger.note_leaving(host.name)
        self.note_limits()

    def advance(self, ticks):
        end = self.now + ticks
        while self.now < end:
            rest = REPORT_INTERVAL - self.now % REPORT_INTERVAL
            self.now = min(end, self.now + rest)
            if self.now % REPORT_INTERVAL == 0:
                self.exchange()

    def exchange(self):
        for host in self.hosts:
            if not host.is_frozen:
                host.ledger.expire()
                self.publish(host)

    def publish(self, host):
        host.reported_at = self.now
        report = host.ledger.report()
        for peer in self.hosts:
            if peer is host or 'cut' in {host.link, peer.link}:
                continue
            if host.link == 'late' or peer.is_frozen:
                self.late.append((peer.name, report))
            else:
                peer.ledger.receive(report)

    def deliver(self, pick, *, is_doubled):
        name, report = self.late[pick % len(self.late)]
        for host in self.hosts:
            if host.name == name and not host.is_frozen:
                host.ledger.receive(report)
        if not is_doubled:
            self.late.remove((name, report))

    def ask(self, hosts, count, *, is_sent=False):
        """Ask one entry at once, or several in turn at the pace of a flood.

        Return what they admit; it waits unless it is sent immediately.
        """
        batch = Batch('ran' if is_sent else 'waiting', self.now)
        self.batches.append(batch)
        pace = PACE if len(hosts) > 1 else 0
        for number in range(count if hosts else 0):
            host = hosts[number % len(hosts)]
            request = Request(host)
            if host.ledger.admit(request):
                batch.requests.append(request)
                if is_sent:
                    self._send(batch, request)
            self._publish_early(host)
            self.advance(pace)
        if not pace:
            self.advance(MIN_REPORT_INTERVAL)
            for host in hosts:
                self._publish_early(host)
        return batch

    def send(self, batch, state='ran'):
        """Send waiting requests to workers, which may reject them all."""
        batch.state = state
        batch.changed_at = self.now
        for request in self._select_active(batch):
            self._send(batch, request)
            self._publish_early(request.host)
            self.advance(RELEASE_PACE)

    def repeat(self, batch):
        for request in self._select_active(batch):
            if request.host.ledger.repeat(request):
                self._run(request)
            self._publish_early(request.host)
            self.advance(RELEASE_PACE)

    def refund(self, batch):
        self.batches.remove(batch)
        for request in self._select_active(batch):
            request.host.ledger.refund(request)

    def note_limits(self):
        """Record which limits no entry uses any more."""
        known = {host.limit for host in self.hosts}
        for entry in self.limits[:-1]:
            if entry[1] is None and known == {self.limits[-1][0]}:
                entry[1] = self.now

    def _select_active(self, batch):
        return [
            request
            for request in batch.requests
            if request.host in self.hosts and not request.host.is_frozen
        ]

    def _publish_early(self, host):
        waited = self.now - host.reported_at
        if host.ledger.wants_report and waited >= MIN_REPORT_INTERVAL:
            self.publish(host)

    def _send(self, batch, request):
        if not request.host.ledger.send(request):
            batch.requests.remove(request)
        elif batch.state == 'ran':
            self._run(request)

    def _run(self, request):
        self.sends.append((self.now, request.cost))
        while self.sends[0][0] <= self.now - WINDOW:
            self.sends.popleft()
        first = self.now - WINDOW + 1
        replaced = (entry[1] or 0 for entry in self.limits)
        for start in {first, *(at + 1 for at in replaced if at >= first)}:
            self._judge(start)

    def _judge(self, start):
        total = sum(cost for at, cost in self.sends if at >= start)
        limit = max(
            limit
            for limit, replaced_at in self.limits
            if replaced_at is None or replaced_at >= start
        )
        self.worst = max(self.worst, total)
        slack = 0 if self.is_calm else SLACK
        allowed = limit * (1 + OVERRUN + slack)
        if total > allowed:
            text = f'{total} of {limit} ran, {allowed:.0f} allowed'
            raise QuotaBrokenError(text)


PICKS = strategies.integers(0, 11)
EVERY = strategies.just(frozenset(range(12)))
GROUPS = EVERY | strategies.sets(PICKS, min_size=1)
COUNTS = strategies.sampled_from((8, 80, 120, 160))
WAITS = strategies.sampled_from((0, 24, 100, 400, 700))
EARLY = strategies.sampled_from((0, 1, 24, 60))
AGES = strategies.sampled_from((0, 100, 700, 790, 810))
STATES = strategies.sampled_from(('waiting', 'rejected', 'abandoned'))


def disturbed_rule(**arguments):
    """Return a decorator of a rule for runs with faults."""

    def decorate(method):
        is_possible = stateful.precondition(lambda self: self.is_disturbed)
        return is_possible(stateful.rule(**arguments)(method))

    return decorate


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Use, disturb and restart entries in any order."""

    ledger_class = Ledger

    @stateful.initialize(
        count=strategies.integers(2, 3) | strategies.integers(2, 12),
        is_disturbed=strategies.booleans(),
    )
    def begin(self, count, is_disturbed):
        self.fleet = Fleet(count, self.ledger_class)
        self.is_disturbed = is_disturbed

    def pick_host(self, pick):
        return self.fleet.hosts[pick % len(self.fleet.hosts)]

    def pick_hosts(self, picks):
        hosts = dict.fromkeys(map(self.pick_host, sorted(picks)))
        return [host for host in hosts if not host.is_frozen]

    @stateful.rule(wait=WAITS, early=EARLY, picks=GROUPS, count=COUNTS)
    def flood(self, wait, early, picks, count):
        """Flood entries, ``early`` ticks before the first use may expire."""
        if early and self.fleet.sends:
            wait = self.fleet.sends[0][0] + WINDOW - early - self.fleet.now
        self.fleet.advance(wait)
        self.fleet.ask(self.pick_hosts(picks), count, is_sent=True)

    @stateful.rule(picks=GROUPS, count=COUNTS, state=STATES)
    def ask(self, picks, count, state):
        batch = self.fleet.ask(self.pick_hosts(picks), count)
        if state == 'rejected':
            self.fleet.send(batch, state)
        batch.state = state

    @stateful.precondition(lambda self: self.fleet.batches)
    @stateful.rule(pick=PICKS, age=AGES)
    def finish(self, pick, age):
        """Send, repeat or refund requests of that age, then flood."""
        batch = self.fleet.batches[-1 - pick % len(self.fleet.batches)]
        self.fleet.advance(batch.changed_at + age - self.fleet.now)
        match batch.state:
            case 'waiting':
                self.fleet.send(batch)
            case 'ran':
                self.fleet.repeat(batch)
            case _:
                self.fleet.refund(batch)
        self.fleet.ask(self.pick_hosts(range(12)), 120, is_sent=True)

    @disturbed_rule(
        pick=PICKS, link=strategies.sampled_from(('ok', 'cut', 'late'))
    )
    def change_link(self, pick, link):
        self.fleet.is_calm = False
        self.pick_host(pick).link = link

    @stateful.precondition(lambda self: self.fleet.late)
    @stateful.rule(pick=PICKS, is_doubled=strategies.booleans())
    def deliver(self, pick, is_doubled):
        self.fleet.deliver(pick, is_doubled=is_doubled)

    @disturbed_rule(pick=PICKS)
    def freeze_or_thaw(self, pick):
        self.fleet.is_calm = False
        host = self.pick_host(pick)
        host.is_frozen = not host.is_frozen

    @disturbed_rule(pick=PICKS)
    def write_checkpoint(self, pick):
        for host in self.pick_hosts([pick]):
            self.fleet.saved = host.ledger.checkpoint()

    @disturbed_rule(
        picks=GROUPS,
        pause=WAITS,
        found=strategies.sampled_from(('newest', 'absent', 'unread')),
        names=strategies.sampled_from(('kept', 'new', 'new after leaving')),
    )
    def restart(self, picks, pause, found, names):
        """End entries and start as many, under the same or under new names."""
        self.fleet.is_calm = False
        ended = dict.fromkeys(map(self.pick_host, sorted(picks)))
        for host in ended:
            self.fleet.end_host(host, is_planned=names == 'new after leaving')
        self.fleet.advance(pause)
        for host in ended:
            name = host.name if names == 'kept' else None
            started = self.fleet.start_host(name)
            if found != 'unread':
                is_newest = found == 'newest'
                started.ledger.restore(self.fleet.saved if is_newest else None)

    @disturbed_rule(
        pick=PICKS, step_s=strategies.sampled_from((-30, -1, 1, 30))
    )
    def step_clock(self, pick, step_s):
        self.fleet.is_calm = False
        self.fleet.clock_offsets[self.pick_host(pick).name] += step_s

    @stateful.rule(
        limit=strategies.sampled_from((LIMIT // 2, LIMIT)),
        picks=GROUPS,
    )
    def change_limit(self, limit, picks):
        """Change the limit, which only some entries learn of."""
        if limit != self.fleet.limits[-1][0]:
            self.fleet.limits.append([limit, None])
        for host in self.pick_hosts(picks):
            host.limit = limit
        self.fleet.note_limits()
