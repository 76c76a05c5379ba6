"""Retry policy: the decision after a failed attempt and the final verdict."""

import random

from citronjunction.attempts import budget, models
from citronjunction.conf import models as conf
from citronjunction.verdicts import models as verdicts


def decide_after_failure(
    retry_state: models.RetryState,
    failure: verdicts.Failure,
    settings: conf.Attempts,
    retry_budget: budget.RetryBudget | None,
    rng: random.Random,
    now: float,
) -> models.Decision:
    """Decide whether a failed request is tried again.

    The delay grows exponentially with full jitter. Without a
    ``retry_budget`` retries aren't limited to a ratio of the requests.
    """
    if not _may_repeat(retry_state, failure):
        return models.GiveUp(failure)
    if retry_state.attempts >= settings.max_attempts:
        return models.GiveUp(failure)
    max_delay_s = min(
        settings.max_backoff_s,
        settings.backoff_s * 2 ** max(0, retry_state.attempts - 1),
    )
    delay_s = rng.uniform(0, max_delay_s)
    if now + delay_s >= retry_state.deadline_at:
        return models.GiveUp(failure)
    if retry_budget is not None and not retry_budget.spend():
        return models.GiveUp(failure)
    return models.RetryAfter(delay_s)


def _may_repeat(
    retry_state: models.RetryState,
    failure: verdicts.Failure,
) -> bool:
    match failure:
        case verdicts.NotRun():
            return True
        case verdicts.MayHaveRun():
            return retry_state.is_repeatable


def get_final_failure(
    retry_state: models.RetryState,
    failure: verdicts.Failure,
) -> verdicts.Failure:
    """Return the failure that sums up all attempts of a request.

    A last attempt that didn't run doesn't prove that an earlier one didn't.
    """
    if retry_state.may_have_run and isinstance(failure, verdicts.NotRun):
        text = f'{failure.reason}, after an attempt that may have run'
        return verdicts.MayHaveRun(text, code=failure.code)
    return failure


def classify_status(
    status: int,
    headers: dict[str, str],
    worker: str,
) -> verdicts.Failure | None:
    """Return the failure that a worker's HTTP status means, if any.

    Only status 429 and an explicit verdict prove that the request was not
    run. ``headers`` have lower-case names.
    """
    if headers.get('citron-verdict') == 'not-run' or status == 429:
        return verdicts.NotRun(f'{worker} refused with status {status}')
    if status >= 500:
        return verdicts.MayHaveRun(f'{worker} answered with status {status}')
    return None
