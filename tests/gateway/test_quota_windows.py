"""Use stays within the quota in every sliding window, whatever is lost."""

import dataclasses

import pytest

from citronjunction.gateway import models, quota_past, quota_peers, quotas
from tests.support import platform_system

RATE = 40.0
BURST = 20.0
WINDOW_S = 8.0
LIMIT = RATE * WINDOW_S + BURST
# The deployments allow a tenth more, and 140,000 tokens (0.18 of their limits).
ALLOWED = LIMIT * 1.28
USUAL = RATE / 1.8
FLOOD = USUAL * 7.5
SEEDS = 3  # entries to which the others link first after a start
LINKING_S = 1.25  # in which dials between the others are refused
STEP_S = 0.01
ORG = models.Organisation(
    'org', None, models.Quota(RATE, BURST, models.QuotaUnit.requests, 1)
)
TENANT = {
    'name': 'org',
    'apiKeys': ['key-org'],
    'ratePerS': RATE,
    'burst': BURST,
}


def measure_worst_window(times):
    """Return the largest number of times within the window's length."""
    ordered = sorted(times)
    return max(
        sum(start <= at < start + WINDOW_S for at in ordered[first:])
        for first, start in enumerate(ordered)
    )


class Flood:
    """Send one organisation's requests to entries that are alive in turn."""

    def __init__(self, seed=0, entries=7):
        self.deployed = platform_system.LinkedSystem(seed)
        self.deployed.configuration['tenants'] = [TENANT]
        self.deployed.build(workers=4, gateways=entries)
        self.world = self.deployed.world
        self.credit = 0.0
        self.sent = 0

    def run(self, seconds, rate):
        """Send ``rate`` requests a second."""
        for _ in range(round(seconds / STEP_S)):
            self.credit += rate * STEP_S
            while self.credit >= 1:
                self.credit -= 1
                self._send()
            self.world.run(STEP_S)

    def lose_holder(self):
        """Kill the holder of the duties for good."""
        for name, gateway in tuple(self.deployed.gateways.items()):
            if gateway.lease_client.get_fence() is not None:
                self.deployed.gateway_hosts[name].kill()
                self.deployed.gateways.pop(name)
                return

    def restart_all(self, down_s=0.5):
        for name in self.deployed.gateways:
            self.deployed.gateway_hosts[name].kill()
        self.world.run(down_s)
        for name in tuple(self.deployed.gateways):
            self.deployed.add_gateway(name)

    def restart_all_with_late_links(self):
        """Let all entries link to the seeds only at first."""
        late = sorted(self.deployed.gateways)[SEEDS:]
        self.world.refuse(late, late)
        self.restart_all()
        self.run(LINKING_S, FLOOD)
        self.world.heal()

    def measure_worst_window(self):
        return measure_worst_window(
            at
            for worker in self.deployed.workers.values()
            for at in worker.arrived_at
        )

    def _send(self):
        names = list(self.deployed.gateways)
        self.sent += 1
        name = names[self.sent % len(names)]
        if self.deployed.gateway_hosts[name].is_alive:
            self.deployed.send('/safe/x', gateway=name)


def press(limiter, now, admitted):
    """Ask at one time until refused; add the times of what is admitted."""
    charges = []
    while isinstance(charge := limiter.admit(ORG, 1, now), quotas.Charge):
        admitted.append(now)
        charges.append(charge)
    return charges


class Group:
    """Linked entries that start at a time and know the use before it."""

    def __init__(self, now, *names):
        self.by_name = {name: quotas.Quotas(WINDOW_S, now) for name in names}
        for limiter in self.by_name.values():
            limiter.is_past_use_known = True
        exchange_reports(now, self)
        exchange_reports(now + 0.25, self)


def save(group, writer, now):
    """Return what a checkpoint of a member holds, read at once."""
    totals = {
        name: quota_peers.UseReport(1, dict(limiter.used))
        for name, limiter in group.by_name.items()
    }
    used = group.by_name[writer].export(now)
    return quota_past.SavedUse(used, 0, totals=totals)


def restore(group, saved, age_s, now):
    aged = dataclasses.replace(saved, age_s=age_s)
    for limiter in group.by_name.values():
        limiter.restore(aged, now)


def exchange_reports(now, *groups):
    """Let all entries of the groups report to each other."""
    linked = {
        name: own for group in groups for name, own in group.by_name.items()
    }
    for name, own in linked.items():
        for other, limiter in linked.items():
            if other != name:
                report = quota_peers.UseReport(1, dict(own.used))
                limiter.record_report(name, report, now)


@pytest.mark.parametrize('seed', range(3))
# Entries that restart together and link late forget what the others admitted.
def test_use_before_restarted_entries_are_linked_counts(seed):
    flood = Flood(seed)
    flood.run(4, USUAL)
    flood.lose_holder()
    flood.run(4, USUAL)
    flood.deployed.add_gateway('gateway-7')
    flood.run(6, USUAL)
    flood.run(1.5, FLOOD)
    flood.restart_all_with_late_links()
    flood.run(8, FLOOD)

    assert flood.measure_worst_window() <= ALLOWED


@pytest.mark.parametrize('seed', range(3))
# All entries end as a flood begins, which the last checkpoint does not show.
def test_a_flood_that_begins_after_the_last_checkpoint_counts(seed):
    flood = Flood(seed)
    flood.run(14, USUAL)
    flood.run(0.5, FLOOD)
    flood.restart_all()
    flood.run(8, FLOOD)

    assert flood.measure_worst_window() <= ALLOWED


