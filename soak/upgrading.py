"""An upgrade: entries of one build are replaced by another's under load."""

import dataclasses
import functools
import itertools
import pathlib
import random
import signal
from collections import abc

from citronjunction.transport import http_client
from soak import (
    bounds,
    builds,
    callers,
    invariants,
    links,
    peer_links,
    running,
    system,
)
from tests.support import platform_system

STOP_LIMIT_S = 12.0  # until an entry that was told to stop has ended
LINK_LIMIT_S = 3.0  # until a listening entry is linked to all others
SERVING_LIMIT_S = 20.0  # after the start of its process an entry serves
HELD_S = 0.5  # a link counts once it has been open for so long
POLL_S = 0.1
SETTLE_S = 1.0  # between an entry that serves and the next step
OUTAGE_S = 2.0
LIMIT = 3  # requests a second that some workers take
LIMITED = ('app-0', 'llm-3')
RATE_PER_S = 10
BURST = 20
FLOOD_PER_S = 60
REJECTED = 'peer link rejected'


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """An upgrade from one build to another, and back if wanted.

    ``is_planned`` means that no entry is killed and nothing is cut.
    """

    seed: int
    old: builds.Build
    new: builds.Build
    is_back: bool = False
    entries: int = 4
    is_planned: bool = False


