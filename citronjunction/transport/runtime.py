"""Process runtime: one loop with timers, sockets and stop signals."""

import random
import signal
from collections import abc

import circuits
from circuits.core import handlers

from citronjunction.transport import http_client, sockets, timer_queue

STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


class Runtime(circuits.BaseComponent):
    """Own the loop of a process."""

    channel = 'runtime'

    def __init__(self) -> None:
        """Create the timers, sockets and HTTP client."""
        super().__init__()
        self.timers = timer_queue.TimerQueue().register(self)
        self.sockets = sockets.Sockets(self.timers).register(self)
        self.random = random.Random()
        self.client = http_client.HttpClient(self.sockets, self.timers)
        self.on_stop: abc.Callable[[], None] = self.stop_loop

    def stop_loop(self) -> None:
        """End the loop."""
        self.stop()

    def watch_reload(self, on_reload: abc.Callable[[], None]) -> None:
        """Call at each SIGHUP, on the loop."""
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: self.timers.call_later(0, on_reload),
        )

    @handlers.handler('signal', channel='*', priority=10)
    def _on_signal(self, event: circuits.Event, number: int, _: object) -> None:
        if number in STOP_SIGNALS:
            event.stop()
            self.on_stop()
