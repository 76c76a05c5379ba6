"""Quotas over partitions, restarts of single entries and odd checkpoints."""

import pytest

from citronjunction.gateway import models, quota_past, quota_peers, quotas
from tests.support import platform_system

WINDOW_S = 8.0
LIMIT = 1000.0
ORG = models.Organisation(
    'org', None, models.Quota(100.0, 200.0, models.QuotaUnit.requests, 1)
)


def make_entry(now, *, is_past_use_known=True):
    entry = quotas.Quotas(WINDOW_S, now)
    entry.is_past_use_known = is_past_use_known
    entry.apply([ORG])
    return entry


def press(entry, now, cost=1.0):
    """Ask at one time until refused; return what was admitted."""
    admitted = 0
    while isinstance(entry.admit(ORG, cost, now), quotas.Charge):
        admitted += cost
    return admitted


def report(entry, name, now, used=0.0, **fields):
    fields = {'incarnation': 1, 'sequence': 20000 + round(now * 100), **fields}
    message = quota_peers.UseReport(used={'org': used}, **fields)
    entry.record_report(name, message, now)


def exchange(entries, now):
    for name, own in entries.items():
        for other, entry in entries.items():
            if other != name:
                report(entry, name, now, own.used.get('org', 0))


@pytest.mark.parametrize('groups', [(6, 6), (3, 4), (11, 1)])
@pytest.mark.parametrize('parted_s', [1.0, 16.0])
# Entries of a partition that are used one after another exceed their part.
def test_groups_of_a_partition_keep_to_their_parts(groups, parted_s):
    entries = {
        f'e{number}': make_entry(-100.0) for number in range(sum(groups))
    }
    exchange(entries, -90.0)
    exchange(entries, 0.0)
    names = sorted(entries)
    sides = [names[: groups[0]], names[groups[0] :]]
    now = 0.0
    while now < parted_s:
        now += 0.25
        for side in sides:
            exchange({name: entries[name] for name in side}, now)
    admitted = 0
    for turn in range(max(groups)):
        now += 0.06
        for side in sides:
            exchange({name: entries[name] for name in side}, now)
            if turn < len(side):
                admitted += press(entries[side[turn]], now)

    assert admitted <= LIMIT * 1.1


# The first reports after a restart of all must not make the past count less.
def test_unknown_use_stays_after_the_restart_of_all_entries():
    totals = {
        name: quota_peers.UseReport(1, {'org': 50.0}) for name in ('a', 'b')
    }
    saved = quota_past.SavedUse({'org': []}, 5.0, entries=3, totals=totals)
    entry = make_entry(100.0)
    entry.restore(saved, 100.0)
    before = entry.measure('org', 100.2).unknown
    report(entry, 'a', 100.1, incarnation=2, sequence=1)
    report(entry, 'b', 100.1, incarnation=2, sequence=1)

    assert entry.measure('org', 100.2).unknown == before > 0


# What an entry used while it was cut off is in the window when it restarts.
def test_use_of_a_cut_off_peer_counts_when_it_starts_again():
    entry = make_entry(0.0)
    report(entry, 'peer', 90.0)
    report(entry, 'peer', 100.0)
    admitted = press(entry, 101.0)
    report(entry, 'peer', 101.5, incarnation=2, sequence=1)

    assert admitted + press(entry, 101.6) <= LIMIT / 2 * 1.1


# Without a checkpoint the use before a late first report is unknown as well.
def test_little_is_granted_for_a_window_after_a_late_first_report():
    entry = make_entry(0.0, is_past_use_known=False)
    report(entry, 'peer', 3.0, 900.0)
    report(entry, 'peer', 8.1, 900.0)

    assert press(entry, 8.2) <= LIMIT * quotas.UNKNOWN_USE_SHARE


# An entry that hears only those that stand by hears none that serves.
def test_entries_that_stand_by_do_not_stand_for_those_that_serve():
    entry = make_entry(100.0)
    saved = quota_past.SavedUse({}, 0.0, entries=12)
    entry.restore(saved, 100.0)
    for number in range(11):
        report(entry, f's{number}', 100.1, is_serving=False)

    assert press(entry, 100.2) <= LIMIT / 12


# A peer that was gone for long must not fill the window with old use.
def test_a_peer_that_returns_after_long_does_not_use_up_the_quota():
    entry = make_entry(0.0)
    totals = {'peer': quota_peers.UseReport(1, {'org': 50.0})}
    entry.restore(quota_past.SavedUse({}, 0.0, totals=totals), 0.0)
    report(entry, 'peer', 0.1, 50.0)
    entry.peers.expire(65.0)
    report(entry, 'peer', 65.0, 4000.0)

    assert press(entry, 65.1) > LIMIT / 4


def test_a_lone_entry_gets_the_whole_quota_in_the_end():
    entry = make_entry(0.0)

    assert press(entry, 100.0) == LIMIT


# The ages of saved use are wrong if the clock was.
def test_use_with_wrong_times_counts_as_unknown():
    entry = make_entry(100.0)
    entry.restore(quota_past.SavedUse({'org': [[0, 900.0]]}, 60.0), 100.0)
    for name in ('a', 'b'):
        report(entry, name, 100.1, sequence=1)
    entry.doubt_past(100.2)

    assert press(entry, 100.3) <= LIMIT * 0.15


def test_an_entry_that_knows_little_says_so_in_the_checkpoint():
    deployed = platform_system.PlatformSystem().build()
    deployed.world.run(12)
    gateway = next(iter(deployed.gateways.values()))
    gateway.services.quotas.is_past_use_known = False
    gateway.services.quotas.uncertain_since = deployed.world.now
    deployed.world.run(6)
    spec = deployed.store.objects[('citron-checkpoints', 'use')]['spec']

    assert spec['is_partial']


@pytest.mark.parametrize(
    'changes',
    [{'entries': 'x'}, {'totals': [1]}, {'totals': {'a': 3}}, {'at': None}],
)
# A checkpoint of another build must not stop an entry from starting.
def test_a_malformed_checkpoint_counts_as_unknown_use(changes):
    deployed = platform_system.PlatformSystem().build()
    deployed.world.run(6)
    key = ('citron-checkpoints', 'use')
    spec = {**deployed.store.objects[key]['spec'], **changes}
    deployed.store.put(*key, spec)
    gateway = deployed.add_gateway('gateway-9')
    deployed.world.run(0.2)

    assert not gateway.services.quotas.is_past_use_known
