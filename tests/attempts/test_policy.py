"""Which failures may be tried again."""

import random

import pytest

from citronjunction.attempts import budget, models, policy
from citronjunction.conf import models as conf
from citronjunction.verdicts import models as verdicts


def decide(failure, allowance=None, **changes):
    fields = {'is_repeatable': False, 'can_resume': False, 'deadline_at': 100}
    retry_state = models.RetryState('r', 1, **{**fields, **changes})
    return policy.decide_after_failure(
        retry_state,
        failure,
        conf.Attempts(),
        allowance or budget.RetryBudget(0.2),
        random.Random(1),
        0,
    )


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_not_run_is_tried_elsewhere(is_repeatable):
    decision = decide(verdicts.NotRun('refused'), is_repeatable=is_repeatable)
    assert isinstance(decision, models.RetryAfter)


def test_may_have_run_is_tried_again_only_if_repeatable():
    failure = verdicts.MayHaveRun('lost')
    assert isinstance(decide(failure), models.GiveUp)
    assert isinstance(decide(failure, is_repeatable=True), models.RetryAfter)


def test_no_retry_after_the_deadline():
    decision = decide(verdicts.NotRun('refused'), deadline_at=0)
    assert isinstance(decision, models.GiveUp)


def test_retries_stop_when_the_budget_is_spent():
    allowance = budget.RetryBudget(0.2)
    decisions = [decide(verdicts.NotRun('x'), allowance) for _ in range(20)]
    kept = [held for held in decisions if isinstance(held, models.RetryAfter)]
    assert len(kept) == int(budget.MIN_TOKENS)


def test_verdict_over_all_attempts_is_not_run_only_if_none_may_have_run():
    retry_state = models.RetryState('r', 1, True, True, 100)
    last = verdicts.NotRun('no worker')
    assert policy.get_final_failure(retry_state, last) is last
    retry_state.record_failure(verdicts.MayHaveRun('lost'))
    assert isinstance(
        policy.get_final_failure(retry_state, last), verdicts.MayHaveRun
    )


@pytest.mark.parametrize(
    ('status', 'headers', 'kind'),
    [
        (503, {}, verdicts.MayHaveRun),
        (500, {'citron-verdict': 'not-run'}, verdicts.NotRun),
        (429, {}, verdicts.NotRun),
        (404, {}, type(None)),
    ],
)
def test_status_of_an_upstream_proves_not_run_only_where_it_says_so(
    status, headers, kind
):
    assert isinstance(policy.classify_status(status, headers, 'w'), kind)
