"""The invariant of quotas: records that keep it and that break it by one."""

import pytest

from soak.virtual import history, quota_rule

LIMIT = 100


def make_uses(costs, first_at=10.0, gap_s=0.1, organisation='org'):
    return [
        history.Use(f'q{number}', organisation, cost, first_at + number * gap_s)
        for number, cost in enumerate(costs)
    ]


def check(uses, *, changes=((0.0, LIMIT),), slack=0, **fields):
    quotas = [history.QuotaChange('org', limit, at) for at, limit in changes]
    record = history.History(
        uses=uses, quotas=quotas, quota_slack=slack, **fields
    )
    return list(quota_rule.check_quota(record))


def make_request(name, sent_at):
    return history.Request(
        name, name, '/safe/', False, True, 'e0', sent_at, 3.0
    )


@pytest.mark.parametrize(
    ('slack', 'used', 'violations'),
    [(0, 110, 0), (0, 111, 3), (0.2, 130, 0), (0.2, 131, 3)],
)
def test_a_window_holds_the_limit_with_its_allowance(slack, used, violations):
    found = check(make_uses([50, used - 50]), slack=slack)

    assert len(found) == violations


@pytest.mark.parametrize(('gap_s', 'violations'), [(8.0, 0), (7.99, 3)])
def test_any_window_of_that_length_counts(gap_s, violations):
    uses = make_uses([60, 60], 13.37, gap_s)

    assert len(check(uses)) == violations


def test_the_use_of_other_organisations_does_not_count():
    uses = make_uses([110]) + make_uses([1], organisation='other')

    assert not check(uses)


def test_a_request_that_runs_again_counts_again_only_in_the_count_of_runs():
    uses = [history.Use('q', 'org', 56, at) for at in (10.0, 11.0)]

    (found,) = check(uses)

    assert found.endswith('(every run)')


def test_an_attempt_that_was_sent_before_the_window_is_left_out_of_one_count():
    uses = make_uses([56, 55], gap_s=7.0)
    requests = [make_request('q0', 8.9), make_request('q1', 17.0)]

    found = check(uses, requests=requests)

    assert len(found) == 2
    assert not any('sent in the window' in text for text in found)


@pytest.mark.parametrize(('started_at', 'violations'), [(29.99, 0), (30.0, 3)])
def test_a_lower_limit_binds_a_window_after_it_is_in_force(
    started_at, violations
):
    changes = ((0.0, LIMIT), (20.0, LIMIT / 2))

    assert (
        len(check(make_uses([56], started_at), changes=changes)) == violations
    )
    assert not check(make_uses([55], started_at), changes=changes)


@pytest.mark.parametrize(('started_at', 'violations'), [(35.99, 0), (36.0, 3)])
def test_a_lower_limit_is_not_in_force_until_entries_are_in_touch(
    started_at, violations
):
    changes = ((0.0, LIMIT), (20.0, LIMIT / 2))
    disturbed = history.Span(frozenset(('e0',)), 19.0, 25.0)

    found = check(
        make_uses([56], started_at), changes=changes, disturbances=[disturbed]
    )

    assert len(found) == violations


def test_a_higher_limit_may_be_used_at_once():
    changes = ((0.0, LIMIT), (12.0, 2 * LIMIT))

    assert not check(make_uses([220], 12.0), changes=changes)
    assert check(make_uses([221], 12.0), changes=changes)
