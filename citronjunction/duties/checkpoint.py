"""Keeps the counts of open usage windows in the store.

Entries lose their memory when they end, also all at once; what was counted
until the last checkpoint can then still be reported.
"""

from citronjunction.duties import usage
from citronjunction.store import records
from citronjunction.transport import deadlines

KIND = 'citron-usage-open'
NAME = 'counts'
INTERVAL_S = 1.0  # so much of a window's counts is lost at worst


class Checkpoint:
    """Write all counts as the holder; read them once as a new holder."""

    __slots__ = (
        'is_busy',
        'is_read',
        'ledger',
        'revision',
        'store',
        'timers',
        'written',
        'written_at',
    )

    def __init__(
        self,
        store: records.Store,
        timers: deadlines.Deadlines,
        ledger: usage.UsageLedger,
    ) -> None:
        """Take the counts and where they are kept."""
        self.store = store
        self.timers = timers
        self.ledger = ledger
        self.forget()
        self.is_busy = False

    def forget(self) -> None:
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
        snapshot = self.ledger.export()
        if snapshot == self.written:
            return
        self.is_busy = True
        self.written = snapshot
        self.written_at = self.timers.now()
        spec = {'entries': snapshot}
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

    def _on_read(self, result: records.ReadResult) -> None:
        self.is_busy = False
        match result:
            case records.Record(spec=spec, revision=revision):
                self.is_read = True
                self.revision = revision
                self.ledger.restore(spec.get('entries') or {})
            case records.Absent():
                self.is_read = True

    def _on_written(self, result: records.WriteResult) -> None:
        self.is_busy = False
        match result:
            case records.Record(revision=revision):
                self.revision = revision
            case _:
                # Whether the write took effect is not known.
                self.forget()
