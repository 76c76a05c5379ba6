"""State and decision-making components of an entry."""

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
    """Evidence of this entry about a version on trial.

    ``sequence`` counts the publications of evidence to peers.
    ``reported_measure`` is the value of ``measure_change`` at the last one.
    """

    comparison: evidence.Comparison
    detector: evidence.FaultDetector
    splitter: status.TrafficSplitter
    version: str = ''
    release: int = 0
    sequence: int = 0
    reported_measure: float = 0


class EntryState:
    """State of an entry and the components that decide with it.

    ``withdrawn`` has the withdrawn versions by upstream and version. ``usage``
    sums the costs by organisation and upstream.
    """

    def __init__(
        self,
        settings: conf.Settings,
        clock: timer_queue.TimerQueue,
        source: random.Random,
    ) -> None:
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
        self.configuration_cache.listeners.append(self._apply_configuration)

    def get_controller(self, upstream: str) -> controller.Controller:
        """Return the admission controller of an upstream."""
        admission_controller = self.controllers.get(upstream)
        if admission_controller is None:
            admission_controller = controller.Controller(
                self.settings.admission
            )
            self.controllers[upstream] = admission_controller
            self._set_weights(
                admission_controller, self.configuration_cache.current
            )
        return admission_controller

    def get_budget(self, upstream: str) -> budget.RetryBudget:
        """Return the retry budget of an upstream."""
        retry_budget = self.budgets.get(upstream)
        if retry_budget is None:
            retry_budget = budget.RetryBudget(
                self.settings.attempts.retry_share
            )
            self.budgets[upstream] = retry_budget
        return retry_budget

    def get_trial(self, upstream: str) -> Trial:
        """Return the evidence about an upstream's version on trial."""
        trial = self.trials.get(upstream)
        if trial is None:
            trial = Trial(
                evidence.Comparison(),
                evidence.FaultDetector(self.settings.control.significance),
                status.TrafficSplitter(self.random),
            )
            self.trials[upstream] = trial
        return trial

    def get_withdrawn_versions(self, upstream: str) -> set[str]:
        """Return the versions that must not get new requests."""
        current = self.statuses.get(upstream)
        release = current.release if current else 0
        withdrawals = self.withdrawn.get(upstream, {})
        withdrawn = {
            version
            for version, withdrawal in withdrawals.items()
            if withdrawal.release >= release
        }
        if current is not None:
            withdrawn.update(
                withdrawal.version
                for withdrawal in current.withdrawals
                if withdrawal.release >= release
            )
        return withdrawn

    def choose_version(
        self,
        spec: upstreams.UpstreamSpec,
        avoided: str = '',
    ) -> str:
        """Choose the version for an attempt, with no trial of ``avoided``.

        ``avoided`` is the version on trial that has failed the request.
        """
        return status.choose_version(
            self.statuses.get(spec.name),
            spec.version,
            self.get_withdrawn_versions(spec.name) | {avoided},
            self.get_trial(spec.name).splitter,
        )

    def is_on_trial(self, spec: upstreams.UpstreamSpec, version: str) -> bool:
        """Return whether evidence about the version is being gathered."""
        return self.get_trial(spec.name).version == version

    def update_slot_limit(self, upstream: str) -> None:
        """Set the limit to this entry's share of the upstream's slots."""
        workers = self.fleet.select(upstream)
        slots = sum(
            worker.load.slots for worker in workers if not worker.is_leaving
        )
        slots_share = slots / max(1, self.live_entries)
        self.get_controller(upstream).limiter.slots = max(1, slots_share)

    def record_load_report(
        self,
        worker: upstreams.Worker,
        report: engines.LoadReport,
    ) -> None:
        """Record a load report of a worker."""
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

    def apply_status(self, new_status: status.Status) -> None:
        """Apply the status of an upstream; reset evidence on a new trial."""
        if not new_status.owner.startswith('upstream-'):
            return
        name = new_status.owner.removeprefix('upstream-')
        self.statuses[name] = new_status
        trial = self.get_trial(name)
        version = new_status.candidate
        if not version and new_status.previous:
            version = new_status.stable
        is_new = trial.version != version or trial.release != new_status.release
        if version and is_new:
            trial.comparison.reset()
            trial.detector = evidence.FaultDetector(
                self.settings.control.significance
            )
            trial.reported_measure = 0
        trial.version = version
        trial.release = new_status.release

    def count_queued(self) -> dict[str, int]:
        """Return the number of queued requests by upstream."""
        return {
            name: admission_controller.queue.length
            for name, admission_controller in self.controllers.items()
            if admission_controller.queue.length
        }

    def record_usage(
        self, organisation: str, upstream: str, cost: float
    ) -> None:
        """Add a request's cost to the usage of an organisation."""
        key = f'{organisation}|{upstream}'
        self.usage[key] = self.usage.get(key, 0) + cost

    def _apply_configuration(self, new: configuration.Configuration) -> None:
        for admission_controller in self.controllers.values():
            self._set_weights(admission_controller, new)
        self.log.write(
            'configuration',
            f'revision {new.revision}',
            note=new.note,
            upstreams=sorted(new.upstreams),
            organisations=sorted(new.organisations),
        )

    def _set_weights(
        self,
        admission_controller: controller.Controller,
        current: configuration.Configuration,
    ) -> None:
        known: dict[str, organisations.Organisation] = current.organisations
        for organisation in known.values():
            admission_controller.queue.set_weight(
                organisation.name, organisation.share
            )
