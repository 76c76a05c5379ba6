"""Load figures that a worker states, and requests that compete for slots."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StatedLoad:
    """Load that a worker states in an answer.

    ``slowdown`` is how much longer work takes there at this moment, as a
    factor, or None if the worker states none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Occupancy:
    """Requests at a worker from the view of a further one.

    ``waiting`` counts those without a first event, ``ahead`` the part of them
    that is at least as urgent.
    """

    slots: int
    running: int
    waiting: int
    ahead: int

    @property
    def excess(self) -> int:
        """Return how many slots must be freed before a further request runs."""
        started = self.running - self.waiting
        return max(0, started + self.ahead + 1 - self.slots)
