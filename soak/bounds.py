"""Bounds that all entries keep together, judged by what workers got."""

import bisect
from collections import abc

LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5  # requests in a window
STABLE_S = 3.0  # after a limit was named, until it binds
QUOTA_WINDOW_S = 8.0
QUOTA_TOLERANCE = 1.28  # the deployments allow a tenth more, and some slack


def check_limit(
    name: str, arrived_at: abc.Iterable[float], limit: float, since: float
) -> list[str]:
    """Return a text if a worker got more requests than it takes."""
    binding = [at for at in arrived_at if at >= since + STABLE_S]
    worst = count_worst(binding, LIMIT_WINDOW_S)
    allowed = LIMIT_TOLERANCE * limit * LIMIT_WINDOW_S + LIMIT_SLACK
    if worst <= allowed:
        return []
    return [f'{name} got {worst} requests in 4 s, allowed {allowed:.0f}']


def check_quota(
    organisation: str,
    worst: int,
    rate_per_s: float,
    burst: float,
) -> list[str]:
    """Return a text if the worst window had more runs than a quota allows."""
    allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * QUOTA_TOLERANCE
    if worst <= allowed:
        return []
    return [f'{organisation} got {worst} runs in 8 s, allowed {allowed:.0f}']


def count_worst(times: abc.Iterable[float], window_s: float) -> int:
    """Return the most events in a window."""
    ordered = sorted(times)
    return max(
        (
            bisect.bisect_left(ordered, at + window_s) - index
            for index, at in enumerate(ordered)
        ),
        default=0,
    )