# Entries that start in two groups drop what the other group used before.
def test_the_first_report_of_a_peer_that_started_as_late_counts():
    admitted = []
    here, there = Group(0.0, 'a', 'b'), Group(0.0, 'c', 'd')
    press(here.by_name['a'], 0.5, admitted)
    exchange_reports(1.0, here, there)
    exchange_reports(1.25, here, there)
    press(there.by_name['c'], 1.5, admitted)

    assert measure_worst_window(admitted) <= ALLOWED


# Entries that hear the seeds but not each other each use the seeds' shares too.
def test_entries_that_hear_overlapping_peers_share_one_quota():
    admitted = []
    seeds = [f'seed-{number}' for number in range(SEEDS)]
    others = [f'other-{number}' for number in range(4)]
    by_name = Group(0.0, *seeds, *others).by_name
    for now in (1.0, 1.25, 1.5, 1.75):
        for name in others:
            for seed in seeds:
                report = quota_peers.UseReport(1, {})
                by_name[name].record_report(seed, report, now)
    for name in others:
        press(by_name[name], 2.0, admitted)

    assert measure_worst_window(admitted) <= ALLOWED


# Frozen entries go on and take the old reports that they find for new ones.
def test_reports_that_waited_while_an_entry_was_frozen_are_old():
    admitted = []
    running, frozen = Group(0.0, 'a', 'b'), Group(0.0, 'c', 'd', 'e')
    for now in (1.0, 1.25, 1.5):
        exchange_reports(now, running, frozen)
    for limiter in frozen.by_name.values():
        limiter.peers.expect_activity(1.5, 0.25)
    press(running.by_name['a'], 3.0, admitted)
    for limiter in frozen.by_name.values():
        for name in running.by_name:
            report = quota_peers.UseReport(1, {})
            limiter.record_report(name, report, 4.0)
        press(limiter, 4.0, admitted)

    assert measure_worst_window(admitted) <= LIMIT


# What a separated group used last leaves the window last.
def test_use_before_late_links_counts_until_it_has_left_the_window():
    admitted = []
    here, there = Group(0.0, 'a', 'b'), Group(0.0, 'c', 'd')
    for limiter in (*here.by_name.values(), *there.by_name.values()):
        limiter.peers.expected_entries = 4
    exchange_reports(19.75, here)
    press(here.by_name['a'], 20.0, admitted)
    for now in (20.25, 20.5, 27.25, 27.5):
        exchange_reports(now, here, there)
    press(there.by_name['c'], 27.5, admitted)

    assert measure_worst_window(admitted) <= LIMIT


# The report of an entry that started again is taken for that of the one before.
@pytest.mark.parametrize(('incarnation', 'unknown'), [(1, 0.25), (2, 0.5)])
def test_a_restarted_peer_does_not_tell_the_use_before_its_start(
    incarnation, unknown
):
    old = Group(0.0, 'a')
    saved = save(old, 'a', 100.0)
    (limiter,) = Group(105.0, 'b').by_name.values()
    limiter.apply([ORG])
    limiter.restore(dataclasses.replace(saved, age_s=5.0, entries=2), 105.0)

    report = quota_peers.UseReport(incarnation, {}, sequence=1)
    limiter.record_report('a', report, 105.1)

    balance = limiter.measure(ORG.name, 105.1)
    assert balance.unknown == pytest.approx(unknown * LIMIT, abs=2)


# A new entry learns neither from the checkpoint nor from the first reports
# what was used between the two.
def test_use_between_the_checkpoint_and_the_first_report_counts():
    admitted = []
    old = Group(0.0, 'a', 'b')
    exchange_reports(100.0, old)
    saved = save(old, 'b', 100.0)
    press(old.by_name['a'], 100.5, admitted)
    new = Group(100.9, 'c')
    restore(new, saved, 0.9, 100.9)
    exchange_reports(101.0, old, new)
    exchange_reports(101.25, old, new)
    press(new.by_name['c'], 101.5, admitted)

    assert measure_worst_window(admitted) <= ALLOWED


# All entries end within a second after the checkpoint, in a new flood.
def test_unsaved_use_counts_after_the_restart_of_all_entries():
    admitted = []
    old = Group(0.0, 'a', 'b')
    exchange_reports(100.0, old)
    saved = save(old, 'b', 100.0)
    press(old.by_name['a'], 100.9, admitted)
    new = Group(101.4, 'a', 'b')
    restore(new, saved, 1.4, 101.4)
    press(new.by_name['b'], 102.0, admitted)

    assert measure_worst_window(admitted) <= ALLOWED


# The checkpoint is not written early, though all of the quota was used.
def test_a_flood_asks_for_an_early_checkpoint():
    old = Group(0.0, 'a', 'b')
    old.by_name['b'].apply([ORG])
    exchange_reports(100.0, old)
    save(old, 'b', 100.0)
    press(old.by_name['a'], 100.1, [])
    assert not old.by_name['b'].has_unsaved_use()
    exchange_reports(100.15, old)

    assert old.by_name['b'].has_unsaved_use()
    save(old, 'b', 100.2)
    assert not old.by_name['b'].has_unsaved_use()


# A refund outlives its charge in the window and is credit until it expires.
def test_a_late_refund_gives_no_credit():
    admitted = []
    group = Group(0.0, 'a', 'b')
    limiter = group.by_name['a']
    charges = press(limiter, 0.1, [])
    assert len(charges) == LIMIT
    for charge in charges:
        limiter.refund(charge, 7.5)
    exchange_reports(8.2, group)
    press(limiter, 8.3, admitted)

    assert measure_worst_window(admitted) <= LIMIT


# A bucket leaves the window up to its length before its youngest use.
def test_use_is_counted_for_the_whole_window():
    admitted = []
    group = Group(0.0, 'a', 'b')
    limiter = group.by_name['a']
    press(limiter, 0.24, admitted)
    exchange_reports(8.0, group)
    press(limiter, 8.01, admitted)

    assert measure_worst_window(admitted) <= LIMIT
