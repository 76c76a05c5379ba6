"""Why no worker of an upstream takes a request, and when one may."""

from citronjunction.gateway import context, evidence


def describe(
    services: context.Services, upstream: str, now: float
) -> tuple[evidence.AttemptFailure, float]:
    """Return the failure of a request and the time until one may be served."""
    workers = services.fleet
    if workers.is_evacuated(upstream):
        spread = 0.5 + services.random.random()
        wait_s = spread * workers.evacuations.get_return_s(now)
        return evidence.describe_evacuated(upstream), wait_s
    wait_s = workers.get_least_wait_s(upstream, now)
    return evidence.describe_no_worker(upstream, wait_s), wait_s
