"""Calls that the holder of the duties lease sends to the platform."""

import dataclasses
import enum
from collections import abc
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class Fence:
    """Identify the lease holder that makes a call.

    The fencing token grows with each new holder. ``is_held`` tells whether the
    holder still has the lease under this token.
    """

    holder: str
    token: int
    is_held: abc.Callable[[], bool] = dataclasses.field(
        repr=False, compare=False
    )


@dataclasses.dataclass(slots=True, frozen=True)
class UsageReport:
    """Count the requests that began in a usage window by organisation."""

    window: int
    counts: abc.Mapping[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerOrder:
    """Order an absolute number of workers of one kind in a data centre."""

    upstream: str
    zone: str
    is_reclaimable: bool
    count: int


class CallResult(enum.Enum):
    """Result of a call to the platform.

    ``unobtainable`` means that the platform has no such workers. After
    ``unavailable`` it is unknown whether the call took effect.
    """

    accepted = 'accepted'
    unobtainable = 'unobtainable'
    unavailable = 'unavailable'


OnResult = abc.Callable[[CallResult], None]


class Cloud(Protocol):
    """Port through which the holder calls the platform."""

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        on_result: OnResult,
    ) -> None:
        """Send the counts of one usage window."""

    def order_workers(
        self,
        order: WorkerOrder,
        fence: Fence,
        on_result: OnResult,
    ) -> None:
        """Send an order; repeating it has no further effect."""
