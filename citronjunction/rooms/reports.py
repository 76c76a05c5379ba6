"""Figures about a worker in the load reports of entries.

Each is a tuple: the number of requests, the unprefilled prompt tokens by
urgency group, the number of requests without a first event by urgency group,
then the worker's slowdown in percent and its age in ms, both only while it is
slow. Earlier builds send and read only the requests and the prompt tokens; while they
have any of these, all of their requests count as without a first event.
"""

import dataclasses

from citronjunction.rooms import slowdowns

URGENCY_GROUPS = 3  # rank 0, rank 1 and all other ranks
TOKENS_END = 1 + URGENCY_GROUPS
WAITING_END = TOKENS_END + URGENCY_GROUPS
SLOWDOWN_END = WAITING_END + 2
PERCENT = 100
MS_PER_S = 1000


def build_zeros() -> list[int]:
    """Return a zero for each urgency group."""
    return [0 for _ in range(URGENCY_GROUPS)]


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """Sum of what peers report about a worker, by urgency group."""

    running: int = 0
    prefill_tokens: list[int] = dataclasses.field(default_factory=build_zeros)
    waiting: list[int] = dataclasses.field(default_factory=build_zeros)

    def add(self, figures: tuple[int, ...]) -> None:
        """Add the figures of one report."""
        self.running += figures[0]
        tokens = figures[1:TOKENS_END]
        for urgency, count in enumerate(tokens):
            self.prefill_tokens[urgency] += count
        waiting = figures[TOKENS_END:WAITING_END]
        if not waiting and any(tokens):
            waiting = _divide(figures[0], tokens)
        for urgency, count in enumerate(waiting):
            self.waiting[urgency] += max(0, count)


def _divide(requests: int, tokens: tuple[int, ...]) -> tuple[int, ...]:
    """Return the requests by urgency group, as their prompt tokens are."""
    total = sum(tokens)
    return tuple(requests * count // total for count in tokens)


def encode_slowdown(
    slowdown: slowdowns.Slowdown, now: float
) -> tuple[int, ...]:
    """Return the figures about a slowdown, none unless there is one."""
    if not slowdown.is_slow(now):
        return ()
    age_s = max(0, now - slowdown.stated_at)
    return round(slowdown.factor * PERCENT), round(age_s * MS_PER_S)


def merge_slowdown(
    slowdown: slowdowns.Slowdown, figures: tuple[int, ...], now: float
) -> None:
    """Record the slowdown that a report states, if any."""
    stated = figures[WAITING_END:SLOWDOWN_END]
    if len(stated) == SLOWDOWN_END - WAITING_END:
        percent, age_ms = stated
        slowdown.record(percent / PERCENT, now - max(0, age_ms) / MS_PER_S)
