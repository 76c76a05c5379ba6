"""Quotas hold in every window, whatever happens to entries and reports.

``QUOTA_EXAMPLES=2000 pytest tests/gateway/test_quota_machine.py`` draws that
many examples of each run, with a new seed each time, and shrinks a break.
"""

import os

import hypothesis
import pytest
from hypothesis import stateful

from tests.gateway import quota_machine

EXAMPLES = int(os.environ.get('QUOTA_EXAMPLES', '0'))
PHASES = (hypothesis.Phase.generate, hypothesis.Phase.shrink)
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES or 150,
    derandomize=not EXAMPLES,
    database=None,
    deadline=None,
    stateful_step_count=25,
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=PHASES if EXAMPLES else PHASES[:1],
)
# Stops at the first break.
SEARCH = hypothesis.settings(SETTINGS, max_examples=EXAMPLES or 1000)
KNOWN_RED = pytest.mark.xfail(
    strict=True,
    raises=quota_machine.QuotaBrokenError,
    reason='KNOWN-RED: quota accounting',
)


class SlicedLedger:
    """Spend an equal part of the limit, booked as it is sent.

    This simplest ledger that keeps the limit shows that the machine can pass.
    """

    def __init__(self, host):
        self.host = host
        self.started_at = host.fleet.now
        self.booked = []
        self.heard = {}
        self.wants_report = False

    def admit(self, request):
        return self.fits(request)

    def fits(self, request):
        now = self.host.fleet.now
        if now - self.started_at < quota_machine.WINDOW:
            return False
        oldest = now - quota_machine.WINDOW
        used = sum(
            cost for at, cost, _ in self.booked if self.round(at) > oldest
        )
        return used + request.cost <= self.host.limit / self.count_slices()

    def send(self, request):
        is_sent = self.fits(request)
        if is_sent:
            self.book(request, request.cost)
        return is_sent

    def repeat(self, request):
        return SlicedLedger.send(self, request)

    def refund(self, request):
        self.booked = [kept for kept in self.booked if kept[2] is not request]

    def report(self):
        return self.host.name

    def receive(self, report):
        self.heard[report] = self.host.fleet.now

    def restore(self, saved):
        """Ignore the checkpoint: a new entry waits for a window."""

    def checkpoint(self):
        return None

    def expire(self):
        """Keep everything."""

    def note_leaving(self, name):
        """Keep the peer's slice."""

    def round(self, at):
        return at

    def count_slices(self):
        return self.host.fleet.size

    def book(self, request, cost):
        self.booked.append((self.host.fleet.now, cost, request))


class RefundsNow(SlicedLedger):
    """Book a refund at the time of the refund."""

    def refund(self, request):
        if any(kept[2] is request for kept in self.booked):
            self.book(request, -request.cost)


class ExpiresByBucket(SlicedLedger):
    """Expire use by the start of its bucket."""

    def round(self, at):
        return at - at % quota_machine.REPORT_INTERVAL


class BooksAtAdmission(SlicedLedger):
    """Book a request as it is admitted, however late it is sent."""

    def admit(self, request):
        return super().send(request)

    def send(self, request):
        return True


class RepeatsFree(SlicedLedger):
    """Book the first send of a request only."""

    def repeat(self, request):
        return True


class RestartsFresh(SlicedLedger):
    """Serve at once after a start, without the use before."""

    def __init__(self, host):
        super().__init__(host)
        self.started_at -= quota_machine.WINDOW


class GivesSharesAway(SlicedLedger):
    """Divide the limit among the peers that report."""

    def count_slices(self):
        oldest = self.host.fleet.now - 4 * quota_machine.REPORT_INTERVAL
        return 1 + sum(at >= oldest for at in self.heard.values())


def play(ledger_class, settings):
    machine_class = type(
        'Machine',
        (quota_machine.QuotaMachine,),
        {'ledger_class': ledger_class},
    )
    stateful.run_state_machine_as_test(machine_class, settings=settings)


def test_equal_slices_keep_the_limit():
    play(SlicedLedger, SETTINGS)


@pytest.mark.parametrize('ledger_class', SlicedLedger.__subclasses__())
def test_a_broken_ledger_is_found(ledger_class):
    with pytest.raises(quota_machine.QuotaBrokenError):
        play(ledger_class, SEARCH)


@KNOWN_RED
def test_quotas_hold():
    play(quota_machine.Ledger, SETTINGS)


@pytest.fixture
def fleet():
    return quota_machine.Fleet(2, quota_machine.Ledger)


@KNOWN_RED
def test_a_refund_after_the_charge_has_expired_frees_nothing(fleet):
    fleet.advance(10)
    batch = fleet.ask(fleet.hosts[:1], 80)
    fleet.send(batch, 'rejected')
    fleet.advance(735)
    fleet.refund(batch)
    fleet.advance(80)
    fleet.ask(fleet.hosts[:1], 160, is_sent=True)

    assert fleet.worst == quota_machine.LIMIT


@KNOWN_RED
def test_use_leaves_the_window_no_sooner_than_its_youngest_request(fleet):
    fleet.advance(24)
    fleet.ask(fleet.hosts[:1], 80, is_sent=True)
    fleet.advance(772)
    fleet.ask(fleet.hosts[:1], 160, is_sent=True)

    assert fleet.worst == quota_machine.LIMIT


@KNOWN_RED
def test_requests_sent_late_count_when_they_are_sent(fleet):
    batch = fleet.ask(fleet.hosts, 80)
    fleet.advance(quota_machine.WINDOW)
    fleet.ask(fleet.hosts, 80, is_sent=True)
    fleet.send(batch)


@KNOWN_RED
def test_repeats_after_a_run_count(fleet):
    batch = fleet.ask(fleet.hosts, 80, is_sent=True)
    fleet.repeat(batch)


@KNOWN_RED
def test_a_peer_that_hears_but_is_not_heard_spends_its_share_only(fleet):
    fleet.is_calm = False
    fleet.hosts[0].link = 'late'
    fleet.advance(150)
    for host in fleet.hosts:
        fleet.ask([host], 80, is_sent=True)


def restart(fleet, hosts, saved):
    fleet.is_calm = False
    for host in hosts:
        fleet.end_host(host)
    for host in hosts:
        fleet.start_host(host.name).ledger.restore(saved)


@KNOWN_RED
def test_use_after_an_old_checkpoint_counts_after_a_restart(fleet):
    saved = fleet.hosts[0].ledger.checkpoint()
    fleet.ask(fleet.hosts, 80, is_sent=True)
    restart(fleet, tuple(fleet.hosts), saved)
    fleet.ask(fleet.hosts, 80, is_sent=True)


@KNOWN_RED
def test_an_entry_without_a_checkpoint_counts_the_use_of_its_peers(fleet):
    fleet.ask(fleet.hosts, 80, is_sent=True)
    restart(fleet, fleet.hosts[:1], None)
    fleet.advance(quota_machine.REPORT_INTERVAL)
    fleet.ask(fleet.hosts, 80, is_sent=True)
