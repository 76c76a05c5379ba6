"""Evidence of failed attempts and the retry decision.

Only this module decides whether a request may be sent again and whether the
caller is told that it has not run.
"""

import dataclasses
import enum
from typing import Union

from citronjunction.verdicts import models as verdicts


class Evidence(enum.Enum):
    """Evidence of whether a worker ran the request of an attempt."""

    not_sent = 'not_sent'
    refused = 'refused'
    may_have_run = 'may_have_run'


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Describe a failed attempt; ``code`` is an error code for callers.

    ``retry_after_s`` is the wait that a peer stated, or 0.
    """

    evidence: Evidence
    reason: str
    code: str
    retry_after_s: float = 0


def describe_status(status: int) -> AttemptFailure:
    """Return the failure of an attempt that a worker may have run."""
    return AttemptFailure(
        Evidence.may_have_run, f'the worker answered {status}', 'upstream_error'
    )


def describe_no_worker(upstream: str, wait_s: float) -> AttemptFailure:
    """Return the failure of a request that no worker takes.

    ``wait_s`` is the time until one does, 0 if unknown.
    """
    reason = f'no worker of {upstream} is available'
    if wait_s:
        reason = f'{reason}, the next one in {wait_s:.1f} s'
    return AttemptFailure(Evidence.refused, reason, 'no_worker')


def describe_evacuated(upstream: str) -> AttemptFailure:
    """Return the failure of a request whose upstream is evacuated."""
    reason = f'the data centres of all workers of {upstream} are evacuated'
    return AttemptFailure(Evidence.refused, reason, 'evacuated')


def describe_peer_refusal(
    entry: str, status: int, retry_after_s: float
) -> AttemptFailure:
    """Return the failure of a request that a peer has not run."""
    return AttemptFailure(
        Evidence.refused,
        f'entry {entry} refused with {status}',
        'peer_refused',
        retry_after_s,
    )


def describe_departure(worker: str) -> AttemptFailure:
    """Return the failure of a stream that ended as its worker left."""
    return AttemptFailure(
        Evidence.may_have_run,
        f'the stream ended as worker {worker} left',
        'worker_left',
    )


def describe_lost_upstream(upstream: str) -> AttemptFailure:
    """Return the failure of a request on a connection that was cut."""
    return AttemptFailure(
        Evidence.may_have_run,
        f'connections to the workers of {upstream} are silent',
        'upstream_lost',
    )


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Accumulate the evidence of all attempts of a request.

    ``sends`` counts the attempts whose bytes may have reached a worker,
    ``connect_failures`` those that could not connect.
    """

    is_idempotent: bool
    max_workers: int
    sends: int = 0
    attempts: int = 0
    connect_failures: int = 0
    may_have_run: bool = False

    def record(self, failed: AttemptFailure) -> None:
        """Add the evidence of a failed attempt."""
        match failed.evidence:
            case Evidence.not_sent:
                self.sends -= 1
                self.connect_failures += 1
            case Evidence.may_have_run:
                self.may_have_run = True
            case Evidence.refused:
                return


@dataclasses.dataclass(slots=True, frozen=True)
class SendAgain:
    """Decision: try another worker; ``is_retry`` uses the retry budget."""

    is_retry: bool


@dataclasses.dataclass(slots=True, frozen=True)
class GiveUp:
    """Decision: answer the caller with a failure."""

    failure: verdicts.Failure


Decision = Union[SendAgain, GiveUp]
MAX_ATTEMPTS = 6  # also counts attempts that reached no worker


def decide(
    history: AttemptHistory, failed: AttemptFailure, retry_after_s: float
) -> Decision:
    """Decide what follows a failure that the history already includes."""
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
    """Return the verdict that the evidence of all attempts allows."""
    if history.may_have_run:
        return verdicts.MayHaveRun(failed.reason, code=failed.code)
    return verdicts.NotRun(failed.reason, retry_after_s, code=failed.code)
