"""State of one request over its attempts; times are seconds."""

import dataclasses
from typing import Union

from citronjunction.verdicts import models as verdicts


@dataclasses.dataclass(slots=True, eq=False)
class RetryState:
    """Hold what decides whether a request may be tried again.

    ``offset`` counts tokens that the caller has, ``may_have_run`` tells
    whether any attempt so far may have run. ``failed_trial`` names a version
    on trial that failed the request.
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
        """Remember whether the failed attempt may have run."""
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
