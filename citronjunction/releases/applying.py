"""Optimistic concurrency control for applying a release note, without I/O."""

import dataclasses
from typing import Union

from citronjunction.configuration import models as configuration
from citronjunction.store import models as store_models
from citronjunction.releases import models, planning

MAX_ROUNDS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class ReadConfiguration:
    """Read the configuration from the store."""


@dataclasses.dataclass(slots=True, frozen=True)
class WriteConfiguration:
    """Write the configuration if the stored version is the expected one."""

    planned: configuration.Configuration
    expected_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The note was accepted as this revision."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """The note was rejected for these problems."""

    problems: tuple[object, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """The note conflicts with these moves, which were accepted meanwhile."""

    moves: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """The store did not confirm the note.

    ``may_be_accepted`` is set if the result of a write is unknown.
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
    """Decide the next call to the store until the note is accepted or rejected.

    The caller performs each returned action and passes its result to
    ``on_read`` or ``on_write``. ``base`` is the configuration that was read
    first; moves that were accepted after it may conflict with the note.
    """

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
        """Prepare to apply a note.

        ``operation`` is a unique id by which a write of this note is found
        again if its response was lost.
        """
        self.note = note
        self.open_moves = open_moves
        self.operation = operation
        self.base: configuration.Configuration | None = None
        self.is_uncertain = False
        self.rounds = 0

    def on_read(self, result: store_models.ReadResult) -> Action:
        """Return the next action after a read of the configuration."""
        self.rounds += 1
        match result:
            case store_models.Absent():
                return self._plan(configuration.Configuration(), '')
            case store_models.Stored(stored_object=stored):
                current = configuration.decode(stored.spec)
                if current is None:
                    reason = 'the stored configuration is malformed'
                    return Unavailable(reason, may_be_accepted=False)
                return self._plan(current, stored.version)
            case store_models.Unknown(reason=reason):
                if self.rounds < MAX_ROUNDS:
                    return ReadConfiguration()
                return Unavailable(reason, self.is_uncertain)

    def on_write(
        self,
        result: store_models.WriteResult,
        planned: configuration.Configuration,
    ) -> Action:
        """Return the next action after a write of ``planned``."""
        match result:
            case store_models.Stored():
                return Accepted(planned.revision)
            case store_models.Unknown():
                self.is_uncertain = True
        if self.rounds < MAX_ROUNDS:
            return ReadConfiguration()
        return Unavailable(
            'the store did not confirm the write', self.is_uncertain
        )

    def _plan(
        self,
        current: configuration.Configuration,
        version: str,
    ) -> Action:
        own_revision = self._find_own_revision(current)
        if own_revision is not None:
            return Accepted(own_revision)
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

    def _find_own_revision(
        self, current: configuration.Configuration
    ) -> int | None:
        """Return the revision of this note if an own write was accepted."""
        if current.operation == self.operation:
            return current.revision
        if not self.is_uncertain or self.note.name not in current.notes:
            return None
        notes_since = (
            len(current.notes) - 1 - current.notes.index(self.note.name)
        )
        return current.revision - notes_since
