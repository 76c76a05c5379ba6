"""Entries that share a quota on a fake clock, judged by what workers ran.

``Ledger`` is the only class here that knows the interface of the product.
"""

import bisect
import collections
import dataclasses
import itertools

from citronjunction.gateway import models, quota_past, quota_peers, quotas

TICKS_PER_S = 100
WINDOW = 8 * TICKS_PER_S
REPORT_INTERVAL = 25
MIN_REPORT_INTERVAL = 5
CHECKPOINT_INTERVAL = 100
LONGEST_FAULT = 50 * TICKS_PER_S
LIMIT = 800  # tokens in a window
OVERRUN = 0.1
SLACK = 0.2  # share of the limit
COST = 5
FLOOD = 240  # requests that ask for more than the limit
PACE = 2  # ticks between requests in a flood of 2.5 times the limit
DELAY = 100  # of reports on slow links
LATE_REFUND = 100  # before a charge leaves the window
EPSILON_S = 1e-9  # between events of one tick


class QuotaBrokenError(AssertionError):
    """Workers ran more than a quota allows in some window."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Store a request; it counts once, at the time when it was asked."""

    host: 'Host'
    asked_at: int
    cost: float
    has_run: bool = False
    charge: quotas.Charge | None = None


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
        self.quotas.peers.count_live = host.count_live
        self.quotas.on_unreported_use = self._want_report
        self.wants_report = False
        self.incarnation = int(host.now_s() * 1e9)
        self.sequence = 0
        # Gossip delivers no report of an earlier incarnation.
        self.incarnations = {}
        self.apply()

    def apply(self):
        """Apply the limit that the host knows."""
        rate = self.host.limit * TICKS_PER_S / WINDOW
        quota = models.Quota(rate, 0, models.QuotaUnit.tokens, COST)
        self.organisation = models.Organisation('org', None, quota)
        self.quotas.apply([self.organisation])

    def admit(self, request):
        admission = self.quotas.admit(
            self.organisation, request.cost, self.host.now_s()
        )
        if isinstance(admission, quotas.Charge):
            request.charge = admission
        return request.charge is not None

    def refund(self, request):
        self.quotas.refund(request.charge, self.host.now_s())

    def report(self):
        self.sequence += 1
        self.wants_report = False
        self.quotas.clear_unreported()
        report = quota_peers.UseReport(
            self.incarnation, dict(self.quotas.used), sequence=self.sequence
        )
        return self.host.name, report

    def receive(self, name, report):
        if report.incarnation >= self.incarnations.get(name, 0):
            self.incarnations[name] = report.incarnation
            self.quotas.record_report(name, report, self.host.now_s())

    def note_leaving(self, name):
        self.quotas.peers.mark_leaving(name)

    def expire(self):
        self.quotas.peers.expire(self.host.now_s())

    def is_checkpoint_due(self, waited):
        is_due = waited >= CHECKPOINT_INTERVAL or self.quotas.has_unsaved_use()
        return is_due and self.quotas.is_past_use_known

    def checkpoint(self):
        own = quota_peers.UseReport(self.incarnation, dict(self.quotas.used))
        totals = self.quotas.peers.export()
        totals[self.host.name] = own
        used = self.quotas.export(self.host.now_s())
        entries = self.host.count_live()
        return quota_past.SavedUse(used, 0, entries=entries, totals=totals)

    def restore(self, saved, age_s=0):
        """Restore a checkpoint; ``None`` means that the store has none."""
        if saved is None:
            self.quotas.is_past_use_known = True
        else:
            aged = dataclasses.replace(saved, age_s=age_s)
            self.quotas.restore(aged, self.host.now_s())

    def _want_report(self):
        self.wants_report = True


class Host:
    """Hold the state of one entry that its ledger doesn't see."""

    def __init__(self, fleet, name, ledger_class):
        self.fleet = fleet
        self.name = name
        self.limit = fleet.limits[-1][0]
        self.group = 0
        self.is_slow = False
        self.is_muted = False
        self.is_frozen = False
        self.reported_at = -1
        self.ledger = ledger_class(self)

    def now_s(self):
        moment = next(self.fleet.moments)
        return self.fleet.now / TICKS_PER_S + moment * EPSILON_S

    def count_live(self):
        return sum(host.group == self.group for host in self.fleet.hosts)


