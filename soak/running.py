"""A run: start, faults, healing, and a check that all entries serve again."""

import contextlib
import dataclasses
import functools
import pathlib

from citronjunction.transport import http_client
from soak import callers, faults, invariants, system
from tests.support import platform_system

START_TIMEOUT_S = 60.0  # processes start slowly on a busy CPU
RECOVERY_TIMEOUT_S = 60.0  # after all faults have been healed
PROBE_INTERVAL_S = 0.2
REQUIRED_SUCCESSES = 5  # consecutive probes of each entry
CALLER_COUNT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Describe a run.

    Faults last for ``seconds``; at most ``serving`` of the entries serve.
    """

    seed: int
    seconds: float = 20.0
    entries: int = 3
    serving: int = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Describe the result of a run.

    ``violations`` and ``late`` are texts; ``late`` are the requests that were
    answered after their deadline.
    """

    plan: Plan
    timeline: list[faults.Fault]
    requests: list[callers.Request]
    violations: list[str]
    late: list[str]
    duration_s: float

    def summarise(self) -> str:
        """Return a summary; for a failed run it includes the timeline."""
        served = sum(
            request.status == invariants.OK and request.is_complete
            for request in self.requests
        )
        lines = [
            f'seed {self.plan.seed}: {len(self.timeline)} faults,'
            f' {served} of {len(self.requests)} requests served,'
            f' {len(self.violations)} invariants violated,'
            f' {len(self.late)} late, {self.duration_s:.1f} s',
        ]
        if self.violations or self.late:
            lines.extend(f'  {fault}' for fault in self.timeline)
        lines.extend(f'  violated: {text}' for text in self.violations)
        lines.extend(f'  late: {text}' for text in self.late)
        return '\n'.join(lines)


class Run:
    """Execute a plan on its own event loop."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        """Prepare a run; settings and logs are written to the folder."""
        self.plan = plan
        self.system = system.System(plan.entries, plan.serving, folder)
        self.loop = self.system.loop
        self.loop.random.seed(plan.seed)
        self.traffic = callers.Traffic(self.system, CALLER_COUNT)
        self.injector = faults.Injector(self.system)
        self.timeline = faults.draw_faults(plan.seed, plan.seconds)
        self.violations: list[str] = []
        self.successes: dict[str, int] = {}
        self.started_at = self.loop.timers.now()
        self.phase_ends_at = self.started_at

    def execute(self) -> Report:
        """Run to the end, kill the gateway processes and check the invariants."""
        with contextlib.closing(self.system):
            self.system.start()
            self._await_all_serving(
                'start', START_TIMEOUT_S, self._start_faults
            )
            self.loop.run()
        self.violations.extend(invariants.check(self.traffic))
        return Report(
            self.plan,
            self.timeline,
            self.traffic.requests,
            self.violations,
            invariants.check_deadlines(self.traffic, self.injector.pauses),
            self.loop.timers.now() - self.started_at,
        )

    def _start_faults(self) -> None:
        self.traffic.start()
        self.injector.schedule(self.timeline)
        self.loop.timers.call_later(self.plan.seconds, self._heal_faults)

    def _heal_faults(self) -> None:
        self.injector.heal_all()
        self._await_all_serving('recovery', RECOVERY_TIMEOUT_S, self._end)

    def _end(self) -> None:
        self.traffic.is_stopped = True
        self.loop.timers.call_later(callers.DEADLINE_S, self.loop.stop_loop)

    def _await_all_serving(
        self, phase: str, limit_s: float, on_ready: object
    ) -> None:
        """Call ``on_ready`` once each entry has answered consecutive probes.

        The probes use the newest route, so that a success also shows that the
        entry has the current configuration.
        """
        self.successes = dict.fromkeys(self.system.entries, 0)
        self.phase_ends_at = self.loop.timers.now() + limit_s
        self._poll_entries(phase, on_ready)

    def _poll_entries(self, phase: str, on_ready: object) -> None:
        failed = [
            name
            for name, entry in self.system.entries.items()
            if entry.has_exited_unexpectedly()
        ]
        not_ready = [
            name
            for name, count in self.successes.items()
            if count < REQUIRED_SUCCESSES
        ]
        if failed:
            self.violations.append(f'{", ".join(failed)} exited unexpectedly')
            self.loop.stop_loop()
        elif not_ready and self.loop.timers.now() > self.phase_ends_at:
            self.violations.append(
                f'{phase} timed out for {", ".join(not_ready)}'
            )
            self.loop.stop_loop()
        elif not_ready:
            for name in not_ready:
                self._probe(name)
            self.loop.timers.call_later(
                PROBE_INTERVAL_S,
                lambda: self._poll_entries(phase, on_ready),
            )
        else:
            on_ready()

    def _probe(self, name: str) -> None:
        entry = self.system.entries[name]
        route = self.system.configuration['routes'][-1]
        method = 'POST' if route['type'] == 'stream' else 'GET'
        call = dataclasses.replace(
            platform_system.make_call(
                entry.ports['front'],
                method,
                f'{platform_system.get_prefix(route)}probe',
                f'probe-{name}-{self.loop.timers.now()}',
                callers.DEADLINE_S,
            ),
            max_idle_s=http_client.NO_REUSE_S,
            silence_s=callers.DEADLINE_S,
        )
        on_result = functools.partial(self._on_probe_result, name)
        self.loop.client.send(
            call, http_client.ReplyCollector(on_result, on_result)
        )

    def _on_probe_result(self, name: str, result: object) -> None:
        is_good = getattr(result, 'status', 0) == invariants.OK
        self.successes[name] = (self.successes[name] + 1) * is_good
