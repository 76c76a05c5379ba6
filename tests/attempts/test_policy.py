"""Retry policy: which failures are tried again, and the final verdict."""

import random

import pytest

from citronjunction.attempts import budget, models, policy
from citronjunction.conf import models as conf
from citronjunction.verdicts import models as verdicts


def decide(failure, retry_budget=None, **changes):
    fields = {'is_repeatable': False, 'can_resume': False, 'deadline_at': 100}
    retry_state = models.RetryState('r', 1, **{**fields, **changes})
    return policy.decide_after_failure(
        retry_state,
        failure,
        conf.Attempts(),
        retry_budget or budget.RetryBudget(0.2),
        random.Random(1),
        0,
    )


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_request_that_did_not_run_is_tried_again(is_repeatable):
    decision = decide(verdicts.NotRun('refused'), is_repeatable=is_repeatable)
    assert isinstance(decision, models.RetryAfter)


def test_request_that_may_have_run_is_tried_again_only_if_repeatable():
    failure = verdicts.MayHaveRun('lost')
    assert isinstance(decide(failure), models.GiveUp)
    assert isinstance(decide(failure, is_repeatable=True), models.RetryAfter)


def test_no_retry_after_the_deadline():
    decision = decide(verdicts.NotRun('refused'), deadline_at=0)
    assert isinstance(decision, models.GiveUp)


def test_retries_stop_when_the_budget_is_used_up():
    retry_budget = budget.RetryBudget(0.2)
    decisions = [decide(verdicts.NotRun('x'), retry_budget) for _ in range(20)]
    retries = [
        decision
        for decision in decisions
        if isinstance(decision, models.RetryAfter)
    ]
    assert len(retries) == int(budget.INITIAL_RETRIES)


def test_final_failure_is_not_run_only_if_no_attempt_may_have_run():
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
def test_only_status_429_or_an_explicit_verdict_proves_not_run(
    status, headers, kind
):
    assert isinstance(policy.classify_status(status, headers, 'w'), kind)
