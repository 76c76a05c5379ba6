"""Collaborators and state that all requests of a gateway share."""

import dataclasses
import random
from collections import abc
from typing import Protocol

from citronjunction.attempts import suspect_parts, suspects
from citronjunction.capacity import observing
from citronjunction.conf import models as conf
from citronjunction.gateway import (
    attempt,
    budgets,
    choosing,
    counting,
    fleet,
    forwarding,
    matching,
    models,
    ports,
    quotas,
    reachability,
    rollouts,
)
from citronjunction.observability import decisions
from citronjunction.transport import http_client, timer_queue


class Observer(Protocol):
    """Receive what requests show about workers."""

    def on_run(self, organisation: str) -> None:
        """Handle a request that may have run at a worker."""

    def on_suspect_request(
        self, traits: suspects.Traits, lost: attempt.Attempt
    ) -> None:
        """Handle an attempt whose connection was lost."""

    def on_parts_answered(self, parts: abc.Sequence[int]) -> None:
        """Handle a complete answer to a prompt with these shared parts."""

    def on_worker_answer(
        self,
        worker: fleet.Worker,
        answer: models.AnswerHead,
        sent_at: float,
    ) -> None:
        """Handle the head of an answer to a request sent at a time."""

    def on_full(self, worker: fleet.Worker) -> None:
        """Handle a worker that refused a request for want of room."""

    def on_unreachable(self, worker: fleet.Worker) -> None:
        """Handle a worker that could not be connected to."""

    def on_connected(self, upstream: str) -> None:
        """Handle an answer of an upstream's worker on a new connection."""

    def on_worker_draining(self, worker: fleet.Worker) -> None:
        """Handle a worker that begins to drain."""

    def on_worker_leaving(self, worker: fleet.Worker) -> None:
        """Handle a worker whose answer says that it will end."""


@dataclasses.dataclass(slots=True)
class Services:
    """Store the shared collaborators and state of a gateway.

    ``offered`` counts prompt tokens by upstream (1 for each request
    without a prompt) since the start, ``flows`` are the requests in progress.
    """

    settings: conf.Settings
    timers: timer_queue.TimerQueue
    client: http_client.HttpClient
    random: random.Random
    codec: ports.Codec
    fleet: fleet.Fleet
    chooser: choosing.Chooser
    quotas: quotas.Quotas
    rollouts: rollouts.Rollouts
    suspects: suspects.Suspects
    suspect_parts: suspect_parts.SuspectParts
    reach: reachability.Reachability
    forwarder: forwarding.Forwarder
    log: decisions.DecisionLog
    counts: counting.Counts
    observer: Observer
    configuration: models.Configuration | None = None
    routes: matching.RouteTable = dataclasses.field(
        default_factory=lambda: matching.RouteTable(()),
    )
    retry_budgets: dict[str, budgets.RetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    observations: observing.Observations = dataclasses.field(
        default_factory=observing.Observations
    )
    flows: set[object] = dataclasses.field(default_factory=set)
    is_leaving: bool = False
    # Number of entries that divide the retry budgets; 0 means all entries.
    serving_count: int = 0

    def count_budget_entries(self) -> int:
        """Return the number of entries that divide a retry budget."""
        return self.serving_count or self.quotas.peers.count_entries()

    def record_offered(
        self, upstream: str, prompt: models.Prompt | None, now: float
    ) -> None:
        """Count a caller's request to an upstream and its prompt tokens."""
        self.get_budget(upstream).record_request(now)
        tokens = prompt.prompt_tokens if prompt else 1
        self.offered[upstream] = self.offered.get(upstream, 0) + tokens

    def get_budget(self, upstream: str) -> budgets.RetryBudget:
        """Return the retry budget of an upstream, creating it if needed."""
        budget = self.retry_budgets.get(upstream)
        if budget is None:
            limits = self.settings.retries
            budget = budgets.RetryBudget(
                limits.ratio,
                limits.window_s,
                limits.slack,
            )
            self.retry_budgets[upstream] = budget
        return budget

    def apply(self, configuration: models.Configuration) -> None:
        """Apply a configuration and index its routes.

        The last quota stays in force in place of one that can't be used.
        """
        organisations = {
            name: self._keep_quota(organisation)
            for name, organisation in configuration.organisations.items()
        }
        self.configuration = dataclasses.replace(
            configuration, organisations=organisations
        )
        self.quotas.apply(organisations.values())
        self.routes = matching.RouteTable(configuration.routes)

    def _keep_quota(
        self, organisation: models.Organisation
    ) -> models.Organisation:
        """Return the organisation with its last quota if it has none."""
        if organisation.quota is not None:
            return organisation
        quota = models.NO_QUOTA
        if self.configuration is not None:
            last = self.configuration.organisations.get(organisation.name)
            quota = last.quota if last else quota
        self.log.write(
            'quota kept',
            organisation.name,
            rate_per_s=quota.rate_per_s,
            burst=quota.burst,
            unit=quota.unit.value,
        )
        return dataclasses.replace(organisation, quota=quota)