@dataclasses.dataclass(slots=True)
class Step:
    """The replacement of an entry.

    ``listening_s`` is the time from the start of the process until it accepts
    links, which depends on the machine's load; the others are counted from then.
    """

    entry: str
    build: builds.Build
    number: signal.Signals
    started_at: float = 0
    listening_s: float | None = None
    linked_s: float | None = None
    serving_s: float | None = None

    def __str__(self) -> str:
        """Return the step's line in a report."""
        return (
            f'{self.entry} ended by {self.number.name}, now {self.build.name}:'
            f' listening after {_spell(self.listening_s)},'
            f' linked after {_spell(self.linked_s)},'
            f' serving after {_spell(self.serving_s)}'
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Result of an upgrade; ``holders`` are those of the duties in turn.

    ``worst_quota`` is the most runs in a window of the one with a quota.
    """

    plan: Plan
    steps: list[Step]
    requests: list[callers.Request]
    worst_quota: int
    holders: list[str]
    violations: list[str]
    duration_s: float

    def summarise(self) -> str:
        """Return a summary with all steps."""
        served = sum(
            request.status == invariants.OK and request.is_complete
            for request in self.requests
        )
        way = ' and back' if self.plan.is_back else ''
        lines = [
            f'seed {self.plan.seed}: from {self.plan.old.name} to'
            f' {self.plan.new.name}{way},'
            f' {len(self.steps)} replacements, {served} of'
            f' {len(self.requests)} requests served,'
            f' {len(self.violations)} rules broken, {self.duration_s:.1f} s',
            *(f'  {step}' for step in self.steps),
            f'  worst window of the quota: {self.worst_quota} runs',
            f'  holders of the duties: {", ".join(self.holders)}',
            *(f'  violated: {text}' for text in self.violations),
        ]
        return '\n'.join(lines)


class Run(running.Run):
    """Execute an upgrade on its own event loop."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        """Prepare a run; settings and logs are written to the folder."""
        super().__init__(running.Plan(plan.seed, 0, plan.entries), folder)
        self.upgrade = plan
        self.steps = draw_steps(plan, list(self.system.entries))
        self.steps_left = iter(self.steps)
        self.holders: list[str] = []
        self.worst_quota = 0
        self.is_interrupted = False
        self.loop.on_stop = self._interrupt
        self.limited_at: float = 0
        self.limited_until: float = 0
        self.seen_at: dict[tuple[peer_links.Pair, str], float] = {}
        self.flood_numbers = itertools.count(1)
        for entry in self.system.entries.values():
            entry.code = plan.old.folder
        organisations = self.system.configuration['tenants']
        organisations[1] = platform_system.make_limited_organisation(
            RATE_PER_S, BURST
        )
        self.system.configure()

    def upgrade_all(self) -> Report:
        """Run to the end, kill the processes and judge all rules."""
        report = self.execute()
        self.violations.extend(report.late)
        self._check_bounds()
        self._check_logs()
        return Report(
            self.upgrade,
            self.steps,
            report.requests,
            self.worst_quota,
            self.holders,
            self.violations,
            report.duration_s,
        )

    def _start_faults(self) -> None:
        self.traffic.start()
        self._flood()
        self._watch()
        if not self.upgrade.is_planned:
            self._schedule_outages()
        self.loop.timers.call_later(SETTLE_S * 2, self._begin_step)

    def _interrupt(self) -> None:
        """End the run and all processes, as a signal asks."""
        self.is_interrupted = True
        self.violations.append('interrupted')
        self.loop.stop_loop()

    def _schedule_outages(self) -> None:
        """Take the store away once, and cut one entry from it once."""
        source = random.Random(f'outages {self.upgrade.seed}')
        store = self.system.store
        cut = source.choice(list(self.system.entries.values())).store_link
        span_s = 3 * len(self.steps)
        for begin, end in (
            (
                functools.partial(setattr, store, 'is_down', True),
                functools.partial(setattr, store, 'is_down', False),
            ),
            (
                functools.partial(cut.set_mode, links.Mode.silent),
                functools.partial(cut.set_mode, links.Mode.forward),
            ),
        ):
            starts_at = source.uniform(0, span_s)
            self.loop.timers.call_later(starts_at, begin)
            self.loop.timers.call_later(starts_at + OUTAGE_S, end)

    def _begin_step(self) -> None:
        step = next(self.steps_left, None)
        if step is self.steps[-1] and self.upgrade.is_back:
            self._name_limits('')
        if step is None:
            self.system.store.is_down = False
            self._heal_faults()
            return
        entry = self.system.entries[step.entry]
        entry.send(step.number)
        self._await(
            lambda: not entry.is_running(),
            STOP_LIMIT_S,
            functools.partial(self._start_build, step, entry),
            f'{step.entry} did not end',
        )

    def _start_build(self, step: Step, entry: system.Entry) -> None:
        entry.code = step.build.folder
        entry.start()
        step.started_at = self.loop.timers.now()
        self.successes[step.entry] = 0
        self._await(
            functools.partial(self._has_started, step),
            SERVING_LIMIT_S,
            functools.partial(self._end_step, step),
            f'{step.entry} with {step.build.name} was not linked and serving',
        )

    def _has_started(self, step: Step) -> bool:
        passed_s = self.loop.timers.now() - step.started_at
        if step.listening_s is None:
            if not peer_links.is_listening(self.system.entries[step.entry]):
                return False
            step.listening_s = passed_s
        passed_s -= step.listening_s
        if step.linked_s is None and self._is_linked(step.entry):
            step.linked_s = max(0, passed_s - HELD_S)
        if step.serving_s is None:
            self._probe(step.entry)
            if self.successes[step.entry]:
                step.serving_s = passed_s
        return step.linked_s is not None and step.serving_s is not None

    def _end_step(self, step: Step) -> None:
        if step.linked_s is not None and step.linked_s > LINK_LIMIT_S:
            self.violations.append(
                f'{step.entry} was linked after {step.linked_s:.1f} s'
            )
        if step is self.steps[0]:
            self._name_limits(str(LIMIT))
        self.loop.timers.call_later(SETTLE_S, self._begin_step)

    def _name_limits(self, limit: str) -> None:
        """Let workers name a limit while entries of the new build serve.

        The old build may know no limits.
        """
        now = self.loop.timers.now()
        if limit:
            self.limited_at = now
        self.limited_until = float('inf') if limit else now
        for name in LIMITED:
            worker = self.system.workers[name]
            worker.behaviour.limit = limit

    def _await(
        self,
        condition: abc.Callable[[], bool],
        limit_s: float,
        on_done: abc.Callable[[], None],
        failure: str,
    ) -> None:
        """Call ``on_done`` once a condition holds; end the run at the limit."""
        if condition():
            on_done()
        elif limit_s <= 0:
            self.violations.append(failure)
            self.loop.stop_loop()
        else:
            self.loop.timers.call_later(
                POLL_S,
                lambda: self._await(
                    condition, limit_s - POLL_S, on_done, failure
                ),
            )

    def _watch(self) -> None:
        """Record since when links have been open, and who holds the duties."""
        now = self.loop.timers.now()
        found = peer_links.list_pairs(self.system.entries.values())
        self.seen_at = {
            (pair, client): self.seen_at.get((pair, client), now)
            for pair, clients in found.items()
            for client in clients
        }
        lease = self.system.store.objects.get(('citron-leases', 'duties'))
        if lease is not None:
            holder = lease['spec']['holder'].partition('/')[0]
            if self.holders[-1:] != [holder]:
                self.holders.append(holder)
        self.loop.timers.call_later(POLL_S, self._watch)

    def _is_linked(self, name: str) -> bool:
        latest = self.loop.timers.now() - HELD_S
        linked = {
            pair for (pair, _), since in self.seen_at.items() if since <= latest
        }
        others = set(self.system.entries) - {name}
        return all(frozenset((name, other)) in linked for other in others)

    def _flood(self) -> None:
        """Send requests of an organisation beyond its quota to all entries."""
        if self.traffic.is_stopped:
            return
        entry = self.loop.random.choice(list(self.system.entries.values()))
        name = f'flood-{next(self.flood_numbers)}'
        call = platform_system.make_call(
            entry.ports['front'],
            'GET',
            f'/safe/{name}',
            name,
            callers.DEADLINE_S,
            'other',
        )
        sink = http_client.ReplyCollector(_ignore, _ignore)
        self.loop.client.send(
            dataclasses.replace(call, silence_s=callers.DEADLINE_S), sink
        )
        self.loop.timers.call_later(1 / FLOOD_PER_S, self._flood)

    def _check_bounds(self) -> None:
        flood: dict[str, float] = {}  # first arrival of each request
        for worker in self.system.list_workers():
            if worker.name in LIMITED:
                self.violations.extend(
                    bounds.check_limit(
                        worker.name,
                        self._select_limited(worker.arrived_at),
                        LIMIT,
                        self.limited_at,
                    )
                )
            for at, request in zip(
                worker.arrived_at, worker.arrivals, strict=True
            ):
                name = request.headers['attempt-id']
                if name.startswith('flood'):
                    flood[name] = min(at, flood.get(name, at))
        self.worst_quota = bounds.count_worst(
            flood.values(), bounds.QUOTA_WINDOW_S
        )
        self.violations.extend(
            bounds.check_quota('other', self.worst_quota, RATE_PER_S, BURST)
        )

    def _select_limited(self, times: abc.Iterable[float]) -> list[float]:
        return [
            at for at in times if self.limited_at <= at < self.limited_until
        ]

    def _check_logs(self) -> None:
        for entry in self.system.entries.values():
            lines = entry.log.read_text(errors='replace').splitlines()
            rejected = [line for line in lines if REJECTED in line]
            if rejected:
                self.violations.append(
                    f'{entry.name} rejected {len(rejected)} links, first:'
                    f' {rejected[0][:160]}'
                )


def draw_steps(plan: Plan, names: list[str]) -> list[Step]:
    """Return the replacements of a run; they follow from the seed alone.

    In each direction one entry is killed, unless the run is planned, and the
    others are told to stop.
    """
    source = random.Random(plan.seed)
    targets = [plan.new, plan.old] if plan.is_back else [plan.new]
    steps = []
    for target in targets:
        ordered = source.sample(names, len(names))
        killed = '' if plan.is_planned else source.choice(ordered)
        steps.extend(
            Step(
                name,
                target,
                signal.SIGKILL if name == killed else signal.SIGTERM,
            )
            for name in ordered
        )
    return steps


def _spell(seconds: float | None) -> str:
    return 'never' if seconds is None else f'{seconds:.1f} s'


def _ignore(result: object) -> None:
    """Receive an answer that is not recorded."""
