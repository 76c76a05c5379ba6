"""Short seeded runs of the virtual soak, and broken variants that it finds."""

import dataclasses
import subprocess
import sys

import pytest

from citronjunction.gateway import forwarding, limits, quotas
from citronjunction.transport import http_client, sockets
from soak.virtual import drawing, playing, quota_rule, rules, served


def test_the_same_seed_draws_the_same_faults():
    assert drawing.draw(7, 30.0) == drawing.draw(7, 30.0)
    assert drawing.draw(7, 30.0) != drawing.draw(8, 30.0)


def test_all_kinds_of_faults_are_drawn():
    drawn = {
        fault.kind for seed in range(40) for fault in drawing.draw(seed, 30)
    }

    assert drawn == set(drawing.Kind)


def test_the_first_version_of_the_draw_stays_playable():
    faults = drawing.draw(141, 30.0, version=1)

    assert {fault.kind for fault in faults} <= set(drawing.FIRST_KINDS)
    assert len(faults) == 27
    assert str(faults[12]) == ' 12.55 s burst 274 for 8.54 s (0.66)'


def test_an_organisation_is_hot_in_every_seed():
    for seed in range(40):
        kinds = [fault.kind for fault in drawing.draw(seed, 30.0)]
        assert drawing.Kind.hot in kinds


@pytest.mark.parametrize('draw', ['1', '2', '3'])
def test_short_runs_violate_no_invariant(draw):
    command = ['-m', 'soak', 'search', '--runs', '8', '--jobs', '1']
    command += ['--draw', draw]
    searched = subprocess.run(
        [sys.executable, *command, '--seconds', '20'],
        capture_output=True,
        text=True,
        check=False,
    )

    assert searched.returncode == 0, searched.stdout + searched.stderr
    assert searched.stdout.count('first tries served') == 8


def test_short_runs_with_an_upgrade_violate_no_invariant():
    for seed in (1, 2, 3):
        report = playing.play(
            playing.Plan(seed, seconds=20, draw=1, old='f5a3360')
        )
        assert not report.violations, report.summarise()
        assert len(report.record.requests) > 1000


def test_short_runs_in_which_cuts_hold_bytes_up_violate_no_invariant():
    for seed in (1, 2, 28):
        report = playing.play(playing.Plan(seed, seconds=20, holds_bytes=True))
        assert not report.violations, report.summarise()
        assert report.record.calls


def find_violation(rule, seeds, draw=2, **options):
    """Return whether a run of the seeds violates a rule."""
    return any(
        list(
            rule(playing.play(playing.Plan(seed, draw=draw, **options)).record)
        )
        for seed in seeds
    )


def test_calls_that_are_sent_on_after_they_were_given_up_are_found(monkeypatch):
    build_call = http_client.Call

    def build_plain(*args, has_expired=None, **options):
        if has_expired is not None:
            options.pop('max_idle_s')
        return build_call(*args, **options)

    monkeypatch.setattr(http_client, 'Call', build_plain)
    monkeypatch.setattr(
        sockets.Connection, 'set_reset_at_close', lambda *_, is_reset: None
    )

    assert find_violation(
        rules.check_one, (28,), drawing.CURRENT, holds_bytes=True
    )


def test_entries_that_ignore_limits_are_found(monkeypatch):
    monkeypatch.setattr(
        limits.RateLimits, 'get_wait_s', lambda table, start_key, now: 0
    )

    assert find_violation(rules.check_limit, range(1, 9))


def test_entries_that_forward_nothing_are_found(monkeypatch):
    monkeypatch.setattr(
        forwarding.Forwarder, 'is_needed', lambda forwarder, *state: False
    )

    # The seeds that show it come first.
    assert find_violation(rules.check_recover, (39, 36, 40, 56, 6, 7, 8, 1))


def test_entries_that_ignore_the_use_of_peers_are_found(monkeypatch):
    record_report = quotas.Quotas.record_report
    monkeypatch.setattr(
        quotas.Quotas,
        'record_report',
        lambda limiter, name, report, now: record_report(
            limiter, name, dataclasses.replace(report, used={}), now
        ),
    )

    assert find_violation(quota_rule.check_quota, range(1, 4))


def test_the_share_of_the_limit_that_is_served_is_measured():
    judged = served.judge(
        playing.Plan(1, entries=3, seconds=20.0, quota_slack=0), factor=0.5
    )

    assert not judged.violations
    assert 0.45 < min(judged.served) <= max(judged.ran) < 0.55


def test_a_third_of_the_entries_is_disturbed_in_each_round():
    faults = served.draw_outages(playing.Plan(1, entries=7, seconds=31.0))

    assert len(faults) == 2 * 3
    assert {fault.kind for fault in faults} <= set(served.OUTAGES)
