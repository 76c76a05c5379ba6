"""Collaborators and state that all requests of an entry share."""

import dataclasses
from collections import abc
from typing import Protocol

from citronjunction.admission import models as admission
from citronjunction.entry import claim_driver, state
from citronjunction.membership import facts
from citronjunction.transport import http_client, timer_queue


class QueuedFlow(Protocol):
    """Request that may wait in the queue."""

    def admit(self) -> None:
        """Run the request after it has waited in the queue."""


@dataclasses.dataclass(slots=True)
class Services:
    """Store the shared collaborators and the requests in progress.

    ``flows`` maps request ids to requests, ``queued_flows`` the tickets of
    queued requests. ``publish`` sends a fact to peers.
    """

    entry: state.EntryState
    client: http_client.HttpClient
    timers: timer_queue.TimerQueue
    claims: claim_driver.ClaimFactory
    publish: abc.Callable[[facts.Fact], None]
    flows: dict[str, 'QueuedFlow']
    queued_flows: dict[admission.Ticket, 'QueuedFlow']

    def admit_queued(self, upstream: str) -> None:
        """Run queued requests while slots are free."""
        controller = self.entry.get_controller(upstream)
        while True:
            ticket, _ = controller.take_next(self.timers.now())
            if ticket is None:
                return
            queued_flow = self.queued_flows.get(ticket)
            if queued_flow is None:
                controller.finish(ticket, 0)
            else:
                queued_flow.admit()
