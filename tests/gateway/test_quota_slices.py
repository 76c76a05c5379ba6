"""Use far below a limit in a large fleet of which a few entries serve."""

import random

import pytest

from citronjunction.gateway import models, quota_peers, quotas

ENTRIES = 90
SERVING = 8
PERIOD_S = 0.25
STANDBY_PERIOD_S = 5.4
STEP_S = 0.05
WINDOW_S = 8.0
COST = 12_000.0  # a prompt of the largest kind


class Entry:
    """Hold the quotas of one entry and report to the others."""

    def __init__(self, number, organisation):
        self.name = f'e{number}'
        self.period_s = PERIOD_S if number < SERVING else STANDBY_PERIOD_S
        self.quotas = quotas.Quotas(WINDOW_S, 0)
        self.quotas.is_past_use_known = True
        self.quotas.peers.expected_entries = SERVING
        self.quotas.apply([organisation])
        self.quotas.on_unreported_use = self.want_report
        self.sequence = 0
        self.due_at = STEP_S

    def want_report(self):
        self.due_at = 0

    def report(self, now):
        self.sequence += 1
        self.due_at = now + self.period_s
        self.quotas.clear_unreported()
        # The first reports come before any entry has chosen who serves.
        return quota_peers.UseReport(
            1,
            dict(self.quotas.used),
            self.period_s,
            self.sequence,
            is_serving=self.sequence == 1 or self.period_s == PERIOD_S,
        )


def play(limit, share, *, chosen_at, seed=0):
    """Ask serving entries after a start of all; return asked and refused."""
    source = random.Random(seed)
    quota = models.Quota(limit / WINDOW_S, 0, models.QuotaUnit.tokens, COST)
    organisation = models.Organisation('org', None, quota)
    entries = [Entry(number, organisation) for number in range(ENTRIES)]
    standbys = {entry.name for entry in entries[SERVING:]}
    asked = refused = 0
    for step in range(1, round(STANDBY_PERIOD_S / STEP_S)):
        now = step * STEP_S
        for entry in entries:
            if entry.due_at <= now:
                tell(entry, entries, now)
            if now >= chosen_at:
                entry.quotas.peers.apply_roles(standbys, now)
        if source.random() < share * limit / WINDOW_S / COST * STEP_S:
            asked += 1
            entry = source.choice(entries[:SERVING])
            admission = entry.quotas.admit(organisation, COST, now)
            refused += isinstance(admission, quotas.QuotaExceeded)
    return asked, refused


def tell(entry, entries, now):
    report = entry.report(now)
    for peer in entries:
        if peer is not entry:
            peer.quotas.record_report(entry.name, report, now)


@pytest.mark.parametrize('seed', range(3))
def test_standbys_of_a_fresh_start_count_for_nothing(seed):
    # All entries were killed and started; eight of 90 serve from 0.5 s on.
    asked, refused = play(850_000, 0.35, chosen_at=0.5, seed=seed)

    assert asked >= 10
    assert not refused


def test_a_late_standby_counts_still():
    quota = models.Quota(1000, 0, models.QuotaUnit.tokens, 1)
    organisation = models.Organisation('org', None, quota)
    limits = quotas.Quotas(WINDOW_S, 0)
    limits.apply([organisation])
    limits.record_report('peer', quota_peers.UseReport(1, {}, 0.25, 1), 0)
    limits.peers.apply_roles({'peer'}, 0.5)
    limits.admit(organisation, 100, 0.5)

    assert limits.peers.by_name['peer'].report.is_serving
    assert limits.measure('org', 0.6).assumed >= 100
