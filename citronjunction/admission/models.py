"""Inputs and results of an admission decision."""

import dataclasses

from citronjunction.organisations import models as organisations


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Describe a request for admission control.

    ``name`` is the request's id and ``cost`` its estimate in tokens;
    ``arrived_at`` and ``deadline_at`` are monotonic seconds.
    """

    name: str
    organisation: str
    request_class: organisations.RequestClass
    cost: float
    arrived_at: float
    deadline_at: float

    @property
    def due_at(self) -> float:
        """Return when the request should run by its class and deadline."""
        by_class = (
            self.arrived_at + organisations.DUE_AFTER_S[self.request_class]
        )
        return min(by_class, self.deadline_at)


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """Send the request to a worker now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """Keep the request in the queue; the wait is an estimate."""

    expected_wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Reject the request before it has run."""

    reason: str
    retry_after_s: float