class Fleet:
    """Carry reports between entries and judge every request that ran.

    ``limits`` has each limit with the time from which all entries know a later
    one. Reports of and to a slow entry are late, those of a muted one are lost.
    """

    def __init__(self, count, ledger_class, cost=COST, write_ticks=0):
        self.ledger_class = ledger_class
        self.cost = cost
        self.write_ticks = write_ticks
        self.now = 100 * TICKS_PER_S
        self.moments = itertools.count()
        self.limits = [[LIMIT, None]]
        # Checkpoints with the time of their content.
        self.saved = collections.deque(maxlen=2)
        self.burst_at = 0
        self.parted_at = None
        self.healed_at = 0
        # Reports with the entry that reads them and the time.
        self.late = []
        self.batches = []
        self.ran = []
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
        if is_planned:
            self.publish(host)
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
                self._exchange()
                self._write_checkpoint()

    def publish(self, host):
        host.reported_at = self.now
        report = host.ledger.report()
        for peer in self.hosts:
            if peer is host or peer.group != host.group:
                continue
            if host.is_slow or peer.is_slow:
                self.late.append((self.now + DELAY, peer, report))
            elif peer.is_frozen:
                self.late.append((self.now, peer, report))
            elif not host.is_muted:
                peer.ledger.receive(*report)

    def deliver(self, late):
        """Deliver a late report, or lose it if the entry can't read it."""
        _, host, report = late
        if host in self.hosts and not host.is_frozen:
            host.ledger.receive(*report)

    def disturb(self):
        """Record that entries don't hear each other from now on."""
        self.is_calm = False
        self.advance(self.healed_at + REPORT_INTERVAL - self.now)
        self.parted_at = self.parted_at or self.now

    def heal(self):
        """Let all entries go on and hear each other again."""
        self.parted_at = None
        self.healed_at = self.now
        for host in self.hosts:
            host.group = 0
            host.is_slow = False
            host.is_muted = False
            host.is_frozen = False

    def ask(self, hosts, count, *, is_sent=False, pace=0):
        """Ask entries in turn, return what they admit.

        It waits unless it is sent immediately.
        """
        batch = Batch('ran' if is_sent else 'waiting', self.now)
        self.batches.append(batch)
        for number in range(count if hosts else 0):
            host = hosts[number % len(hosts)]
            request = Request(host, self.now, self.cost)
            if host.ledger.admit(request):
                batch.requests.append(request)
            self._publish_early(host)
            self.advance(pace)
        if not pace:
            self.burst_at = self.now
            self.advance(MIN_REPORT_INTERVAL)
            for host in hosts:
                self._publish_early(host)
        if is_sent:
            self.send(batch)
        return batch

    def press(self, hosts, times=2):
        """Flood entries before and after they have reported."""
        for _ in range(times):
            self.ask(hosts, FLOOD, is_sent=True)
            self.advance(REPORT_INTERVAL)

    def send(self, batch):
        """Send the requests to workers, again if they ran."""
        batch.state = 'ran'
        batch.changed_at = self.now
        for request in self._select_active(batch):
            if not request.has_run:
                request.has_run = True
                bisect.insort(self.ran, (request.asked_at, request.cost))
        self.judge()

    def refund(self, batch):
        self.batches.remove(batch)
        for request in self._select_active(batch):
            request.host.ledger.refund(request)

    def skip_late_refund(self, batch):
        """Wait if a charge might leave before its refund is reported."""
        for request in reversed(batch.requests):
            left = request.asked_at + WINDOW - self.now
            if -2 * REPORT_INTERVAL < left < LATE_REFUND:
                self.advance(left + 2 * REPORT_INTERVAL)

    def note_limits(self):
        """Record which limits no entry uses any more."""
        known = {host.limit for host in self.hosts}
        for entry in self.limits[:-1]:
            if entry[1] is None and known == {self.limits[-1][0]}:
                entry[1] = self.now

    def judge(self):
        """Compare what ran in each window with the limit."""
        oldest = self.now - 4 * WINDOW
        self.ran = [kept for kept in self.ran if kept[0] > oldest]
        costs = (cost for _, cost in self.ran)
        sums = list(itertools.accumulate(costs, initial=0))
        replaced = [entry[1] + 1 for entry in self.limits if entry[1]]
        for start in {at for at, _ in self.ran} | set(replaced):
            first = bisect.bisect_left(self.ran, (start, 0))
            after = bisect.bisect_left(self.ran, (start + WINDOW, 0))
            total = sums[after] - sums[first]
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

    def read_checkpoint(self):
        """Return the newest checkpoint in the store and its age."""
        at, saved = self._find_checkpoint()
        return saved, (self.now - at) / TICKS_PER_S

    def wait_for_checkpoint(self):
        """Let the store get a checkpoint with all bursts and entries."""
        last = max(self.burst_at, self.healed_at)
        while self._find_checkpoint()[0] <= last:
            self.advance(1)

    def _find_checkpoint(self):
        newest = self.now - self.write_ticks
        return next(kept for kept in reversed(self.saved) if kept[0] <= newest)

    def _exchange(self):
        for late in tuple(self.late):
            if late[0] <= self.now and not late[1].is_frozen:
                self.late.remove(late)
                self.deliver(late)
        if self.parted_at and self.now - self.parted_at > LONGEST_FAULT:
            self.heal()
        for host in self.hosts:
            if not host.is_frozen:
                host.ledger.expire()
                self.publish(host)

    def _write_checkpoint(self):
        writers = [host for host in self.hosts if not host.is_frozen]
        written_at = self.saved[-1][0] if self.saved else 0
        waited = self.now - written_at
        if writers and waited >= self.write_ticks:
            ledger = writers[0].ledger
            if ledger.is_checkpoint_due(waited):
                self.saved.append((self.now, ledger.checkpoint()))

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
