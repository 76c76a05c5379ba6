"""What an attempt proves about its request, and what may follow.

The one place that decides whether a request may be sent again and whether
the caller may be told that it has not run.
"""

import dataclasses
import enum
from typing import Union

from citronjunction.verdicts import models as verdicts


class Evidence(enum.Enum):
    """Tell what is known about the run of an attempt."""

    not_sent = 'not_sent'
    refused = 'refused'
    may_have_run = 'may_have_run'


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Describe a failed attempt."""

    evidence: Evidence
    reason: str
    code: str


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Hold what all attempts of a request prove together.

    ``sends`` counts attempts whose bytes may have reached a worker.
    """

    is_idempotent: bool
    max_workers: int
    sends: int = 0
    attempts: int = 0
    may_have_run: bool = False

    def record(self, failed: AttemptFailure) -> None:
        """Add the evidence of a failed attempt."""
        match failed.evidence:
            case Evidence.not_sent:
                self.sends -= 1
            case Evidence.may_have_run:
                self.may_have_run = True
            case Evidence.refused:
                return


@dataclasses.dataclass(slots=True, frozen=True)
class SendAgain:
    """Try another worker; ``is_retry`` means that the budget pays."""

    is_retry: bool


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """Answer the caller with a failure."""

    failure: verdicts.Failure


Decision = Union[SendAgain, GiveUp]
MAX_ATTEMPTS = 6  # attempts in all, also those that reached no worker


def decide(
    history: AttemptHistory, failed: AttemptFailure, retry_after_s: float
) -> Decision:
    """Decide what follows a failed attempt already noted in the run."""
    is_repeatable = history.is_idempotent or not history.may_have_run
    has_attempts = (
        history.sends < history.max_workers and history.attempts < MAX_ATTEMPTS
    )
    if is_repeatable and has_attempts:
        return SendAgain(failed.evidence is not Evidence.not_sent)
    return GiveUp(conclude(history, failed, retry_after_s))


def conclude(
    history: AttemptHistory,
    failed: AttemptFailure,
    retry_after_s: float,
) -> verdicts.Failure:
    """Return the verdict that all attempts together allow."""
    if history.may_have_run:
        return verdicts.MayHaveRun(failed.reason, code=failed.code)
    return verdicts.NotRun(failed.reason, retry_after_s, code=failed.code)
