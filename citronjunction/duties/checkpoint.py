"""Keeps in the store what entries would lose if all of them ended at once.

That is the counts of open usage windows and the use of quotas.
"""

from citronjunction.duties import clock, usage
from citronjunction.gateway import quotas
from citronjunction.store import records
from citronjunction.transport import timer_queue

KIND = 'citron-checkpoints'
NAME = 'use'
INTERVAL_S = 1.0  # so much of the use is lost at worst
READ_AGAIN_S = 0.5  # between reads at the start while the store is away


class Checkpoint:
    """Write all use as the holder; read it at the start of an entry."""

    __slots__ = (
        'clock',
        'is_busy',
        'is_read',
        'ledger',
        'quotas',
        'revision',
        'store',
        'timers',
        'written',
        'written_at',
    )

    def __init__(
        self,
        store: records.Store,
        timers: timer_queue.TimerQueue,
        steady: clock.SteadyClock,
        ledger: usage.UsageLedger,
        held: quotas.Quotas,
    ) -> None:
        """Take what is kept and where."""
        self.store = store
        self.timers = timers
        self.clock = steady
        self.ledger = ledger
        self.quotas = held
        self.is_busy = False
        self.invalidate()

    def start(self) -> None:
        """Read what the entries before this start used."""
        self.store.read(KIND, NAME, self._on_start_read)

    def invalidate(self) -> None:
        """Read again before the next write: another holder may write."""
        self.is_read = False
        self.revision = 0
        self.written: usage.Snapshot = {}
        self.written_at: float = 0

    def step(self) -> None:
        """Read at first, then write at intervals."""
        if self.is_busy:
            return
        if not self.is_read:
            self.is_busy = True
            self.store.read(KIND, NAME, self._on_read)
        elif self.timers.now() - self.written_at >= INTERVAL_S:
            self._write()

    def _write(self) -> None:
        begun = self.ledger.export()
        if begun == self.written:
            return
        self.is_busy = True
        self.written = begun
        self.written_at = self.timers.now()
        spec = {
            'at': self.clock.now(),
            'begun': begun,
            'used': self.quotas.export(self.timers.now()),
        }
        if self.revision:
            self.store.replace(
                KIND,
                NAME,
                spec,
                self.revision,
                self._on_written,
            )
        else:
            self.store.create(KIND, NAME, spec, self._on_written)

    def _on_start_read(self, result: records.ReadResult) -> None:
        match result:
            case records.Record(spec=spec):
                self.quotas.restore(
                    spec.get('used') or {},
                    max(0, self.clock.now() - spec.get('at', 0)),
                    self.timers.now(),
                )
            case records.Absent():
                self.quotas.is_past_use_known = True
            case records.Unavailable():
                self.timers.call_later(READ_AGAIN_S, self.start)

    def _on_read(self, result: records.ReadResult) -> None:
        self.is_busy = False
        match result:
            case records.Record(spec=spec, revision=revision):
                self.is_read = True
                self.revision = revision
                self.ledger.restore(spec.get('begun') or {})
            case records.Absent():
                self.is_read = True

    def _on_written(self, result: records.WriteResult) -> None:
        self.is_busy = False
        match result:
            case records.Record(revision=revision):
                self.revision = revision
            case _:
                # Whether the write took effect is not known.
                self.invalidate()
