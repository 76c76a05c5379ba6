"""Checkpoint of usage counts and quota use in the store.

Entries keep the counts of open usage windows and the use of quotas in memory
only, so without a checkpoint both are lost if all entries end at once.
"""

from collections import abc

from citronjunction.documents import errors
from citronjunction.duties import clock, usage
from citronjunction.gateway import (
    quota_logging,
    quota_past,
    quota_peers,
    quotas,
)
from citronjunction.observability import decisions
from citronjunction.store import eras, records
from citronjunction.transport import timer_queue

KIND = 'citron-checkpoints'
NAME = 'use'
WRITE_INTERVAL_S = 1.0  # bounds the use that is lost if all entries end
MIN_WRITE_INTERVAL_S = 0.25  # limits the number of writes in a flood
IDLE_WRITE_INTERVAL_S = 5.0  # while no request begins
READ_RETRY_S = 0.5  # delay of the next read while the store is unavailable


class Checkpoint:
    """Read the use of all entries at the start; write it as the holder."""

    __slots__ = (
        'clock',
        'eras',
        'has_pending_call',
        'is_certified',
        'is_read',
        'is_use_restored',
        'ledger',
        'log',
        'quotas',
        'revision',
        'store',
        'timers',
        'written_at',
        'written_counts',
    )

    def __init__(
        self,
        store: records.Store,
        store_eras: eras.Eras,
        timers: timer_queue.TimerQueue,
        steady_clock: clock.SteadyClock,
        ledger: usage.UsageLedger,
        limits: quotas.Quotas,
        log: decisions.DecisionLog,
    ) -> None:
        self.store = store
        self.timers = timers
        self.clock = steady_clock
        self.ledger = ledger
        self.quotas = limits
        self.eras = store_eras
        self.log = log
        self.has_pending_call = False
        # Whether the use before this start was read. What is in the store must
        # not be replaced before that.
        self.is_use_restored = False
        self.invalidate()
        store_eras.subscribe(self.invalidate)

    def start(self) -> None:
        """Read the quota use that was recorded before this entry started."""
        self.store.read(KIND, NAME, self._on_start_read)

    def invalidate(self) -> None:
        """Require a read before the next write: another holder may write."""
        self.is_read = False
        # Whether the store has lost nothing since the checkpoint was written.
        self.is_certified = False
        self.revision = 0
        self.written_counts: usage.Snapshot = {}
        self.written_at: float = 0

    def step(self, *, may_write: bool) -> None:
        """Read the checkpoint first, then write it at intervals.

        Its era certifies that the store has all usage reports of earlier
        windows, so it is only written once ``may_write`` says so.
        """
        if self.has_pending_call or not self.is_use_restored:
            return
        if not self.is_read:
            self.has_pending_call = True
            self.store.read(KIND, NAME, self._on_read)
            return
        if may_write:
            self._write_if_due()

    def _write_if_due(self) -> None:
        waited_s = self.timers.now() - self.written_at
        is_flood = self.quotas.has_unsaved_use()
        interval_s = MIN_WRITE_INTERVAL_S if is_flood else WRITE_INTERVAL_S
        if waited_s < interval_s:
            return
        counts = self.ledger.export()
        is_idle = counts == self.written_counts and not is_flood
        if not is_idle or waited_s >= IDLE_WRITE_INTERVAL_S:
            self._write(counts)

    def _write(self, counts: usage.Snapshot) -> None:
        self.has_pending_call = True
        self.written_counts = counts
        self.written_at = self.timers.now()
        spec = {
            'at': self.clock.now(),
            'era': self.eras.current,
            'begun': counts,
            'used': self.quotas.export(self.timers.now()),
            'entries': self.quotas.peers.count_live(),
            'totals': self._encode_totals(),
            'is_partial': not self.quotas.is_certain(self.timers.now()),
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
        self.is_use_restored = not isinstance(result, records.Unavailable)
        match result:
            case records.Record(spec=spec):
                saved = self._read_use(spec)
                self.quotas.restore(saved, self.timers.now())
                self._log_restored(saved)
            case records.Absent():
                self.quotas.is_past_use_known = True
                self.log.write('quota restored', NAME, is_absent=True)
            case records.Unavailable():
                self.timers.call_later(READ_RETRY_S, self.start)

    def _encode_totals(self) -> dict[str, list[object]]:
        """Return the incarnation and the total use of each entry."""
        totals = {
            name: [report.incarnation, report.used]
            for name, report in self.quotas.peers.export().items()
        }
        own = self.ledger
        totals[own.name] = [own.incarnation, dict(self.quotas.used)]
        return totals

    def _read_use(self, spec: abc.Mapping[str, object]) -> quota_past.SavedUse:
        """Return the saved use, or log that it can't be used."""
        try:
            return self._decode_use(spec)
        except errors.DECODE_ERRORS as error:
            self.log.write('checkpoint malformed', NAME, error=repr(error))
            return quota_past.SavedUse({}, 0, is_complete=False)

    def _decode_use(
        self, spec: abc.Mapping[str, object]
    ) -> quota_past.SavedUse:
        return quota_past.SavedUse(
            spec.get('used') or {},
            max(0, self.clock.now() - spec.get('at', 0)),
            self._is_current(spec) and not spec.get('is_partial'),
            int(spec.get('entries', 0)),
            {
                name: quota_peers.UseReport(incarnation, used)
                for name, (incarnation, used) in spec.get('totals', {}).items()
            },
        )

    def _log_restored(self, saved: quota_past.SavedUse) -> None:
        now = self.timers.now()
        used = {
            name: window.measure(now)
            for name, window in self.quotas.peer_windows.items()
        }
        self.log.write(
            'quota restored',
            NAME,
            age_s=round(saved.age_s, 3),
            is_complete=saved.is_complete,
            entries=saved.entries,
            used=quota_logging.select_highest(used),
        )

    def _on_read(self, result: records.ReadResult) -> None:
        self.has_pending_call = False
        match result:
            case records.Record(spec=spec, revision=revision):
                self.is_read = True
                self.is_certified = self._is_current(spec)
                self.revision = revision
                self.ledger.restore(spec.get('begun') or {})
            case records.Absent():
                self.is_read = True

    def _is_current(self, spec: abc.Mapping[str, object]) -> bool:
        return spec.get('era', eras.UNKNOWN) == self.eras.current

    def _on_written(self, result: records.WriteResult) -> None:
        self.has_pending_call = False
        match result:
            case records.Record(revision=revision):
                self.revision = revision
            case _:
                # The write may have taken effect; read the revision again.
                self.invalidate()
