"""Play of a draw on gateways, workers and callers in virtual time."""

import dataclasses
import functools

from citronjunction.conf import models as conf
from citronjunction.transport import sockets
from soak.virtual import (
    callers,
    drawing,
    history,
    injecting,
    replacing,
    rules,
    tenancy,
)
from tests.support import mixed_system, platform_system

MS_PER_S = 1000
TICK_S = 0.02
WORKERS = 4  # of each upstream
SETTLE_S = 8.0  # after the last fault
FAULTY_SLACK = 0.2  # of the limit of a window
STRAY_SHARE = 0.1  # of the requests go to any entry
MIN_PAGE = 2  # objects of a page of a list
PAGE_SIZES = 4
SCALED = platform_system.make_scaled_upstream({'z1': 1.0, 'z2': 0.8})


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A run: faults begin within ``seconds``; ``draw`` is the draw's version.

    ``quota_slack`` is a share of the limit that may be used beyond it. With
    ``only``, faults with other positions in the draw are left out.

    If ``old`` names a commit, the entries start with its build and are replaced
    one after the other meanwhile. Beyond ``serving`` entries stand by. With
    ``holds_bytes``, a cut delivers what it has held up once it ends, unless the
    sender has reset the connection, and the holder orders workers.
    """

    seed: int
    entries: int = 5
    seconds: float = 30.0
    draw: int = drawing.CURRENT
    quota_slack: float = FAULTY_SLACK
    only: tuple[int, ...] = ()
    old: str = ''
    serving: int = 8
    holds_bytes: bool = False

    @property
    def has_store_changes(self) -> bool:
        """Return whether stored objects are changed in odd ways."""
        return drawing.Kind.foreign_entry in drawing.KINDS[self.draw]

    @property
    def has_quotas(self) -> bool:
        """Return whether organisations have quotas."""
        return drawing.Kind.quota in drawing.KINDS[self.draw]


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Result of a run."""

    plan: Plan
    faults: list[drawing.Fault]
    record: history.History
    violations: list[str]

    def summarise(self) -> str:
        """Return a summary, with the faults if an invariant was violated."""
        tries = [each for each in self.record.requests if each.is_first_try]
        served = sum(each.is_served for each in tries)
        lines = [
            f'seed {self.plan.seed}: {len(self.faults)} faults, {served} of'
            f' {len(tries)} first tries served,'
            f' {len(self.violations)} invariants violated',
        ]
        if self.violations:
            lines.extend(f'  {fault}' for fault in self.faults)
            lines.extend(f'  violated: {text}' for text in self.violations)
        return '\n'.join(lines)


class SearchedSystem(platform_system.LinkedSystem):
    """Gateways of which as many serve as a plan says."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan.seed)
        self.serving = plan.serving

    def configure_settings(self, settings: conf.Settings) -> None:
        """Set the number of peer links and of serving entries."""
        super().configure_settings(settings)
        settings.membership.serving = self.serving


def build(plan: Plan) -> platform_system.PlatformSystem:
    """Start the gateways and workers of a run."""
    deployed = SearchedSystem(plan)
    if plan.old:
        names = [f'gateway-{number}' for number in range(plan.entries)]
        deployed = mixed_system.MixedSystem(plan.old, names, plan.seed)
    deployed.world.user_timeout_s = sockets.USER_TIMEOUT_MS / MS_PER_S
    if plan.holds_bytes:
        deployed.world.holds_bytes = True
        deployed.configuration['services'][1] = SCALED
    if plan.has_quotas:
        deployed.configuration['tenants'] = tenancy.make_tenants({})
    if plan.has_store_changes:
        deployed.store.page_size = MIN_PAGE + plan.seed % PAGE_SIZES
    deployed.build(workers=WORKERS, gateways=plan.entries)
    for worker in deployed.workers.values():
        injecting.prepare(worker)
    return deployed


def play(plan: Plan) -> Report:
    """Play a seed and judge what was seen."""
    faults = drawing.draw(plan.seed, plan.seconds, plan.draw)
    if plan.only:
        faults = [faults[number] for number in plan.only]
    return play_faults(plan, faults)


def play_faults(
    plan: Plan,
    faults: list[drawing.Fault],
    hot: tuple[str, float] | None = None,
) -> Report:
    """Play given faults and judge what was seen.

    ``hot`` names an organisation that exceeds its limit and by what factor.
    """
    deployed = build(plan)
    record = history.History(quota_slack=plan.quota_slack)
    demand = None
    if plan.has_quotas:
        levels = tenancy.Levels(deployed, record)
        demand = tenancy.Demand(levels, deployed.world.random)
        if hot is not None:
            demand.begin_hot(*hot)
    traffic = callers.Traffic(deployed, record, demand)
    if plan.has_store_changes:
        traffic.stray_share = STRAY_SHARE
    injector = injecting.Injector(deployed, record, traffic)
    for fault in faults:
        deployed.caller_host.timers.call_later(
            fault.starts_at,
            functools.partial(injector.inject, fault),
        )
    if plan.old:
        replacing.schedule(deployed, record, plan.seconds)
    end = deployed.world.now + plan.seconds + SETTLE_S
    while deployed.world.now < end:
        traffic.send_due()
        deployed.world.run(TICK_S)
    traffic.is_ending = True
    deployed.world.run(SETTLE_S)
    injector.finish()
    return Report(plan, faults, record, rules.check(record))
