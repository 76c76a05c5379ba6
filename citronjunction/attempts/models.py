"""Retry state of a request and retry decisions; times are seconds."""

import dataclasses
from typing import Union

from citronjunction.verdicts import models as verdicts


@dataclasses.dataclass(slots=True, eq=False)
class RetryState:
    """State of one request over its attempts.

    ``fingerprint`` is the same for resends of the request. ``offset`` counts
    the tokens that the caller has received, ``may_have_run`` is set once an
    attempt may have run. ``failed_trial`` is the version on trial that failed
    the request, and ``excluded`` has the workers not to try next.
    """

    name: str
    fingerprint: int
    is_repeatable: bool
    can_resume: bool
    deadline_at: float
    attempts: int = 0
    offset: int = 0
    may_have_run: bool = False
    failed_trial: str = ''
    excluded: set[str] = dataclasses.field(default_factory=set)

    def record_failure(self, failure: verdicts.Failure) -> None:
        """Record whether the failed attempt may have run."""
        if isinstance(failure, verdicts.MayHaveRun):
            self.may_have_run = True


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAfter:
    """Try again after a delay in seconds."""

    delay_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """End the request with a verdict."""

    failure: verdicts.Failure


Decision = Union[RetryAfter, GiveUp]
