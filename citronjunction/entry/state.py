"""What an entry knows and decides with."""

import dataclasses
import random

from citronjunction.admission import controller
from citronjunction.attempts import budget, suspects
from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.engines import models as engines
from citronjunction.membership import facts
from citronjunction.observability import decisions, metrics
from citronjunction.organisations import models as organisations
from citronjunction.releases import evidence, status
from citronjunction.routing import router
from citronjunction.transport import timer_queue
from citronjunction.upstreams import models as upstreams


@dataclasses.dataclass(slots=True)
class Trial:
    """Hold what an entry measures of a candidate version."""

    comparison: evidence.Comparison
    detector: evidence.FaultDetector
    splitter: status.TrafficSplitter
    version: str = ''
    release: int = 0
    sequence: int = 0
    reported_log_evidence: float = 0


class EntryState:
    """Hold the aggregates of an entry."""

    def __init__(
        self,
        settings: conf.Settings,
        clock: timer_queue.TimerQueue,
        source: random.Random,
    ) -> None:
        """Build the aggregates from the settings."""
        self.clock = clock
        self.settings = settings
        self.name = settings.process.name
        self.incarnation = int(clock.wall_time() * 1000)
        self.random = source
        self.configuration_cache = configuration.ConfigurationCache()
        self.fleet = upstreams.Fleet()
        self.router = router.Router(
            settings.routing,
            settings.process.zone,
            self.fleet,
            self.random,
        )
        self.suspects = suspects.Suspects(settings.attempts)
        self.controllers: dict[str, controller.Controller] = {}
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.statuses: dict[str, status.Status] = {}
        self.trials: dict[str, Trial] = {}
        self.withdrawn: dict[str, dict[str, facts.WithdrawnVersion]] = {}
        self.usage: dict[str, float] = {}
        self.log = decisions.DecisionLog(self.name, clock.wall_time)
        self.metrics = metrics.Metrics(self.name)
        self.is_leaving = False
        self.live_entries = 1
        self.configuration_cache.listeners.append(self._take_configuration)

    def get_controller(self, upstream: str) -> controller.Controller:
        """Return the admission of an upstream."""
        held = self.controllers.get(upstream)
        if held is None:
            held = controller.Controller(self.settings.admission)
            self.controllers[upstream] = held
            self._set_weights(held, self.configuration_cache.current)
        return held

    def get_budget(self, upstream: str) -> budget.RetryBudget:
        """Return the retry budget of an upstream."""
        held = self.budgets.get(upstream)
        if held is None:
            held = budget.RetryBudget(self.settings.attempts.retry_share)
            self.budgets[upstream] = held
        return held

    def get_trial(self, upstream: str) -> Trial:
        """Return the evidence about an upstream's candidate."""
        held = self.trials.get(upstream)
        if held is None:
            held = Trial(
                evidence.Comparison(),
                evidence.FaultDetector(self.settings.control.significance),
                status.TrafficSplitter(self.random),
            )
            self.trials[upstream] = held
        return held

    def get_withdrawn_versions(self, upstream: str) -> set[str]:
        """Return versions that must get no new work."""
        current = self.statuses.get(upstream)
        release = current.release if current else 0
        marks = self.withdrawn.get(upstream, {})
        bad = {
            version
            for version, mark in marks.items()
            if mark.release >= release
        }
        if current is not None:
            bad.update(
                mark.version
                for mark in current.withdrawals
                if mark.release >= release
            )
        return bad

    def choose_version(
        self,
        spec: upstreams.UpstreamSpec,
        avoided: str = '',
    ) -> str:
        """Choose the version for one attempt; it avoids one that failed it."""
        return status.choose_version(
            self.statuses.get(spec.name),
            spec.version,
            self.get_withdrawn_versions(spec.name) | {avoided},
            self.get_trial(spec.name).splitter,
        )

    def is_on_trial(self, spec: upstreams.UpstreamSpec, version: str) -> bool:
        """Tell whether evidence about a version is being gathered."""
        return self.get_trial(spec.name).version == version

    def update_slot_limit(self, upstream: str) -> None:
        """Give this entry its part of the upstream's slots."""
        workers = self.fleet.select(upstream)
        slots = sum(wk.load.slots for wk in workers if not wk.is_leaving)
        part = slots / max(1, self.live_entries)
        self.get_controller(upstream).limiter.slots = max(1, part)

    def record_load_report(
        self,
        worker: upstreams.Worker,
        report: engines.LoadReport,
    ) -> None:
        """Take a load report of a worker."""
        worker.record_report(
            upstreams.Load(
                report.running,
                report.queued,
                report.slots,
                self.clock.now(),
            ),
        )
        if report.boot:
            worker.boot_id = report.boot
        if report.versions:
            self.fleet.set_versions(worker, frozenset(report.versions))

    def apply_status(self, held: status.Status) -> None:
        """Take the status of an upstream and start anew with a candidate."""
        if not held.owner.startswith('upstream-'):
            return
        name = held.owner.removeprefix('upstream-')
        self.statuses[name] = held
        trial = self.get_trial(name)
        watched = held.candidate
        if not watched and held.previous:
            watched = held.stable
        is_new = trial.version != watched or trial.release != held.release
        if watched and is_new:
            trial.comparison.reset()
            trial.detector = evidence.FaultDetector(
                self.settings.control.significance
            )
            trial.reported_log_evidence = 0
        trial.version = watched
        trial.release = held.release

    def count_queued(self) -> dict[str, int]:
        """Return how many requests wait, by upstream."""
        return {
            name: held.queue.length
            for name, held in self.controllers.items()
            if held.queue.length
        }

    def record_usage(
        self, organisation: str, upstream: str, cost: float
    ) -> None:
        """Count what an organisation used at this entry."""
        key = f'{organisation}|{upstream}'
        self.usage[key] = self.usage.get(key, 0) + cost

    def _take_configuration(self, new: configuration.Configuration) -> None:
        for held in self.controllers.values():
            self._set_weights(held, new)
        self.log.write(
            'configuration',
            f'revision {new.revision}',
            note=new.note,
            upstreams=sorted(new.upstreams),
            organisations=sorted(new.organisations),
        )

    def _set_weights(
        self,
        held: controller.Controller,
        current: configuration.Configuration,
    ) -> None:
        known: dict[str, organisations.Organisation] = current.organisations
        for organisation in known.values():
            held.queue.set_weight(organisation.name, organisation.share)
