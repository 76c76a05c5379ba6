"""Log lines and counts of a request's life."""

from typing import TYPE_CHECKING

from citronjunction.gateway import counting, evidence

if TYPE_CHECKING:
    from citronjunction.gateway import flow

MS_PER_S = 1000


def record_retry(held: 'flow.Flow', failed: evidence.Failed) -> None:
    """Write why a request goes to another worker."""
    held.services.counts.record(counting.Retried(failed.evidence.value))
    held.services.log.write(
        'retry',
        held.request.name,
        evidence=failed.evidence.value,
        reason=failed.reason,
        sends=held.run.sends,
        last_event=held.last_event,
    )


def record_end(
    held: 'flow.Flow',
    outcome: str,
    status: int,
    reason: str,
) -> None:
    """Write how a request ended, with what decided it."""
    held_s = held.services.timers.now() - held.request.arrived_at
    held.services.counts.record(
        counting.Ended(outcome, held.route.kind.value, held_s),
    )
    prompt = held.request.prompt
    held.services.log.write(
        'end',
        held.request.name,
        outcome=outcome,
        status=status,
        reason=reason,
        route=held.route.name,
        organisation=held.organisation.name if held.organisation else '',
        workers=[worker.entry.name for worker in held.tried],
        sends=held.run.sends,
        is_started=held.outlet.is_started,
        held_ms=_to_ms(held_s),
        expected_ms=_to_ms(held.expected_s),
        first_ms=_to_ms(held.first_s),
        tokens=prompt.prompt_tokens if prompt else 0,
        configuration=held.services.configuration.version,
    )


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MS_PER_S)
