"""Collaborators and state that all requests of a gateway share."""

import dataclasses
import random
from collections import abc

from citronjunction.attempts import suspect_parts, suspects
from citronjunction.conf import models as conf
from citronjunction.gateway import (
    attempt,
    budgets,
    choosing,
    counting,
    fleet,
    matching,
    models,
    ports,
    quotas,
    rollouts,
)
from citronjunction.observability import decisions
from citronjunction.transport import http_client, timer_queue


@dataclasses.dataclass(slots=True)
class Services:
    """Store the shared collaborators and state of a gateway.

    ``on_run`` gets the organisation of each request that may have run at a
    worker, ``on_suspect_request`` the traits and the lost attempt of a request
    whose connection was lost, ``on_parts_answered`` the shared parts of a
    prompt that was answered completely, ``on_worker_draining`` a worker that
    begins to drain, ``on_worker_leaving`` one whose answer says that it will
    end, ``on_worker_answer`` each answer with its worker and the time at which
    its request was sent.
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
    log: decisions.DecisionLog
    counts: counting.Counts
    on_run: abc.Callable[[str], None]
    on_suspect_request: abc.Callable[[suspects.Traits, attempt.Attempt], None]
    on_parts_answered: abc.Callable[[abc.Sequence[int]], None]
    on_worker_draining: abc.Callable[[fleet.Worker], None]
    on_worker_leaving: abc.Callable[[fleet.Worker], None]
    on_worker_answer: abc.Callable[
        [fleet.Worker, models.AnswerHead, float], None
    ]
    configuration: models.Configuration | None = None
    routes: matching.RouteTable = dataclasses.field(
        default_factory=lambda: matching.RouteTable(()),
    )
    retry_budgets: dict[str, budgets.RetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    flows: set[object] = dataclasses.field(default_factory=set)
    is_leaving: bool = False
    # Number of entries that divide the retry budgets; 0 means all entries.
    serving_count: int = 0

    def count_budget_entries(self) -> int:
        """Return the number of entries that divide a retry budget."""
        return self.serving_count or self.quotas.count_entries()

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
        """Apply a configuration and index its routes."""
        self.configuration = configuration
        self.routes = matching.RouteTable(configuration.routes)
