"""Probe that tells whether the store answers at all."""

from collections import abc

from citronjunction.store import records
from citronjunction.transport import deadlines

INTERVAL_S = 1.0  # a watch may hang for longer, unnoticed


class Probe:
    """Read one object again and again, at the lowest price."""

    __slots__ = (
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
        timers: deadlines.Deadlines,
        kind: str,
        name: str,
        on_result: abc.Callable[[records.ReadResult], None],
    ) -> None:
        """Take the object to read and who learns the result."""
        self.store = store
        self.timers = timers
        self.kind = kind
        self.name = name
        self.on_result = on_result
        self.is_pending = False
        self.is_paused = False

    def start(self) -> None:
        """Start to probe."""
        self.timers.call_every(INTERVAL_S, self._probe)

    def _probe(self) -> None:
        if not self.is_pending and not self.is_paused:
            self.is_pending = True
            self.store.read_stale(self.kind, self.name, self._on_read)

    def _on_read(self, result: records.ReadResult) -> None:
        self.is_pending = False
        self.on_result(result)
