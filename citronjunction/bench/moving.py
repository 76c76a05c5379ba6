"""Release moves in virtual time: pace and evidence over simulated outcomes."""

import dataclasses
import random
from collections import abc

from citronjunction.bench import mixes
from citronjunction.configuration import models as configuration
from citronjunction.releases import evidence, mover, status
from citronjunction.upstreams import models as upstreams

ALPHA = 0.01
UPSTREAM = 'llm'
DEADLINE_S = 120.0
EXTRA_S = 60.0  # time watched after the deadline
STEP_S = 0.5
HEALTHY_FAILURES = 0.005
LATENCY_SPREAD = 0.4  # sigma of the logarithm
BASE_S = 0.15
OWNER = f'upstream-{UPSTREAM}'
NEW = 'v2'


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Describe a version; a rate of 0 and a slowdown of 1 are healthy."""

    name: str
    failures: float = HEALTHY_FAILURES
    slowdown: float = 1
    after: int = 0
    route: int = -1
    min_share: float = 0

    @property
    def is_bad(self) -> bool:
        """Tell whether the version is bad."""
        return self.failures > HEALTHY_FAILURES or self.slowdown > 1


HEALTHY = Fault('healthy')
FAULTS = (
    Fault('fails', failures=1.0),
    Fault('fails at times', failures=0.3),
    Fault('slow', slowdown=4.0),
    Fault('fails later', failures=1.0, after=100),
    Fault('slow later', slowdown=4.0, after=100),
    Fault('fails on a route', failures=1.0, route=0),
    Fault('slow under load', slowdown=4.0, min_share=0.2),
)
ROUTES = ('/v1/chat/completions', '/v1/completions')


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Hold how a move went."""

    fault: str
    state: str
    is_in_time: bool
    share_before: float
    requests_to_bad: int


class Moving:
    """Run one move at one deployment's size."""

    def __init__(self, mix: mixes.Mix, fault: Fault, seed: int) -> None:
        """Start with the old version on all workers."""
        self.mix = mix
        self.fault = fault
        self.source = random.Random(seed)  # noqa: S311
        self.comparisons = [evidence.Comparison() for _ in range(mix.entries)]
        self.splitters = [
            status.TrafficSplitter(self.source) for _ in range(mix.entries)
        ]
        self.detector = evidence.FaultDetector(ALPHA)
        spec = upstreams.UpstreamSpec(
            UPSTREAM,
            upstreams.UpstreamKind.engine,
            'v1',
        )
        self.configuration = configuration.Configuration(
            1,
            upstreams={UPSTREAM: spec},
        )
        self.current = status.Status(OWNER, stable='v1')
        self.versions = {f'w{number}': ('v1',) for number in range(mix.workers)}
        self.withdrawn: dict[str, str] = {}
        self.sent_new = 0
        self.sent_all = 0
        self.judged_at: tuple[int, int] | None = None

    def run(self) -> Result:
        """Warm up, declare the move, and watch it."""
        self._serve(DEADLINE_S / STEP_S / 2)
        move = configuration.DeclaredMove(
            f'2-version-{UPSTREAM}-{NEW}',
            'add',
            f'version {UPSTREAM} {NEW}',
            2,
            DEADLINE_S,
            NEW,
        )
        self.configuration = dataclasses.replace(
            self.configuration,
            revision=2,
            moves=(move,),
        )
        self.sent_all = 0
        now: float = 0
        while now < DEADLINE_S + EXTRA_S:
            now += STEP_S
            self._serve(1)
            self._control(now)
        record = self.current.find_move(move.name)
        shown_new, shown_all = self.judged_at or (0, 1)
        return Result(
            self.fault.name,
            record.state.value,
            record.state is status.MoveState.done
            and record.finished_at <= DEADLINE_S,
            shown_new / max(1, shown_all),
            self.sent_new,
        )

    def _serve(self, steps: float) -> None:
        count = int(self.mix.rate * STEP_S * steps)
        for _ in range(count):
            entry = self.source.randrange(self.mix.entries)
            version = status.choose_version(
                self.current,
                'v1',
                set(self.withdrawn),
                self.splitters[entry],
            )
            self.sent_all += 1
            self._record(entry, version)

    def _record(self, entry: int, version: str) -> None:
        serving = [
            name for name, held in self.versions.items() if version in held
        ]
        worker = self.source.choice(serving)
        route = self.source.randrange(len(ROUTES))
        is_new = version == NEW
        shows = is_new and self._shows(route)
        self.sent_new += int(is_new)
        failures = self.fault.failures if shows else HEALTHY_FAILURES
        slowdown = self.fault.slowdown if shows else 1
        noise = self.source.lognormvariate(0, LATENCY_SPREAD)
        outcome = evidence.Outcome(
            ROUTES[route],
            worker,
            self.source.random() < failures,
            BASE_S * noise * slowdown,
        )
        if is_new:
            self.comparisons[entry].record_candidate(outcome)
        else:
            self.comparisons[entry].record_stable(outcome)

    def _shows(self, route: int) -> bool:
        if self.fault.route not in {-1, route}:
            return False
        has_load = self.current.share >= self.fault.min_share
        return self.sent_new >= self.fault.after and has_load

    def _control(self, now: float) -> None:
        rows = [
            row
            for comparison in self.comparisons
            for row in comparison.get_rows()
        ]
        assessment = self.detector.assess(rows)
        if assessment.is_bad and self.judged_at is None:
            self.judged_at = (self.sent_new, self.sent_all)
        if assessment.is_bad:
            self.withdrawn[NEW] = assessment.reason
        workers = tuple(
            mover.WorkerView(name, held) for name, held in self.versions.items()
        )
        inputs = mover.StepInputs(
            now,
            self.configuration,
            workers,
            NEW,
            assessment,
            dict(self.withdrawn),
            2,
        )
        self.current = mover.step(self.current, inputs)
        for order in mover.plan_orders(self.current, inputs):
            self.versions[order.worker] = order.versions


def measure(mix: mixes.Mix, seeds: abc.Iterable[int]) -> dict[str, float]:
    """Return the shares of moves that went as they should."""
    good = []
    bad = []
    for seed in seeds:
        good.append(Moving(mix, HEALTHY, seed).run())
        bad.extend(Moving(mix, fault, seed).run() for fault in FAULTS)
    taken = [result for result in bad if result.state == 'taken back']
    back = [result for result in good if result.state == 'taken back']
    at_once = [res for res in bad if res.fault in {'fails', 'slow'}]
    return {
        'good_in_time': sum(res.is_in_time for res in good) / len(good),
        'false_take_backs': len(back) / len(good),
        'bad_taken_back': len(taken) / len(bad),
        'bad_share_before_fault': max(res.share_before for res in at_once),
        'bad_requests_mean': sum(res.requests_to_bad for res in bad) / len(bad),
    }
