"""Apply a release note to the store, among racing operators, without I/O."""

import dataclasses
from typing import Union

from citronjunction.configuration import models as configuration
from citronjunction.store import models as store_models
from citronjunction.releases import models, planning

MAX_ROUNDS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class ReadConfiguration:
    """Read the configuration again."""


@dataclasses.dataclass(slots=True, frozen=True)
class WriteConfiguration:
    """Write the configuration if the version is as expected."""

    planned: configuration.Configuration
    expected_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """Report the accepted revision."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """Report all that is wrong with the note."""

    problems: tuple[object, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Report moves of another operator that the note clashes with."""

    moves: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """Report that the store did not take the note.

    ``may_be_accepted`` tells that the last write has no known result.
    """

    reason: str
    may_be_accepted: bool


Action = Union[
    ReadConfiguration,
    WriteConfiguration,
    Accepted,
    Invalid,
    Conflict,
    Unavailable,
]


class NoteApplication:
    """Decide the next call to the store until the note is in or refused."""

    __slots__ = (
        'base',
        'is_uncertain',
        'note',
        'open_moves',
        'operation',
        'rounds',
    )

    def __init__(
        self,
        note: models.ReleaseNote,
        open_moves: frozenset[str],
        operation: str,
    ) -> None:
        """Take the note, the open moves and a unique operation id."""
        self.note = note
        self.open_moves = open_moves
        self.operation = operation
        self.base: configuration.Configuration | None = None
        self.is_uncertain = False
        self.rounds = 0

    def on_read(self, result: store_models.ReadResult) -> Action:
        """Take what the store holds."""
        self.rounds += 1
        match result:
            case store_models.Absent():
                return self._plan(configuration.Configuration(), '')
            case store_models.Stored(stored_object=held):
                current = configuration.decode(held.spec)
                if current is None:
                    reason = 'the configuration is malformed'
                    return Unavailable(reason, may_be_accepted=False)
                return self._plan(current, held.version)
            case store_models.Unknown(reason=reason):
                if self.rounds < MAX_ROUNDS:
                    return ReadConfiguration()
                return Unavailable(reason, self.is_uncertain)

    def on_write(
        self,
        result: store_models.WriteResult,
        planned: configuration.Configuration,
    ) -> Action:
        """Take the result of a write."""
        match result:
            case store_models.Stored():
                return Accepted(planned.revision)
            case store_models.Unknown():
                self.is_uncertain = True
        if self.rounds < MAX_ROUNDS:
            return ReadConfiguration()
        return Unavailable('the store did not take it', self.is_uncertain)

    def _plan(
        self,
        current: configuration.Configuration,
        version: str,
    ) -> Action:
        mine = self._find_own(current)
        if mine is not None:
            return Accepted(mine)
        if self.base is None:
            self.base = current
        conflicts = planning.find_conflicts(self.base, current, self.note)
        if conflicts:
            return Conflict(tuple(conflicts))
        planned = planning.plan_note(
            current,
            self.note,
            self.open_moves,
            self.operation,
        )
        if planned.is_ok():
            return WriteConfiguration(planned.ok, version)
        return Invalid(planned.error)

    def _find_own(self, current: configuration.Configuration) -> int | None:
        """Return the revision of an own write whose answer was lost."""
        if current.operation == self.operation:
            return current.revision
        if not self.is_uncertain or self.note.name not in current.notes:
            return None
        back = len(current.notes) - 1 - current.notes.index(self.note.name)
        return current.revision - back
