"""What requests of a gateway act through."""

import dataclasses
import random
from collections import abc

from citronjunction.attempts import suspects
from citronjunction.conf import models as conf
from citronjunction.gateway import (
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
from citronjunction.transport import deadlines, http_client


@dataclasses.dataclass(slots=True)
class Services:
    """Hold the aggregates and the flows of a gateway."""

    settings: conf.Settings
    timers: deadlines.Deadlines
    client: http_client.HttpClient
    random: random.Random
    codec: ports.Codec
    fleet: fleet.Fleet
    chooser: choosing.Chooser
    quotas: quotas.Quotas
    rollouts: rollouts.Rollouts
    suspects: suspects.Suspects
    log: decisions.DecisionLog
    counts: counting.Counts
    on_run: abc.Callable[[str], None]
    on_suspect_request: abc.Callable[[int, fleet.Worker], None]
    on_worker_draining: abc.Callable[[fleet.Worker], None]
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
    # Entries that share the retry budgets; 0 while all entries do.
    serving_count: int = 0

    def count_budget_entries(self) -> int:
        """Return among how many entries a retry budget is divided."""
        return self.serving_count or self.quotas.count_entries()

    def get_budget(self, upstream: str) -> budgets.RetryBudget:
        """Return the retry budget of an upstream."""
        held = self.retry_budgets.get(upstream)
        if held is None:
            limits = self.settings.retries
            held = budgets.RetryBudget(
                limits.ratio,
                limits.window_s,
                limits.slack,
            )
            self.retry_budgets[upstream] = held
        return held

    def apply(self, configuration: models.Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        self.routes = matching.RouteTable(configuration.routes)
