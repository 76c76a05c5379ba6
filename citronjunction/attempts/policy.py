"""The decision after a failed attempt."""

import random

from citronjunction.attempts import budget, models
from citronjunction.conf import models as conf
from citronjunction.verdicts import models as verdicts


def decide_after_failure(
    retry_state: models.RetryState,
    failure: verdicts.Failure,
    settings: conf.Attempts,
    allowance: budget.RetryBudget | None,
    source: random.Random,
    now: float,
) -> models.Decision:
    """Decide whether a request may be tried again; no allowance: freely."""
    if not _may_repeat(retry_state, failure):
        return models.GiveUp(failure)
    if retry_state.attempts >= settings.max_attempts:
        return models.GiveUp(failure)
    ceiling = min(
        settings.max_backoff_s,
        settings.backoff_s * 2 ** max(0, retry_state.attempts - 1),
    )
    delay_s = source.uniform(0, ceiling)
    if now + delay_s >= retry_state.deadline_at:
        return models.GiveUp(failure)
    if allowance is not None and not allowance.spend():
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
    """Return the verdict over all attempts of a request."""
    if retry_state.may_have_run and isinstance(failure, verdicts.NotRun):
        text = f'{failure.reason}, after an attempt that may have run'
        return verdicts.MayHaveRun(text, code=failure.code)
    return failure


def classify_status(
    status: int,
    headers: dict[str, str],
    where: str,
) -> verdicts.Failure | None:
    """Return the failure that an upstream's status stands for, if any."""
    if headers.get('citron-verdict') == 'not-run' or status == 429:
        return verdicts.NotRun(f'{where} refused with {status}')
    if status >= 500:
        return verdicts.MayHaveRun(f'{where} answered {status}')
    return None
