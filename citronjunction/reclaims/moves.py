"""Moves of runs between workers, and what their results show."""

import dataclasses
import enum
from collections import abc
from typing import Protocol, Union

from citronjunction.reclaims import models


@dataclasses.dataclass(slots=True, frozen=True)
class Moved:
    """Result: the KV cache of a run is at the target under a handle."""

    handle: str


@dataclasses.dataclass(slots=True, frozen=True)
class Kept:
    """Result: the KV cache of a stopped run stayed at the source."""

    handle: str


class RunState(enum.Enum):
    """What a call that has copied nothing has done to the run."""

    unaffected = 'unaffected'  # it had ended before, or the call was not sent
    unknown = 'unknown'  # only further events show that it was not stopped
    unanswered = 'unanswered'  # the source may still stop it, at any time


@dataclasses.dataclass(slots=True, frozen=True)
class NotMoved:
    """Result: nothing was copied."""

    reason: str
    run: RunState = RunState.unknown


MoveResult = Union[Moved, Kept, NotMoved]


class Mover(Protocol):
    """Move the KV caches of runs between workers, given by address."""

    def move(
        self,
        source: str,
        request: str,
        target: str,
        on_result: abc.Callable[[MoveResult], None],
    ) -> None:
        """Stop a run and copy its KV cache to the target."""

    def release(self, source: str, handle: str) -> None:
        """Free the memory that a handle of the source holds at both workers."""

    def read_time_left(
        self,
        source: str,
        on_read: abc.Callable[[models.TimeLeft | None], None],
    ) -> None:
        """Request when a worker ends; None if unknown."""
