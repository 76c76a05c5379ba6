"""Timers of a process, in one heap ordered by the monotonic clock."""

import dataclasses
import heapq
import itertools
import time
from collections import abc

import circuits
from absl import logging
from circuits.core import handlers

Callback = abc.Callable[[], None]


@dataclasses.dataclass(slots=True, order=True)
class Timer:
    """Represent a scheduled call; a cancelled timer stays queued until due."""

    due_at: float
    sequence: int
    callback: abc.Callable[[], None] | None = dataclasses.field(compare=False)

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None


class TimerQueue(circuits.BaseComponent):
    """Run callbacks when they are due; times are monotonic seconds."""

    channel = 'deadlines'

    def __init__(self) -> None:
        super().__init__()
        self.heap: list[Timer] = []
        self.sequence_numbers = itertools.count()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_time(self) -> float:
        """Return seconds that also pass while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()

    def call_later(
        self,
        delay_s: float,
        callback: abc.Callable[[], None],
    ) -> Timer:
        """Schedule a callback once, after a delay in seconds."""
        due = time.monotonic() + delay_s
        timer = Timer(due, next(self.sequence_numbers), callback)
        heapq.heappush(self.heap, timer)
        return timer

    def call_every(
        self,
        interval_s: float,
        callback: abc.Callable[[], None],
    ) -> None:
        """Schedule a callback repeatedly, at an interval in seconds."""
        self.call_repeatedly(lambda: interval_s, callback)

    def call_repeatedly(
        self,
        get_interval_s: abc.Callable[[], float],
        callback: abc.Callable[[], None],
    ) -> None:
        """Schedule a callback repeatedly, at intervals that may change."""
        self.call_later(
            get_interval_s(), lambda: self._repeat(get_interval_s, callback)
        )

    def _repeat(
        self,
        get_interval_s: abc.Callable[[], float],
        callback: abc.Callable[[], None],
    ) -> None:
        # Scheduled first: an error of the callback does not end the series.
        self.call_repeatedly(get_interval_s, callback)
        callback()

    @handlers.handler('generate_events', channel='*', priority=5)
    def run_due(self, event: circuits.Event) -> None:
        """Run due callbacks and limit the poller's wait to the next timer."""
        now = time.monotonic()
        while self.heap and self.heap[0].due_at <= now:
            callback = heapq.heappop(self.heap).callback
            if callback is not None:
                _run(callback)
        if self.heap:
            wait_s = max(0, self.heap[0].due_at - time.monotonic())
            event.reduce_time_left(wait_s)


def _run(callback: Callback) -> None:
    """Run a callback; an error is logged and does not stop other timers."""
    try:
        callback()
    except Exception as error:
        logging.exception('timer failed: %r', error)
