"""Timers of a process: one heap of deadlines on the monotonic clock."""

import dataclasses
import heapq
import itertools
import time
from collections import abc

import circuits
from circuits.core import handlers

Call = abc.Callable[[], None]


@dataclasses.dataclass(slots=True, order=True)
class Timer:
    """Schedule a call; ``cancelled`` deadlines are dropped when due."""

    at: float
    order: int
    call: abc.Callable[[], None] | None = dataclasses.field(compare=False)

    def cancel(self) -> None:
        """Forget the call."""
        self.call = None


class TimerQueue(circuits.BaseComponent):
    """Run calls when they are due; times are monotonic seconds."""

    channel = 'deadlines'

    def __init__(self) -> None:
        """Start with no deadline."""
        super().__init__()
        self.heap: list[Timer] = []
        self.orders = itertools.count()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_time(self) -> float:
        """Return seconds that also pass while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Return the time in seconds since the epoch."""
        return time.time()

    def call_later(
        self,
        delay_s: float,
        call: abc.Callable[[], None],
    ) -> Timer:
        """Call once after a delay in seconds."""
        due = time.monotonic() + delay_s
        deadline = Timer(due, next(self.orders), call)
        heapq.heappush(self.heap, deadline)
        return deadline

    def call_every(
        self,
        interval_s: float,
        call: abc.Callable[[], None],
    ) -> None:
        """Call again and again with an interval in seconds."""
        self.call_later(interval_s, lambda: self._repeat(interval_s, call))

    def _repeat(self, interval_s: float, call: abc.Callable[[], None]) -> None:
        self.call_every(interval_s, call)
        call()

    @handlers.handler('generate_events', channel='*', priority=5)
    def run_due(self, event: circuits.Event) -> None:
        """Run what is due and bound the time that the poller may wait."""
        now = time.monotonic()
        while self.heap and self.heap[0].at <= now:
            call = heapq.heappop(self.heap).call
            if call is not None:
                call()
        if self.heap:
            wait_s = max(0, self.heap[0].at - time.monotonic())
            event.reduce_time_left(wait_s)
