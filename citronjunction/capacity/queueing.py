"""Formulas of queues: how busy a worker may be for its callers not to wait."""

import functools

SEARCH_STEPS = 20  # halvings; the result is exact to a millionth of the slots


def compute_wait_probability(slots: int, busy: float) -> float:
    """Return the share of requests that find all slots taken (Erlang C).

    ``busy`` is the mean number of slots in use, below ``slots``.
    """
    blocked = 1.0
    for number in range(1, slots + 1):
        blocked = busy * blocked / (number + busy * blocked)
    utilisation = busy / slots
    return blocked / (1 - utilisation * (1 - blocked))


@functools.lru_cache(maxsize=64)
def compute_busy_limit(slots: int, wait_share: float) -> float:
    """Return the mean number of slots at which that share has to wait."""
    low: float = 0
    high = float(slots)
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if compute_wait_probability(slots, middle) <= wait_share:
            low = middle
        else:
            high = middle
    return low


def compute_utilisation_limit(alone_s: float, limit_s: float) -> float:
    """Return the utilisation at which a job still ends in time.

    All jobs of a server share its speed, so that one which takes ``alone_s``
    on an idle server takes that divided by the idle share.
    """
    return max(0, 1 - alone_s / limit_s)
