"""Room at workers that end if they refuse too many requests, without I/O.

While a worker of an upstream says that it is brittle, the entries divide the
places of all its workers among themselves, so that none has to refuse. A worker
that refuses nevertheless has less room than slots; it gets nothing for a moment
and then fewer requests. Times are monotonic seconds.
"""

import dataclasses
import math
from collections import abc

from citronjunction.gateway import constraints

PAUSE_S = 1.0  # after a refusal; refusals are counted by the second
ROOM_SHARE = 0.75  # of the requests that a full worker had
ROOM_GROWTH_PER_S = 1.0  # places that are tried again


@dataclasses.dataclass(slots=True, frozen=True)
class Places:
    """Places of a worker: its slots, and the requests of this and all entries."""

    slots: int
    own_running: int
    total_running: int


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Room of a worker that was full at a time."""

    places: float
    full_at: float

    def measure(self, now: float) -> float:
        """Return the room that is assumed now; 0 during the pause."""
        since_s = now - self.full_at
        if since_s < PAUSE_S:
            return 0
        return self.places + (since_s - PAUSE_S) * ROOM_GROWTH_PER_S


class Brittleness:
    """Brittle workers by the keys of their starts, and their room."""

    __slots__ = ('by_start', 'get_turn', 'rooms')

    def __init__(self) -> None:
        self.by_start: dict[str, constraints.Constraint] = {}
        self.rooms: dict[str, Room] = {}
        # Returns this entry's turn at a worker.
        self.get_turn: constraints.GetTurn = constraints.take_first_turn

    def find(self, start_key: str) -> constraints.Constraint | None:
        """Return the constraint of a worker, if it ever named one."""
        return self.by_start.get(start_key)

    def apply(
        self,
        start_key: str,
        per_s: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        """Apply what a worker named; return whether it changed."""
        constraint = self.by_start.get(start_key)
        if constraint is None:
            constraint = constraints.Constraint(now)
            self.by_start[start_key] = constraint
            constraints.forget_oldest(self.by_start)
        return constraint.apply(per_s, named_at, now)

    def record_full(self, start_key: str, running: int, now: float) -> None:
        """Record that a worker refused a request while it had so many."""
        places = max(1, ROOM_SHARE * running)
        known = self.rooms.get(start_key)
        if known is not None and now - known.full_at < PAUSE_S:
            places = min(places, known.places)
        self.rooms[start_key] = Room(places, now)
        constraints.forget_oldest(self.rooms)

    def has_brittle(self, start_keys: abc.Iterable[str]) -> bool:
        """Return whether one of the workers of an upstream is brittle."""
        if not self.by_start:
            return False
        known = map(self.by_start.get, start_keys)
        return any(
            constraint is not None and constraint.per_s is not None
            for constraint in known
        )

    def has_place(self, start_key: str, places: Places, now: float) -> bool:
        """Return whether this entry may send a request to a brittle worker.

        It has a share of the places, for which there must be room if others
        used it lately. Beyond it, there must be one for each entry, as the
        others may take theirs at the same time; if all places belong to some
        entries only, no unused parts make up for late reports.
        """
        turn = self.get_turn(start_key, now)
        room: float = places.slots
        known = self.rooms.get(start_key)
        if known is not None:
            room = min(room, known.measure(now))
        room = math.floor(room * turn.known_share)
        share, rest = divmod(room, turn.entries)
        share += turn.position < rest
        has_room = places.total_running + turn.spare <= room
        has_share = places.own_running < share and (has_room or not turn.spare)
        is_shared = places.total_running + turn.entries <= room
        is_shared = is_shared and not turn.is_divided_anew
        return has_share or is_shared
