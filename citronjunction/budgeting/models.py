"""Accounts of callers' connections, and what the budget decided."""

import dataclasses
import enum
from collections import abc

SLOW_AFTER_S = 1.0
SLOW_BYTES_PER_S = 65536
QUICK_BYTES = 65536  # added to the bytes moved, so that small steps score low
MIN_AGE_S = 0.01


class Part(enum.IntEnum):
    """Name what bytes of a caller are kept for."""

    receiving = 0
    parsed = 1
    waiting = 2
    held = 3
    unsent = 4


class Limit(enum.Enum):
    """Name the limit that ended a request or connection."""

    memory = 'memory'
    bodies = 'bodies'
    connections = 'connections'
    address = 'address'
    sockets = 'sockets'


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Describe who went for a limit; ``cost`` in bytes, ``age_s`` of the step."""

    limit: Limit
    listener: str
    address: str
    cost: int
    age_s: float
    moved: int
    is_slow: bool


def make_parts() -> list[int]:
    """Return the bytes of all parts of an account, 0 each."""
    return [0 for _ in Part]


Evict = abc.Callable[[Ended], None]


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """Store what a connection costs, and the progress of its current step.

    A step receives a request or sends an answer; ``moved`` are its bytes. It
    begins anew with each request and with each answer that can't be sent at
    once. ``is_running`` says that a request was passed on.
    """

    listener: str
    address: str
    evict: Evict
    began_at: float
    moved: int = 0
    cost: int = 0
    is_running: bool = False
    is_idle: bool = True
    is_open: bool = True
    parts: list[int] = dataclasses.field(default_factory=make_parts)

    def begin_step(self, now: float) -> None:
        """Measure progress from now on."""
        self.began_at = now
        self.moved = 0
        self.is_idle = False

    def is_slow(self, now: float) -> bool:
        """Return whether the current step moves few bytes for its time."""
        age_s = now - self.began_at
        return age_s >= SLOW_AFTER_S and self.moved < SLOW_BYTES_PER_S * age_s

    def is_evictable(self) -> bool:
        """Return whether bytes can be freed without stopping a run."""
        if not self.is_running:
            return self.cost > 0
        return self.parts[Part.held] + self.parts[Part.unsent] > 0

    def score(self, now: float) -> float:
        """Return the cost over the progress; the highest goes first."""
        age_s = max(now - self.began_at, MIN_AGE_S)
        return self.cost * age_s / (self.moved + QUICK_BYTES)
