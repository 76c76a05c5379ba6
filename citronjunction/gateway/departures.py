"""Starts of workers that were removed."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """Record that a start of a worker was removed, in monotonic seconds.

    ``is_final`` means that this start does not return.
    """

    started_at_ms: int
    left_at: float
    is_final: bool
