"""One run: start, faults, healing, and the proof that all is well again."""

import contextlib
import dataclasses
import functools
import pathlib

from citronjunction.transport import http_client
from soak import callers, faults, promises, system
from tests.support import platform_system

START_S = 60.0  # until all entries are ready; a loaded machine takes its time
RECOVER_S = 60.0  # until all entries serve again after the last fault
STEP_S = 0.2
IN_A_ROW = 5  # answers of each entry that prove recovery
CALLERS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Say what to run."""

    seed: int
    seconds: float = 20.0
    entries: int = 3
    serving: int = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Tell what happened."""

    plan: Plan
    timeline: list[faults.Fault]
    requests: list[callers.Request]
    broken: list[str]
    late: list[str]
    took_s: float

    def summarise(self) -> str:
        """Return the lines of the report."""
        served = sum(
            request.status == promises.OK and request.is_complete
            for request in self.requests
        )
        lines = [
            f'seed {self.plan.seed}: {len(self.timeline)} faults,'
            f' {served} of {len(self.requests)} requests served,'
            f' {len(self.broken)} promises broken, {len(self.late)} late,'
            f' {self.took_s:.1f} s',
        ]
        if self.broken or self.late:
            lines.extend(f'  {fault}' for fault in self.timeline)
        lines.extend(f'  broken: {text}' for text in self.broken)
        lines.extend(f'  late: {text}' for text in self.late)
        return '\n'.join(lines)


class Run:
    """Play a plan on a loop of its own."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        """Take the plan and where settings and logs go."""
        self.plan = plan
        self.system = system.System(plan.entries, plan.serving, folder)
        self.loop = self.system.loop
        self.loop.random.seed(plan.seed)
        self.traffic = callers.Traffic(self.system, CALLERS)
        self.injector = faults.Injector(self.system)
        self.timeline = faults.draw(plan.seed, plan.seconds)
        self.broken: list[str] = []
        self.good: dict[str, int] = {}
        self.started_at = self.loop.timers.now()
        self.waits_until = self.started_at

    def play(self) -> Report:
        """Run to the end; the processes are gone afterwards."""
        with contextlib.closing(self.system):
            self.system.start()
            self._await_all('start', START_S, self._disturb)
            self.loop.run()
        self.broken.extend(promises.check(self.traffic))
        return Report(
            self.plan,
            self.timeline,
            self.traffic.requests,
            self.broken,
            promises.check_times(self.traffic, self.injector.pauses),
            self.loop.timers.now() - self.started_at,
        )

    def _disturb(self) -> None:
        self.traffic.start()
        self.injector.schedule(self.timeline)
        self.loop.timers.call_later(self.plan.seconds, self._heal)

    def _heal(self) -> None:
        self.injector.heal_all()
        self._await_all('recovery', RECOVER_S, self._end)

    def _end(self) -> None:
        self.traffic.is_over = True
        self.loop.timers.call_later(callers.DEADLINE_S, self.loop.stop_loop)

    def _await_all(self, phase: str, limit_s: float, go_on: object) -> None:
        """Go on once each entry has served the newest route in a row."""
        self.good = dict.fromkeys(self.system.entries, 0)
        self.waits_until = self.loop.timers.now() + limit_s
        self._step(phase, go_on)

    def _step(self, phase: str, go_on: object) -> None:
        failed = [
            name
            for name, entry in self.system.entries.items()
            if entry.has_failed()
        ]
        lacking = [
            name for name, count in self.good.items() if count < IN_A_ROW
        ]
        if failed:
            self.broken.append(f'{", ".join(failed)} ended by itself')
            self.loop.stop_loop()
        elif lacking and self.loop.timers.now() > self.waits_until:
            self.broken.append(f'no {phase} of {", ".join(lacking)}')
            self.loop.stop_loop()
        elif lacking:
            for name in lacking:
                self._probe(name)
            self.loop.timers.call_later(
                STEP_S,
                lambda: self._step(phase, go_on),
            )
        else:
            go_on()

    def _probe(self, name: str) -> None:
        entry = self.system.entries[name]
        route = self.system.configuration['routes'][-1]
        kind = 'POST' if route['type'] == 'stream' else 'GET'
        call = dataclasses.replace(
            platform_system.make_call(
                entry.ports['front'],
                kind,
                f'{platform_system.get_prefix(route)}probe',
                f'probe-{name}-{self.loop.timers.now()}',
                callers.DEADLINE_S,
            ),
            max_idle_s=http_client.NO_REUSE_S,
            silence_s=callers.DEADLINE_S,
        )
        note = functools.partial(self._note_probe, name)
        self.loop.client.send(call, http_client.ReplyCollector(note, note))

    def _note_probe(self, name: str, result: object) -> None:
        is_good = getattr(result, 'status', 0) == promises.OK
        self.good[name] = (self.good[name] + 1) * is_good
