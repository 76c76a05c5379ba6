"""Assignment of a request to an upstream and a worker."""

import random

from citronjunction.gateway import fleet, models

CONNECT_S = 0.3  # a worker accepts within milliseconds, unless it is gone
# Servers close idle connections without notice. A request that must not run
# twice is not sent on a connection that has been idle for longer than this.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
IDEMPOTENT_MAX_IDLE_S = 8.0
MAX_PRIORITY = 9  # the least urgent
MIN_TIME_LEFT_S = 0.02  # no worker answers in less time
# Callers abandon a stream after a pause of 2 s, four times the target latency
# or eight times the stated pause, whichever is longest.
MIN_STALL_S = 2.0
STALL_TARGETS = 4
STALL_GAPS = 8


def compute_deadline_at(
    route: models.Route,
    request: models.CallerRequest,
) -> float:
    """Return when the answer must have ended, in monotonic seconds."""
    limit_s = route.timeout_s
    if request.deadline_s is not None:
        limit_s = min(limit_s, request.deadline_s)
    return request.arrived_at + limit_s


def compute_stall_s(route: models.Route) -> float:
    """Return how long a stream may send bytes without a new event."""
    return max(
        MIN_STALL_S,
        STALL_TARGETS * route.latency_target_s,
        STALL_GAPS * route.event_gap_s,
    )


def draw_upstream(route: models.Route, source: random.Random) -> str:
    """Return a random upstream by the weights of a route's split."""
    if len(route.targets) == 1:
        return route.targets[0].upstream
    weights = [target.weight for target in route.targets]
    return source.choices(route.targets, weights)[0].upstream


def get_rank(
    route: models.Route,
    organisation: models.Organisation | None,
) -> int:
    """Return the organisation's rank if it has one, else the route's."""
    if organisation is not None and organisation.rank is not None:
        return organisation.rank
    return route.rank


def build_assignment(
    route: models.Route,
    organisation: models.Organisation | None,
    worker: fleet.Worker,
    left_s: float,
    last_event: str,
    kv_source: str,
) -> models.Assignment:
    """Build what is sent to the worker besides the request itself."""
    priority = None
    if route.is_prompt:
        priority = min(MAX_PRIORITY, get_rank(route, organisation))
    return models.Assignment(
        worker.registration.name,
        worker.registration.address,
        max(MIN_TIME_LEFT_S, left_s),
        organisation.name if organisation else '',
        priority,
        last_event,
        CONNECT_S,
        IDEMPOTENT_MAX_IDLE_S
        if route.is_idempotent
        else NON_IDEMPOTENT_MAX_IDLE_S,
        kv_source,
    )
