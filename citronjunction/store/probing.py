"""Probe that tells whether the store answers at all."""

from collections import abc

from citronjunction.store import records
from citronjunction.transport import timer_queue

INTERVAL_S = 1.0  # a watch may hang for longer, unnoticed


class Probe:
    """Read one object again and again, at the lowest price."""

    __slots__ = (
        'get_answered_at',
        'is_paused',
        'is_pending',
        'kind',
        'name',
        'on_result',
        'store',
        'timers',
    )

    def __init__(
        self,
        store: records.Store,
        timers: timer_queue.TimerQueue,
        kind: str,
        name: str,
        on_result: abc.Callable[[records.ReadResult], None],
        get_answered_at: abc.Callable[[], float],
    ) -> None:
        """Take the object to read, who learns the result, the last answer."""
        self.store = store
        self.timers = timers
        self.kind = kind
        self.name = name
        self.on_result = on_result
        self.get_answered_at = get_answered_at
        self.is_pending = False
        self.is_paused = False

    def start(self) -> None:
        """Start to probe."""
        self.timers.call_every(INTERVAL_S, self._probe)

    def _probe(self) -> None:
        if self.is_pending or self.is_paused:
            return
        # An answer to another call proves as much.
        if self.timers.now() - self.get_answered_at() >= INTERVAL_S:
            self.is_pending = True
            self.store.read_stale(self.kind, self.name, self._on_read)

    def _on_read(self, result: records.ReadResult) -> None:
        self.is_pending = False
        self.on_result(result)
