"""Health probe of the store."""

from collections import abc

from citronjunction.store import records
from citronjunction.transport import timer_queue

Result = records.ReadResult | records.ListResult
INTERVAL_S = 1.0  # a hanging watch alone would go unnoticed for longer


class Probe:
    """Read one object periodically with the cheapest call, unless paused.

    With ``short_kind``, list that kind instead, which must have few objects.
    """

    __slots__ = (
        'get_answered_at',
        'is_paused',
        'is_pending',
        'kind',
        'name',
        'on_result',
        'short_kind',
        'store',
        'timers',
    )

    def __init__(
        self,
        store: records.Store,
        timers: timer_queue.TimerQueue,
        kind: str,
        name: str,
        on_result: abc.Callable[[Result], None],
        get_answered_at: abc.Callable[[], float],
    ) -> None:
        """Set the object to read and the callback for results.

        ``get_answered_at`` returns the monotonic time of the last answer of the
        store to any other call.
        """
        self.store = store
        self.timers = timers
        self.kind = kind
        self.name = name
        self.on_result = on_result
        self.get_answered_at = get_answered_at
        self.short_kind = ''
        self.is_pending = False
        self.is_paused = False

    def start(self) -> None:
        """Start the timer."""
        self.timers.call_every(INTERVAL_S, self._probe)

    def _probe(self) -> None:
        if self.is_pending or self.is_paused:
            return
        # A recent answer to another call shows as well that the store is up.
        if self.timers.now() - self.get_answered_at() >= INTERVAL_S:
            self.is_pending = True
            if self.short_kind:
                self.store.list_stale(self.short_kind, self._on_read)
            else:
                self.store.read_stale(self.kind, self.name, self._on_read)

    def _on_read(self, result: Result) -> None:
        self.is_pending = False
        self.on_result(result)
