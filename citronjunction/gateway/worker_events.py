"""Dispatch of what requests show about workers to the parts that use it."""

from collections import abc
from typing import TYPE_CHECKING

from citronjunction.attempts import suspects
from citronjunction.gateway import attempt, fleet, models
from citronjunction.membership import facts

if TYPE_CHECKING:
    from citronjunction.gateway import node


class WorkerEvents:
    """Implement ``context.Observer`` for a gateway."""

    def __init__(self, owner: 'node.GatewayNode') -> None:
        self.owner = owner

    def on_run(self, organisation: str) -> None:
        """Count a request that may have run in the organisation's use."""
        owner = self.owner
        owner.ledger.record_request(organisation, owner.clock.now())

    def on_suspect_request(
        self, traits: suspects.Traits, lost: attempt.Attempt
    ) -> None:
        """Check whether the worker of a lost connection has crashed."""
        self.owner.peer_exchange.crash_reporter.check(traits, lost)

    def on_parts_answered(self, parts: abc.Sequence[int]) -> None:
        """Clear the shared parts of a prompt that was answered completely."""
        self.owner.peer_exchange.crash_reporter.clear(parts)

    def on_worker_answer(
        self,
        worker: fleet.Worker,
        answer: models.AnswerHead,
        sent_at: float,
    ) -> None:
        """Evaluate the constraints in an answer to a request sent at a time."""
        self.owner.peer_exchange.constraint_sharing.on_answer(
            worker, answer, sent_at
        )

    def on_full(self, worker: fleet.Worker) -> None:
        """Spare a brittle worker that refused a request."""
        self.owner.peer_exchange.constraint_sharing.on_full(worker)

    def on_unreachable(self, worker: fleet.Worker) -> None:
        """Check whether other workers can be connected to."""
        self.owner.peer_exchange.reach_checker.on_unreachable(worker)

    def on_connected(self, upstream: str) -> None:
        """Record that a worker has answered on a new connection."""
        self.owner.peer_exchange.reach_checker.on_connected(upstream)

    def on_worker_draining(self, worker: fleet.Worker) -> None:
        """Move the streams of a worker that begins to drain."""
        self.owner.relocations.schedule(worker)

    def on_worker_leaving(self, worker: fleet.Worker) -> None:
        """Tell the peers that a worker's answer says that it will end."""
        registration = worker.registration
        self.owner.peers.publish(
            facts.LeavingWorker(
                registration.name,
                registration.started_at_ms,
                self.owner.loop.timers.wall_time(),
            ),
        )
        self._drain(worker, 'its answer')

    def apply_leaving_worker(self, fact: facts.LeavingWorker) -> None:
        """Stop to use a worker of which a peer reports that it will end."""
        worker = self.owner.services.fleet.mark_leaving(
            fact.worker, fact.started_at_ms
        )
        if worker is not None:
            self._drain(worker, 'a peer')

    def _drain(self, worker: fleet.Worker, source: str) -> None:
        self.owner.log.write(
            'worker leaving',
            worker.registration.name,
            upstream=worker.registration.upstream,
            source=source,
        )
        self.owner.relocations.schedule(worker)
