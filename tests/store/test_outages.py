"""Outages of the whole store are told from those of one entry."""

import pytest

from citronjunction.store import outages


def play(answers, end_at=10.0):
    """Return whether an outage from 0 on counts as one of the whole store."""
    outage = outages.Outage()
    outage.begin('servers', 0.0)
    for at in answers:
        outage.record_answer(at)
    return outage.end('servers', end_at)


def test_an_outage_in_which_no_peer_was_answered_is_one_of_all():
    assert play([])


def test_an_outage_in_which_a_peer_was_answered_is_an_own_one():
    assert not play([4.0, 5.5, 9.9])


@pytest.mark.parametrize('at', [0.0, 0.4])
def test_what_was_written_before_the_outage_does_not_count(at):
    assert play([at])


@pytest.mark.parametrize('at', [8.1, 9.9])
def test_what_was_written_after_the_outage_does_not_count(at):
    assert play([at])


def test_an_outage_begins_with_the_first_kind_and_ends_with_each():
    outage = outages.Outage()
    outage.record_answer(-5.0)
    outage.begin('config', 0.0)
    outage.record_answer(3.0)
    outage.begin('servers', 4.0)
    assert not outage.end('servers', 6.0)
    assert not outage.end('config', 6.0)
    outage.begin('config', 20.0)
    assert outage.end('config', 30.0)
