"""First events that a worker owes an entry, and when they are due.

Times are monotonic seconds.
"""

import dataclasses
import math
from collections import abc

# An estimate leaves out what it can't know, such as requests of other entries
# since their last reports. A first event is due after twice its estimate and
# this time.
ESTIMATE_FACTOR = 2.0
SLACK_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Due:
    """When a first event is due; urgency group 0 is the most urgent."""

    urgency: int
    at: float


class Outstanding:
    """Requests that wait for their first event at one worker."""

    __slots__ = ('due_by_request',)

    def __init__(self) -> None:
        self.due_by_request: dict[abc.Hashable, Due] = {}

    def expect(
        self,
        request: abc.Hashable,
        urgency: int,
        expected_s: float,
        now: float,
    ) -> None:
        """Record a request that was sent; ``expected_s`` is the estimate."""
        due_at = now + ESTIMATE_FACTOR * expected_s + SLACK_S
        self.due_by_request[request] = Due(urgency, due_at)

    def settle(self, request: abc.Hashable) -> Due | None:
        """Return when the first event of a request was due, and forget it."""
        return self.due_by_request.pop(request, None)

    def get_overdue_s(self, urgency: int, now: float) -> float:
        """Return for how long the first event due earliest is overdue.

        Workers serve more urgent requests first, so less urgent ones that wait
        don't count.
        """
        earliest = min(
            (
                due.at
                for due in self.due_by_request.values()
                if due.urgency <= urgency
            ),
            default=math.inf,
        )
        return max(0, now - earliest)
