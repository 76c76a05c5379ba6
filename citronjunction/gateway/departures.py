"""Starts of workers that were removed."""

import dataclasses

# Time after a restore of the store in which the platform removes registrations
# of workers that are silent.
RESTORED_WORKERS_S = 4.5


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """Record that a start of a worker was removed, in monotonic seconds.

    ``is_final`` means that this start does not return.
    """

    started_at_ms: int
    left_at: float
    is_final: bool

    def is_over(self, restored_at: float | None, now: float) -> bool:
        """Return whether a worker that is registered again is in use again.

        A restored store may list a worker that is gone, until the platform
        removes the registration once more.
        """
        if self.is_final:
            return False
        if restored_at is None or self.left_at >= restored_at:
            return True
        return now - restored_at >= RESTORED_WORKERS_S
