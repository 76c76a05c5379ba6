"""Crash suspects: two workers at most, and not the innocent."""

from citronjunction.attempts import suspects
from citronjunction.conf import models as conf


def build():
    return suspects.Suspects(conf.Attempts())


def crash(held, worker, run_time_s, now):
    if held.is_likely_cause(7, run_time_s, now):
        held.record_crash(7, frozenset((worker,)), now, run_time_s)


def test_two_crashes_refuse_a_request_for_a_while():
    held = build()
    crash(held, 'w1', 0.1, 0)
    assert held.is_suspect(7, 1)
    assert not held.is_refused(7, 1)
    crash(held, 'w2', 0.1, 2)
    assert held.is_refused(7, 3)
    assert not held.is_refused(7, 3 + 600)


def test_the_same_crash_told_twice_counts_once():
    held = build()
    crash(held, 'w1', 0.1, 0)
    crash(held, 'w1', 0.1, 1)
    assert not held.is_refused(7, 2)


def test_a_request_that_crashes_late_each_time_is_refused():
    held = build()
    crash(held, 'w1', 10, 0)
    crash(held, 'w2', 11, 20)
    assert held.is_refused(7, 21)


def test_a_request_that_outlived_its_first_crash_is_not_refused():
    held = build()
    crash(held, 'w1', 0.3, 0)
    crash(held, 'w2', 5, 6)
    assert not held.is_refused(7, 7)


def test_fingerprints_are_of_one_organisation():
    one = suspects.compute_fingerprint('a', '/p', b'body')
    other = suspects.compute_fingerprint('b', '/p', b'body')
    assert one != other
