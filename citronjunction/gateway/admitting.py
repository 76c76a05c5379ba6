"""Admission control: quotas and load shedding before the first attempt."""

from citronjunction.attempts import suspects
from citronjunction.gateway import (
    choosing,
    context,
    models,
    quotas,
    recording,
    shedding,
)
from citronjunction.rooms import returning
from citronjunction.verdicts import models as verdicts

OVER_QUOTA = 429  # HTTP status
TRIAL_S = 15.0  # until a request that tests a suspect part counts as lost


def identify(request: models.CallerRequest) -> suspects.Traits:
    """Return the traits of a request, equal at all entries."""
    prompt = request.prompt
    shared = prompt.shared_parts if prompt else ()
    return suspects.Traits(
        suspects.compute_fingerprint(request.key, request.path, request.body),
        tuple(
            suspects.compute_part_id(prompt.model, part.name) for part in shared
        ),
    )


def admit(
    services: context.Services,
    request: models.CallerRequest,
    traits: suspects.Traits,
    organisation: models.Organisation | None,
    *,
    is_charged: bool,
) -> quotas.Charge | verdicts.NotRun | None:
    """Return the charge of a request, if any, or why it is refused.

    Unless ``is_charged``, a peer has charged it.
    """
    refusal = check_suspect(services, traits)
    if refusal is not None:
        return refusal
    if organisation is None or not is_charged:
        return None
    return charge(services, organisation, request.prompt)


def check_suspect(
    services: context.Services,
    traits: suspects.Traits,
) -> verdicts.NotRun | None:
    """Return a refusal for a request that is likely to crash its worker."""
    now = services.timers.now()
    if services.suspects.is_refused(traits.fingerprint, now):
        text = 'this request was running when several workers crashed'
    elif services.suspect_parts.admits(traits.parts, now, TRIAL_S):
        return None
    else:
        text = 'workers crashed under requests with a part of this prompt'
    delay_s = services.settings.attempts.suspect_s
    return verdicts.NotRun(text, delay_s, code='suspect_request')


def charge(
    services: context.Services,
    organisation: models.Organisation,
    prompt: models.Prompt | None,
) -> quotas.Charge | verdicts.NotRun:
    """Charge a request to its organisation's quota.

    Return a refusal if it exceeds the quota.
    """
    cost = quotas.compute_cost(organisation, prompt)
    now = services.timers.now()
    match services.quotas.admit(organisation, cost, now):
        case quotas.QuotaExceeded(wait_s=wait_s, balance=balance):
            text = (
                f'{organisation.name} used {balance.used:.0f} of'
                f' {balance.limit:.0f} and asks for {cost:.0f} more'
            )
            return verdicts.NotRun(text, wait_s, OVER_QUOTA, 'over_quota')
        case quotas.Charge() as charged:
            return charged


def shed(
    services: context.Services,
    route: models.Route,
    candidate: choosing.Candidate,
    left_s: float,
) -> verdicts.NotRun | None:
    """Return a refusal for a prompt that would queue too long.

    ``left_s`` is the caller's time left.
    """
    late = shedding.check_queue(route.latency_target_s, candidate.queue_s)
    if late is None:
        return None
    upstream = candidate.worker.registration.upstream
    text = (
        f'prompts wait {late.queue_s:.2f} s at the best worker of'
        f' {upstream}, over {late.limit_s:.2f} s'
    )
    delay_s = _schedule_return(services, upstream, late.retry_after_s, left_s)
    recording.record_shed(services, route, candidate, delay_s)
    return verdicts.NotRun(text, delay_s, code='overloaded')


def _schedule_return(
    services: context.Services, upstream: str, wait_s: float, left_s: float
) -> float:
    now = services.timers.now()
    room = services.chooser.rooms.get(upstream)
    slots = sum(
        worker.registration.slots
        for worker in services.fleet.select_admitting(upstream, now)
    )
    refusal = returning.Refusal(
        wait_s,
        room.times.held.value_s,
        left_s,
        slots / max(1, services.count_budget_entries()),
        services.random.random(),
    )
    return room.returns.schedule(refusal, now)
