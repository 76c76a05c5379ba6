"""What requests of an entry act through."""

import dataclasses
from collections import abc
from typing import Protocol

from citronjunction.admission import models as admission
from citronjunction.entry import claim_driver, state
from citronjunction.membership import facts
from citronjunction.transport import http_client, timer_queue


class QueuedFlow(Protocol):
    """Stand for a request that waits for admission."""

    def admit(self) -> None:
        """Run after queueing."""


@dataclasses.dataclass(slots=True)
class Services:
    """Hold what flows act through, and the flows themselves."""

    entry: state.EntryState
    client: http_client.HttpClient
    timers: timer_queue.TimerQueue
    claims: claim_driver.ClaimFactory
    publish: abc.Callable[[facts.Fact], None]
    flows: dict[str, 'QueuedFlow']
    queued_flows: dict[admission.Ticket, 'QueuedFlow']

    def admit_queued(self, upstream: str) -> None:
        """Run queued requests while slots are free."""
        held = self.entry.get_controller(upstream)
        while True:
            ticket, _ = held.take_next(self.timers.now())
            if ticket is None:
                return
            waiting = self.queued_flows.get(ticket)
            if waiting is None:
                held.finish(ticket, 0)
            else:
                waiting.admit()
