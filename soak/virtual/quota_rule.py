"""The invariant of quotas, over sliding windows of what workers ran."""

import bisect
import dataclasses
import itertools
from collections import abc

from soak.virtual import history

WINDOW_S = 8.0
OVERRUN = 0.1  # share of the limit
CONFIG_S = 2.0  # until entries in touch apply a configuration
NEVER = float('inf')
DIGITS = 6  # of a limit, against rounding errors


@dataclasses.dataclass(slots=True, frozen=True)
class Counted:
    """A run that counts in the windows that hold both times."""

    sent_at: float
    at: float
    cost: int


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """The use of a window and what it may be."""

    started_at: float
    used: float
    allowed: float

    @property
    def excess(self) -> float:
        """Return the use above what is allowed."""
        return self.used - self.allowed


class Asked:
    """Tell when organisations ask for more than their limits."""

    __slots__ = ('limits', 'record', 'sums', 'times')

    def __init__(self, record: history.History) -> None:
        self.record = record
        self.times: dict[str, list[float]] = {}
        # Sums of the costs up to each of these times.
        self.sums: dict[str, list[int]] = {}
        # Limits of each organisation with the times they may be in force.
        self.limits: dict[str, list[tuple[float, history.Span]]] = {}
        names = {change.organisation for change in record.quotas}
        for name in sorted(names):
            self._add(name)

    def is_too_much(self, organisation: str, at: float) -> bool:
        """Return whether attempts in the window that ends then exceed a limit.

        It is the lowest limit that an entry may still apply.
        """
        in_force = [
            limit
            for limit, span in self.limits.get(organisation, ())
            if span.started_at <= at < span.ended_at
        ]
        if not in_force:
            return False
        times = self.times[organisation]
        sums = self.sums[organisation]
        first = bisect.bisect_left(times, at - WINDOW_S)
        end = bisect.bisect_right(times, at)
        return sums[end] - sums[first] > min(in_force)

    def _add(self, name: str) -> None:
        attempts = sorted(
            (request.sent_at, request.tokens)
            for request in self.record.requests
            if request.organisation == name
        )
        self.times[name] = [at for at, _ in attempts]
        self.sums[name] = list(
            itertools.accumulate((cost for _, cost in attempts), initial=0)
        )
        self.limits[name] = [
            (
                limit,
                dataclasses.replace(span, ended_at=span.ended_at - WINDOW_S),
            )
            for limit, span in list_levels(self.record, name)
        ]


def check_quota(record: history.History) -> abc.Iterator[str]:
    """Yield the worst window of an organisation for each way of counting."""
    for organisation in sorted(
        {change.organisation for change in record.quotas}
    ):
        for name, counted in count(record, organisation).items():
            worst = find_worst(record, organisation, counted)
            if worst is not None and worst.excess > 0:
                yield (
                    f'{organisation} used {worst.used} in {WINDOW_S:g} s from'
                    f' {worst.started_at:.2f}, allowed {worst.allowed:.0f}'
                    f' ({name})'
                )


def count(
    record: history.History, organisation: str
) -> dict[str, list[Counted]]:
    """Return the runs of an organisation in the ways in which they count.

    Each run counts, each attempt of a caller counts once, or it does so only
    in windows in which it was also sent.
    """
    uses = [use for use in record.uses if use.organisation == organisation]
    first = {use.request: use for use in reversed(uses)}
    sent_at = {request.name: request.sent_at for request in record.requests}
    return {
        'every run': [Counted(use.at, use.at, use.cost) for use in uses],
        'attempts once': [
            Counted(use.at, use.at, use.cost) for use in first.values()
        ],
        'attempts once, sent in the window': [
            Counted(sent_at.get(use.request, use.at), use.at, use.cost)
            for use in first.values()
        ],
    }


def find_worst(
    record: history.History, organisation: str, counted: list[Counted]
) -> Window | None:
    """Return the window with the greatest excess."""
    levels = list_levels(record, organisation)
    return max(
        (
            Window(start, used, _get_allowed(record, levels, start))
            for start, used in measure_windows(counted)
        ),
        key=lambda window: window.excess,
        default=None,
    )


def measure_windows(
    counted: list[Counted],
) -> abc.Iterator[tuple[float, float]]:
    """Yield start and use of each window that begins with a request."""
    ordered = sorted(counted, key=lambda use: use.sent_at)
    for number, first in enumerate(ordered):
        end = first.sent_at + WINDOW_S
        used = 0
        for use in ordered[number:]:
            if use.sent_at >= end:
                break
            if use.at < end:
                used += use.cost
        yield first.sent_at, used


def list_levels(
    record: history.History, organisation: str
) -> list[tuple[float, history.Span]]:
    """Return the limits of an organisation, each with the time it holds.

    A limit holds until a window after all entries were in touch under a later
    one.
    """
    changes = [
        change
        for change in record.quotas
        if change.organisation == organisation
    ]
    binding = [_find_binding(record, change) for change in changes]
    return [
        (
            change.limit,
            history.Span(
                frozenset((organisation,)),
                change.at,
                min(binding[number + 1 :], default=NEVER),
            ),
        )
        for number, change in enumerate(changes)
    ]


def _find_binding(
    record: history.History, change: history.QuotaChange
) -> float:
    informed_at = change.at + CONFIG_S
    ends = [span.ended_at + history.STABLE_S for span in record.disturbances]
    return WINDOW_S + min(
        at
        for at in (informed_at, *ends)
        if at >= informed_at and _is_calm(record, at)
    )


def _is_calm(record: history.History, at: float) -> bool:
    return not any(
        span.started_at <= at < span.ended_at + history.STABLE_S
        for span in record.disturbances
    )


def _get_allowed(
    record: history.History,
    levels: list[tuple[float, history.Span]],
    start: float,
) -> float:
    limit = max(
        limit
        for limit, span in levels
        if span.started_at < start + WINDOW_S and start < span.ended_at
    )
    return round(limit * (1 + OVERRUN + record.quota_slack), DIGITS)
