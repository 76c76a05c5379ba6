"""Retry decisions and verdicts over all sequences of outcomes."""

import hypothesis
from hypothesis import stateful, strategies

from citronjunction.gateway import evidence
from citronjunction.verdicts import models as verdicts

OUTCOMES = strategies.sampled_from(list(evidence.Evidence))


class Attempts(stateful.RuleBasedStateMachine):
    """Make attempts as the decisions allow and record what really ran."""

    @stateful.initialize(
        is_idempotent=strategies.booleans(),
        max_workers=strategies.integers(1, 4),
    )
    def begin(self, is_idempotent, max_workers):
        self.run = evidence.AttemptHistory(is_idempotent, max_workers)
        self.may_have_run = 0
        self.sent = 0
        self.is_open = True
        self.verdict = None

    @stateful.precondition(lambda self: self.is_open)
    @stateful.rule(outcome=OUTCOMES)
    def attempt(self, outcome):
        assert self.run.is_idempotent or not self.may_have_run
        self.run.sends += 1
        self.run.attempts += 1
        self.sent += outcome is not evidence.Evidence.not_sent
        self.may_have_run += outcome is evidence.Evidence.may_have_run
        failed = evidence.AttemptFailure(outcome, 'reason', 'code')
        self.run.record(failed)
        match evidence.decide(self.run, failed, 0.3):
            case evidence.SendAgain(is_retry=is_retry):
                reached = outcome is not evidence.Evidence.not_sent
                assert is_retry is reached
            case evidence.GiveUp(failure=failure):
                self.is_open = False
                self.verdict = failure

    @stateful.precondition(lambda self: not self.is_open)
    @stateful.rule()
    def stay_closed(self):
        assert self.verdict is not None

    @stateful.invariant()
    def check(self):
        if not hasattr(self, 'run'):
            return
        assert self.sent <= self.run.max_workers
        assert self.run.attempts <= evidence.MAX_ATTEMPTS
        if self.verdict is not None:
            is_promise = isinstance(self.verdict, verdicts.NotRun)
            assert is_promise is (self.may_have_run == 0)


Attempts.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, stateful_step_count=10
)
TestAttempts = Attempts.TestCase
