"""Ejection of a worker that fails for some requests, seen by many entries."""

import pytest

from citronjunction.gateway import health
from tests.support import platform_system

ENTRIES = 6


def play(held, pattern, start=0.0, gap_s=0.1):
    """Note answers ('.') and failures ('x'); return when it was ejected."""
    for number, mark in enumerate(pattern):
        now = start + number * gap_s
        if mark == '.':
            held.record_success(now)
        elif held.record_failure(now):
            return now
    return None


def test_failures_in_a_row_eject():
    assert play(health.Health(), 'x.xxx') == pytest.approx(0.4)


def test_most_requests_failing_eject_though_never_three_in_a_row():
    assert play(health.Health(), 'xx.xx.xx.xx.') is not None


def test_usual_errors_do_not_eject():
    assert play(health.Health(), '......x' * 20) is None
    assert play(health.Health(), '.x' * 3 + '.' * 20) is None


def test_failures_that_peers_tell_count():
    held = health.Health()
    held.take_peers(4, 4)
    assert play(held, 'x') == 0.0


def test_answers_that_peers_tell_count_for_the_worker():
    held = health.Health()
    held.take_peers(30, 1)
    assert play(held, 'xx.xx.xx.xx.') is None


def test_old_failures_are_forgotten():
    held = health.Health()
    play(held, 'xx.xx.')
    assert play(held, 'x', start=health.WINDOW_S + 1) is None


def test_an_ejection_needs_new_failures_for_the_next():
    held = health.Health()
    play(held, 'xx.xx.x.')
    again = held.ejected_until
    assert play(held, 'x', start=again) is None
    assert held.measure(again) == (1, 1)


def test_a_worker_that_is_down_is_ejected_again_at_its_next_failure():
    held = health.Health()
    play(held, 'xxx')
    assert play(held, 'x', start=held.ejected_until) is not None


def test_entries_that_see_few_requests_eject_a_failing_worker_together():
    deployed = platform_system.PlatformSystem().build(
        workers=3,
        gateways=ENTRIES,
    )
    deployed.workers['app-0'].behaviour.failures_left = 1000
    for number in range(40):
        gateway = f'gateway-{number % ENTRIES}'
        deployed.send('/unsafe/x', gateway=gateway, method='POST')
        deployed.world.run(0.1)

    # Without a common view each entry meets it three times: 18 failures.
    assert len(deployed.workers['app-0'].runs) <= 10
