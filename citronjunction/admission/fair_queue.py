"""Weighted start-time fair queueing between organisations by token cost."""

import dataclasses
import heapq
import itertools
from collections import abc

from citronjunction.admission import models

MIN_WEIGHT = 0.001
MAX_CREDIT_TOKENS = 2000  # unused service that an idle organisation keeps


@dataclasses.dataclass(slots=True, eq=False)
class OrganisationQueue:
    """Queue one organisation's requests by due time.

    ``virtual_finish`` grows by the cost of each served request, divided by
    the weight. The heap holds tuples of due time, sequence number and request.
    """

    weight: float = 1
    virtual_finish: float = 0
    queued_cost: float = 0
    heap: list[tuple[float, int, models.Ticket]] = dataclasses.field(
        default_factory=list,
    )


class FairQueue:
    """Serve the organisation with the earliest virtual finish time.

    ``virtual_time`` is the latest virtual start time of a served request.
    """

    __slots__ = ('by_organisation', 'length', 'sequence', 'virtual_time')

    def __init__(self) -> None:
        self.by_organisation: dict[str, OrganisationQueue] = {}
        self.length = 0
        self.sequence = itertools.count()
        self.virtual_time: float = 0

    def set_weight(self, organisation: str, weight: float) -> None:
        """Set the share of an organisation."""
        self._get_queue(organisation).weight = max(MIN_WEIGHT, weight)

    def push(self, ticket: models.Ticket) -> None:
        """Add a request to the queue of its organisation."""
        queue = self._get_queue(ticket.organisation)
        if not queue.heap:
            self._limit_credit(queue)
        entry = (ticket.due_at, next(self.sequence), ticket)
        heapq.heappush(queue.heap, entry)
        queue.queued_cost += ticket.cost
        self.length += 1

    def pop(
        self,
        blocked: abc.Container[str] = (),
    ) -> models.Ticket | None:
        """Remove and return the next request and charge its organisation.

        Requests of organisations in ``blocked`` stay queued.
        """
        waiting = [
            queue
            for name, queue in self.by_organisation.items()
            if queue.heap and name not in blocked
        ]
        if not waiting:
            return None
        queue = min(waiting, key=lambda candidate: candidate.virtual_finish)
        _, _, ticket = heapq.heappop(queue.heap)
        self.length -= 1
        queue.queued_cost -= ticket.cost
        self.virtual_time = max(self.virtual_time, queue.virtual_finish)
        queue.virtual_finish += ticket.cost / queue.weight
        return ticket

    def charge(self, organisation: str, cost: float) -> None:
        """Charge cost that was used without queueing or at another entry.

        A negative cost is a refund.
        """
        queue = self._get_queue(organisation)
        if not queue.heap:
            self._limit_credit(queue)
        queue.virtual_finish += cost / queue.weight

    def remove(self, ticket: models.Ticket) -> bool:
        """Remove a queued request; return whether it was queued."""
        queue = self.by_organisation.get(ticket.organisation)
        if queue is None:
            return False
        kept = [entry for entry in queue.heap if entry[2] is not ticket]
        if len(kept) == len(queue.heap):
            return False
        heapq.heapify(kept)
        queue.heap = kept
        queue.queued_cost -= ticket.cost
        self.length -= 1
        return True

    def estimate_cost_before(self, ticket: models.Ticket) -> float:
        """Estimate the token cost that is served before a new request."""
        own_queue = self._get_queue(ticket.organisation)
        cost_ahead = own_queue.queued_cost
        if ticket.due_at < self._get_last_due(own_queue):
            cost_ahead = sum(
                entry[2].cost
                for entry in own_queue.heap
                if entry[0] <= ticket.due_at
            )
        virtual_service = (cost_ahead + ticket.cost) / own_queue.weight
        total = cost_ahead
        for queue in self.by_organisation.values():
            if queue is not own_queue and queue.heap:
                lead = max(0, own_queue.virtual_finish - queue.virtual_finish)
                total += min(
                    queue.queued_cost,
                    (virtual_service + lead) * queue.weight,
                )
        return total

    def _get_last_due(self, queue: OrganisationQueue) -> float:
        return max((entry[0] for entry in queue.heap), default=0)

    def _get_queue(self, organisation: str) -> OrganisationQueue:
        queue = self.by_organisation.get(organisation)
        if queue is None:
            queue = OrganisationQueue(virtual_finish=self.virtual_time)
            self.by_organisation[organisation] = queue
        return queue

    def _limit_credit(self, queue: OrganisationQueue) -> None:
        """Limit the service that an idle organisation can catch up on."""
        floor = self.virtual_time - MAX_CREDIT_TOKENS / queue.weight
        queue.virtual_finish = max(queue.virtual_finish, floor)
