"""The lease aggregate, without I/O; own times are monotonic seconds.

Clocks of different hosts are not compared. A node that wants a lease takes
it over once it has seen the same version unchanged for the lease's whole
duration by its own clock.
"""

import dataclasses
from typing import Union

from citronjunction.documents import codec


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRecord:
    """Hold a lease as the store keeps it; ``duration_s`` is in seconds."""

    holder: str
    epoch: int
    duration_s: float
    operation: str
    is_released: bool = False


CODEC = codec.Codec(LeaseRecord)
encode = CODEC.encode
decode = CODEC.decode


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Leave the lease alone for now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Write this record if the version is as expected."""

    record: LeaseRecord
    expected_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Read the lease again."""


Action = Union[Wait, Write, Read]


class Lease:
    """Take, renew and lose one lease."""

    __slots__ = (
        'duration_s',
        'epoch',
        'expires_at',
        'is_uncertain',
        'margin_s',
        'name',
        'observed_version',
        'observed_at',
        'operation_count',
        'pending',
        'record',
        'sent_at',
        'acquired_at',
        'version',
    )

    def __init__(self, name: str, duration_s: float, margin_s: float) -> None:
        """Take the holder's unique name and the times in seconds."""
        self.name = name
        self.duration_s = duration_s
        self.margin_s = margin_s
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
        """Tell whether the holder may act now."""
        return now < self.expires_at - self.margin_s

    def decide(self, now: float) -> Action:
        """Decide what to do next."""
        if self.pending is not None:
            return Wait()
        if self.is_uncertain or self.version != self.observed_version:
            return Read()
        if self._is_own():
            return self._renew(now)
        if self.record is None or self._may_take_over(now):
            return self._write(self._get_last_epoch() + 1, now)
        return Read()

    def observe_version(self, version: str, now: float) -> None:
        """Learn from its holder which version the lease has by now."""
        if self.pending is None and version != self.observed_version:
            self.observed_version = version
            self.observed_at = now

    def apply_read(
        self,
        record: LeaseRecord | None,
        version: str,
        now: float,
    ) -> None:
        """Take what the store holds; no record means the lease is free."""
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
        """Learn that the write took effect."""
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
        """Learn that the write failed or that its answer was lost."""
        self.pending = None
        self.is_uncertain = True

    def release(self, now: float) -> Action:
        """Give the lease back before it expires."""
        if not self._is_own() or self.pending is not None:
            return Wait()
        self.expires_at = 0
        record = dataclasses.replace(self.record, is_released=True)
        return Write(record, self.version)

    def _is_own(self) -> bool:
        record = self.record
        if record is None or record.is_released:
            return False
        return record.holder == self.name

    def _renew(self, now: float) -> Action:
        left_s = self.expires_at - now
        if left_s > self.duration_s / 2:
            return Wait()
        if left_s <= self.margin_s:
            # A holder that was paused takes a new epoch.
            return self._write(self._get_last_epoch() + 1, now)
        return self._write(self.epoch, now)

    def _write(self, epoch: int, now: float) -> Write:
        self.operation_count += 1
        operation = f'{self.name}/{epoch}/{self.operation_count}'
        record = LeaseRecord(self.name, epoch, self.duration_s, operation)
        self.pending = record
        self.sent_at = now
        return Write(record, self.version)

    def _confirm(self, record: LeaseRecord) -> None:
        last = f'{self.name}/{record.epoch}/{self.operation_count}'
        if record.operation != last:
            return
        if record.epoch != self.epoch:
            self.acquired_at = self.sent_at
        self.epoch = record.epoch
        self.expires_at = self.sent_at + self.duration_s

    def _may_take_over(self, now: float) -> bool:
        if self.record.is_released:
            return True
        return now - self.observed_at > self.record.duration_s

    def _get_last_epoch(self) -> int:
        return 0 if self.record is None else self.record.epoch
