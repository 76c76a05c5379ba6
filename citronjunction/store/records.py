"""Port to a store of objects with revisions, conditional writes, watches."""

import dataclasses
from collections import abc
from typing import Protocol, Union


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Hold an object; its revision grows with each change."""

    name: str
    revision: int
    spec: abc.Mapping[str, object]
    status: abc.Mapping[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Hold a part of a list; ``after`` continues it unless it is empty."""

    records: tuple[Record, ...]
    as_of: int
    after: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """Hold the state of an object after a change."""

    record: Record
    is_removed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Changes:
    """Hold what changed until a revision."""

    changes: tuple[Change, ...]
    as_of: int


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryGone:
    """Report that changes since the revision are no longer known."""


@dataclasses.dataclass(slots=True, frozen=True)
class Absent:
    """Report that no object has the name."""


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Report that a condition of a write did not hold."""

    record: Record | None


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """Report that a call failed; a write may still take effect later."""

    reason: str
    may_take_effect: bool


ListResult = Union[Page, Unavailable]
WatchResult = Union[Changes, HistoryGone, Unavailable]
ReadResult = Union[Record, Absent, Unavailable]
WriteResult = Union[Record, Conflict, Absent, Unavailable]

OnList = abc.Callable[[ListResult], None]
OnWatch = abc.Callable[[WatchResult], None]
OnRead = abc.Callable[[ReadResult], None]
OnWrite = abc.Callable[[WriteResult], None]


class Store(Protocol):
    """Read and change objects; results come by a call."""

    def list_page(self, kind: str, after: str, on_list: OnList) -> None:
        """List the objects of a kind whose names come after one."""

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        on_watch: OnWatch,
    ) -> None:
        """Wait for changes of a kind since a revision."""

    def read(self, kind: str, name: str, on_read: OnRead) -> None:
        """Read one object."""

    def read_stale(self, kind: str, name: str, on_read: OnRead) -> None:
        """Read one object as it was at most seconds ago, at less cost."""

    def create(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        on_write: OnWrite,
    ) -> None:
        """Create an object unless the name is taken."""

    def replace(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        revision: int,
        on_write: OnWrite,
    ) -> None:
        """Replace the spec of an object that is at the revision."""

    def replace_status(
        self,
        kind: str,
        name: str,
        status: abc.Mapping[str, object],
        revision: int,
        on_write: OnWrite,
    ) -> None:
        """Replace the status of an object that is at the revision."""
