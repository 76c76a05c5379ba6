"""Leases without I/O; times are seconds of a monotonic clock.

Clocks of different hosts are not compared. A node may take over a lease after
its version has not changed for the lease's whole duration, measured by the
node's own clock.
"""

import dataclasses
from typing import Union

from citronjunction.documents import codec


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRecord:
    """State of a lease in the store.

    ``operation`` identifies the write, so that a node whose write was not
    answered can tell whether it took effect. ``era`` is the era of the store
    that the writer knew.
    """

    holder: str
    epoch: int
    duration_s: float
    operation: str
    is_released: bool = False
    era: int = 0


CODEC = codec.Codec(LeaseRecord)
encode = CODEC.encode
decode = CODEC.decode


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Request nothing at present."""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Request a write, on condition that the stored version is as expected.

    An empty ``expected_version`` means that no record may exist yet.
    """

    record: LeaseRecord
    expected_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Request a read of the lease."""


Action = Union[Wait, Write, Read]


class Lease:
    """Decide when to acquire, renew and release a lease for one node.

    The caller carries out the actions and passes on their results.
    """

    __slots__ = (
        'acquired_at',
        'acquired_era',
        'acquired_version',
        'duration_s',
        'epoch',
        'era',
        'expires_at',
        'host',
        'is_acquiring',
        'is_uncertain',
        'margin_s',
        'observed_at',
        'observed_version',
        'operation_count',
        'own_name',
        'pending',
        'quiet_until',
        'record',
        'sent_at',
        'version',
    )

    def __init__(
        self,
        own_name: str,
        duration_s: float,
        margin_s: float,
        host: str = '',
    ) -> None:
        """Build a lease that is not held.

        ``own_name`` has to be unique to this start of the process. The lease
        counts as lost ``margin_s`` before it expires. A ``host`` that runs one
        process at a time begins the names of all its processes, followed by a
        slash; a lease of an earlier one can be taken over at once.
        """
        self.own_name = own_name
        self.host = host
        self.duration_s = duration_s
        self.margin_s = margin_s
        self.era = 0
        self.quiet_until: float = 0
        self.is_acquiring = True
        self.acquired_era = 0
        self.acquired_version = ''
        self.version = ''
        self.observed_version = ''
        self.observed_at: float | None = None
        self.record: LeaseRecord | None = None
        self.epoch = 0
        self.expires_at: float = 0
        self.acquired_at: float = 0
        self.sent_at: float = 0
        self.pending: LeaseRecord | None = None
        self.is_uncertain = True
        self.operation_count = 0

    def is_held(self, now: float) -> bool:
        """Return whether this node is the holder and may act as such."""
        return now < self.expires_at - self.margin_s

    def begin_era(self, era: int, now: float) -> None:
        """Start over in a later era of the store, or in the first one seen.

        The restored store may lack a lease that is still held elsewhere, so
        this node acquires none for a lease's duration, unless it is the holder.
        """
        self.era = era
        self.quiet_until = now + self.duration_s
        self.is_acquiring = True
        self.version = ''
        self.observed_version = ''
        self.observed_at = None
        self.record = None
        self.pending = None
        self.is_uncertain = True
        # An operation of the earlier era must not confirm the lease.
        self.operation_count += 1

    def decide(self, now: float) -> Action:
        """Return the action that is due."""
        if self.pending is not None:
            return Wait()
        if self.is_uncertain or self.version != self.observed_version:
            return Read()
        if self._is_current() and self._is_own():
            return self._renew(now)
        if self._is_free(now):
            return self._write(self._get_last_epoch() + 1, now)
        return Read()

    def observe_version(self, version: str, now: float) -> None:
        """Record the version of the lease that its holder reports."""
        if self.pending is None and version != self.observed_version:
            self.observed_version = version
            self.observed_at = now

    def apply_read(
        self,
        record: LeaseRecord | None,
        version: str,
        now: float,
    ) -> None:
        """Apply the result of a read; None means that no record exists."""
        if self.pending is not None:
            return
        if self.observed_at is None or version != self.observed_version:
            self.observed_version = version
            self.observed_at = now
        self.record = record
        self.version = version
        if self.is_uncertain and self._is_own():
            self._confirm(record)
        self.is_uncertain = False

    def apply_write(self, version: str, now: float) -> None:
        """Confirm the pending write, which produced this version."""
        written = self.pending
        self.pending = None
        if written is None:
            return
        self.record = written
        self.version = version
        self.observed_version = version
        self.observed_at = now
        self._confirm(written)

    def fail_write(self) -> None:
        """Record that the pending write failed or was not answered."""
        self.pending = None
        self.is_uncertain = True

    def release(self, now: float) -> Action:
        """Stop holding the lease and return the write that frees it.

        Return ``Wait`` if this node is not the holder or a write is pending.
        """
        if not self._is_own() or self.pending is not None:
            return Wait()
        self.expires_at = 0
        record = dataclasses.replace(self.record, is_released=True)
        return Write(record, self.version)

    def _is_own(self) -> bool:
        record = self.record
        if record is None or record.is_released:
            return False
        return record.holder == self.own_name

    def _is_of_predecessor(self) -> bool:
        """Return whether a process that this one replaces was the holder."""
        if not self.host or self._is_own():
            return False
        return self.record.holder.startswith(f'{self.host}/')

    def _is_current(self) -> bool:
        """Return whether the record was written in the current era."""
        return self.record is not None and self.record.era == self.era

    def _is_free(self, now: float) -> bool:
        if not self._is_current() and self.is_held(now):
            return True
        if self.record is None:
            return now >= self.quiet_until
        if self._is_current():
            return self._may_take_over(now)
        # A node that did not know of the era may have overwritten the record of
        # a holder, whose lease can last for its duration from then on.
        return (
            now >= self.quiet_until
            and now - self.observed_at > self.record.duration_s
        )

    def _renew(self, now: float) -> Action:
        left_s = self.expires_at - now
        if left_s > self.duration_s / 2:
            return Wait()
        if left_s <= self.margin_s:
            # The lease has lapsed, for instance because the process was paused.
            # The holder continues under a new epoch.
            return self._write(self._get_last_epoch() + 1, now)
        return self._write(self.epoch, now)

    def _write(self, epoch: int, now: float) -> Write:
        self.operation_count += 1
        operation = f'{self.own_name}/{epoch}/{self.operation_count}'
        record = LeaseRecord(
            self.own_name,
            epoch,
            self.duration_s,
            operation,
            era=self.era,
        )
        self.pending = record
        self.sent_at = now
        return Write(record, self.version)

    def _confirm(self, record: LeaseRecord) -> None:
        last_operation = (
            f'{self.own_name}/{record.epoch}/{self.operation_count}'
        )
        if record.operation != last_operation:
            return
        if record.epoch != self.epoch or self.is_acquiring:
            self.acquired_at = self.sent_at
            self.acquired_era = self.era
            self.acquired_version = self.version
            self.is_acquiring = False
        self.epoch = record.epoch
        self.expires_at = self.sent_at + self.duration_s

    def _may_take_over(self, now: float) -> bool:
        if self.record.is_released or self._is_of_predecessor():
            return True
        return now - self.observed_at > self.record.duration_s

    def _get_last_epoch(self) -> int:
        stored_epoch = 0 if self.record is None else self.record.epoch
        return max(self.epoch, stored_epoch)
