"""Reads and writes of the duties lease in the store."""

import uuid
from collections import abc

from citronjunction.conf import models as conf
from citronjunction.duties import models
from citronjunction.leases import models as leases
from citronjunction.observability import decisions
from citronjunction.store import eras, formats, records
from citronjunction.transport import timer_queue

KIND = 'citron-leases'
NAME = 'duties'
MIN_READ_INTERVAL_S = 2.0  # while another entry is the holder
REVISION_BITS = 32  # of a fencing token; the bits above them are the era
VERSION_SEPARATOR = '.'  # between the era and the revision in a version


class LeaseClient:
    """Acquire, renew and release the duties lease for one entry.

    Times come from the boot clock, which also advances while the host is
    suspended, so a resumed holder notices that its lease has expired.
    """

    __slots__ = (
        'eras',
        'formats',
        'has_pending_call',
        'is_peer_holder',
        'is_releasing',
        'lease',
        'log',
        'name',
        'on_renewed',
        'read_at',
        'store',
        'timers',
        'was_held',
    )

    def __init__(
        self,
        settings: conf.Duties,
        name: str,
        store: records.Store,
        store_eras: eras.Eras,
        timers: timer_queue.TimerQueue,
        log: decisions.DecisionLog,
        is_peer_holder: abc.Callable[[], bool],
        on_renewed: abc.Callable[[], None],
    ) -> None:
        self.name = name
        self.store = store
        self.timers = timers
        self.log = log
        self.is_peer_holder = is_peer_holder
        own_name = f'{name}/{uuid.uuid4().hex[:8]}'
        self.lease = leases.Lease(
            own_name, settings.lease_s, settings.margin_s, name
        )
        self.formats = formats.FormatCheck(KIND)
        self.has_pending_call = False
        self.is_releasing = False
        self.was_held = False
        self.read_at: float = 0
        self.on_renewed = on_renewed
        self.eras = store_eras
        store_eras.subscribe(self._begin_era)

    def get_fence(self) -> models.Fence | None:
        """Return the fence for a call, or None if the lease may be lost.

        The token consists of the era of the store and the revision at which
        this entry acquired the lease. A restored store gives out revisions
        again, but not together with the same era.
        """
        token = self._get_token()
        if token is None:
            return None
        return models.Fence(
            self.name, token, lambda: self._get_token() == token
        )

    def tick(self) -> None:
        """Renew, acquire or read the lease, whichever is due."""
        self._log_change()
        if self.has_pending_call:
            return
        now = self.timers.boot_time()
        match self.lease.decide(now):
            case leases.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)
            case leases.Read() if self._should_read(now):
                self.read_at = now
                self.has_pending_call = True
                self.store.read(KIND, NAME, self._on_read)

    def observe_version(self, version: str) -> bool:
        """Record the version that the holder reports; return if it is new."""
        is_new = version != self.lease.observed_version
        self.lease.observe_version(version, self.timers.boot_time())
        return is_new

    def get_version(self) -> str:
        """Return the version of the lease, or an empty text if not held."""
        return self.lease.version if self.get_fence() else ''

    def release(self) -> None:
        """Release the lease so that another entry can acquire it at once.

        If a renewal is in flight, release after it, since it changes the
        version that the release has to expect.
        """
        self.is_releasing = self.lease.pending is not None
        match self.lease.release(self.timers.boot_time()):
            case leases.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)

    def _get_token(self) -> int | None:
        if not self.lease.is_held(self.timers.boot_time()):
            return None
        revision = _read_revision(self.lease.acquired_version)
        return (self.lease.acquired_era << REVISION_BITS) + revision

    def _should_read(self, now: float) -> bool:
        if self.lease.is_uncertain and not self.read_at:
            return True
        return (
            now - self.read_at >= MIN_READ_INTERVAL_S
            and not self.is_peer_holder()
        )

    def _write(self, record: leases.LeaseRecord, expected_version: str) -> None:
        self.has_pending_call = True
        spec = formats.stamp(leases.encode(record))
        if expected_version:
            self.store.replace(
                KIND,
                NAME,
                spec,
                _read_revision(expected_version),
                self._on_write,
            )
        else:
            self.store.create(KIND, NAME, spec, self._on_write)

    def _on_read(self, result: records.ReadResult) -> None:
        self.has_pending_call = False
        now = self.timers.boot_time()
        match result:
            case records.Record(spec=spec, revision=revision) if (
                self.formats.is_known(NAME, spec)
            ):
                record = leases.decode(dict(spec))
                version = self._build_version(revision)
                self.lease.apply_read(record, version, now)
            case records.Absent():
                self.lease.apply_read(None, '', now)

    def _on_write(self, result: records.WriteResult) -> None:
        self.has_pending_call = False
        match result:
            case records.Record(revision=revision):
                version = self._build_version(revision)
                self.lease.apply_write(version, self.timers.boot_time())
                self.on_renewed()
            case _:
                self.lease.fail_write()
                self.read_at = 0
        if self.is_releasing:
            self.release()

    def _begin_era(self) -> None:
        self.read_at = 0
        self.lease.begin_era(self.eras.current, self.timers.boot_time())

    def _build_version(self, revision: int) -> str:
        return f'{self.eras.current}{VERSION_SEPARATOR}{revision}'

    def _log_change(self) -> None:
        fence = self.get_fence()
        is_held = fence is not None
        if is_held != self.was_held:
            self.was_held = is_held
            self.log.write(
                'lease',
                NAME,
                is_held=is_held,
                epoch=self.lease.epoch,
                era=self.lease.era,
                token=fence.token if fence else 0,
            )


def _read_revision(version: str) -> int:
    return int(version.rpartition(VERSION_SEPARATOR)[2])
