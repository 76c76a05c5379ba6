"""What the holder of the duties sends to the platform."""

import dataclasses
import enum
from collections import abc
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class Fence:
    """Name a holder and its epoch, which grows with each new holder."""

    holder: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class UsageReport:
    """Hold the requests begun in a window, by organisation."""

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
    """Tell how a call ended; an unavailable platform may have acted."""

    accepted = 'accepted'
    unobtainable = 'unobtainable'
    unavailable = 'unavailable'


OnResult = abc.Callable[[CallResult], None]


class Cloud(Protocol):
    """Take the calls of the holder."""

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        on_result: OnResult,
    ) -> None:
        """Send the counts of one window."""

    def order_workers(
        self,
        order: WorkerOrder,
        fence: Fence,
        on_result: OnResult,
    ) -> None:
        """Order an absolute number of workers of one kind."""
