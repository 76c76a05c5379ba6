"""Release moves in virtual time, assessed by simulated outcomes."""

import dataclasses
import random
from collections import abc

from citronjunction.bench import mixes
from citronjunction.configuration import models as configuration
from citronjunction.releases import evidence, mover, status
from citronjunction.upstreams import models as upstreams

SIGNIFICANCE = 0.01
UPSTREAM = 'llm'
DEADLINE_S = 120.0
WATCH_AFTER_DEADLINE_S = 60.0
STEP_S = 0.5
HEALTHY_FAILURE_RATE = 0.005
LATENCY_SIGMA = 0.4  # of the logarithm of the latency
MEDIAN_LATENCY_S = 0.15
OWNER = f'upstream-{UPSTREAM}'
NEW_VERSION = 'v2'


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Describe the fault of a version.

    It applies after ``after_requests`` requests to the version, at a traffic
    share of ``min_share`` or more, to the route with index ``route`` in
    ``ROUTES`` or to all routes (-1). The defaults describe a healthy version.
    """

    name: str
    failure_rate: float = HEALTHY_FAILURE_RATE
    slowdown: float = 1
    after_requests: int = 0
    route: int = -1
    min_share: float = 0

    @property
    def is_bad(self) -> bool:
        """Return whether the version is worse than a healthy one."""
        return self.failure_rate > HEALTHY_FAILURE_RATE or self.slowdown > 1


HEALTHY = Fault('healthy')
FAULTS = (
    Fault('fails', failure_rate=1.0),
    Fault('fails at times', failure_rate=0.3),
    Fault('slow', slowdown=4.0),
    Fault('fails later', failure_rate=1.0, after_requests=100),
    Fault('slow later', slowdown=4.0, after_requests=100),
    Fault('fails on a route', failure_rate=1.0, route=0),
    Fault('slow under load', slowdown=4.0, min_share=0.2),
)
ROUTES = ('/v1/chat/completions', '/v1/completions')


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Describe the outcome of a move.

    ``share_before`` is the share of requests that the new version got before
    its fault was detected.
    """

    fault: str
    state: str
    is_in_time: bool
    share_before: float
    requests_to_bad: int


class MoveSimulation:
    """Simulate one move in a deployment of the size of a mix.

    ``counts_at_detection`` are the requests to the new version and to all
    versions, from the declaration of the move until the fault was detected.
    """

    def __init__(self, mix: mixes.Mix, fault: Fault, seed: int) -> None:
        """Create a deployment that serves the old version on all workers."""
        self.mix = mix
        self.fault = fault
        self.rng = random.Random(seed)  # noqa: S311
        self.comparisons = [evidence.Comparison() for _ in range(mix.entries)]
        self.splitters = [
            status.TrafficSplitter(self.rng) for _ in range(mix.entries)
        ]
        self.detector = evidence.FaultDetector(SIGNIFICANCE)
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
        self.counts_at_detection: tuple[int, int] | None = None

    def run(self) -> Result:
        """Serve the old version, declare the move and watch its outcome."""
        self._serve(DEADLINE_S / STEP_S / 2)
        move = configuration.DeclaredMove(
            f'2-version-{UPSTREAM}-{NEW_VERSION}',
            'add',
            f'version {UPSTREAM} {NEW_VERSION}',
            2,
            DEADLINE_S,
            NEW_VERSION,
        )
        self.configuration = dataclasses.replace(
            self.configuration,
            revision=2,
            moves=(move,),
        )
        self.sent_all = 0
        now: float = 0
        while now < DEADLINE_S + WATCH_AFTER_DEADLINE_S:
            now += STEP_S
            self._serve(1)
            self._control(now)
        record = self.current.find_move(move.name)
        new_count, total_count = self.counts_at_detection or (0, 1)
        return Result(
            self.fault.name,
            record.state.value,
            record.state is status.MoveState.done
            and record.finished_at <= DEADLINE_S,
            new_count / max(1, total_count),
            self.sent_new,
        )

    def _serve(self, steps: float) -> None:
        count = int(self.mix.rate * STEP_S * steps)
        for _ in range(count):
            entry = self.rng.randrange(self.mix.entries)
            version = status.choose_version(
                self.current,
                'v1',
                set(self.withdrawn),
                self.splitters[entry],
            )
            self.sent_all += 1
            self._record(entry, version)

    def _record(self, entry: int, version: str) -> None:
        workers = [
            name
            for name, versions in self.versions.items()
            if version in versions
        ]
        worker = self.rng.choice(workers)
        route = self.rng.randrange(len(ROUTES))
        is_new = version == NEW_VERSION
        is_faulty = is_new and self._fault_applies(route)
        self.sent_new += int(is_new)
        failure_rate = (
            self.fault.failure_rate if is_faulty else HEALTHY_FAILURE_RATE
        )
        slowdown = self.fault.slowdown if is_faulty else 1
        noise = self.rng.lognormvariate(0, LATENCY_SIGMA)
        outcome = evidence.Outcome(
            ROUTES[route],
            worker,
            self.rng.random() < failure_rate,
            MEDIAN_LATENCY_S * noise * slowdown,
        )
        if is_new:
            self.comparisons[entry].record_candidate(outcome)
        else:
            self.comparisons[entry].record_stable(outcome)

    def _fault_applies(self, route: int) -> bool:
        if self.fault.route not in {-1, route}:
            return False
        has_load = self.current.share >= self.fault.min_share
        return self.sent_new >= self.fault.after_requests and has_load

    def _control(self, now: float) -> None:
        rows = [
            row
            for comparison in self.comparisons
            for row in comparison.get_rows()
        ]
        assessment = self.detector.assess(rows)
        if assessment.is_bad and self.counts_at_detection is None:
            self.counts_at_detection = (self.sent_new, self.sent_all)
        if assessment.is_bad:
            self.withdrawn[NEW_VERSION] = assessment.reason
        workers = tuple(
            mover.WorkerView(name, versions)
            for name, versions in self.versions.items()
        )
        inputs = mover.StepInputs(
            now,
            self.configuration,
            workers,
            NEW_VERSION,
            assessment,
            dict(self.withdrawn),
            2,
        )
        self.current = mover.step(self.current, inputs)
        for order in mover.plan_orders(self.current, inputs):
            self.versions[order.worker] = order.versions


def measure(mix: mixes.Mix, seeds: abc.Iterable[int]) -> dict[str, float]:
    """Return the shares of moves with right and wrong outcomes.

    Also return the requests that bad versions got: the largest share before
    the detection of a fault that shows from the start, and the mean number.
    """
    good = []
    bad = []
    for seed in seeds:
        good.append(MoveSimulation(mix, HEALTHY, seed).run())
        bad.extend(MoveSimulation(mix, fault, seed).run() for fault in FAULTS)
    bad_taken_back = [result for result in bad if result.state == 'taken back']
    good_taken_back = [
        result for result in good if result.state == 'taken back'
    ]
    faulty_from_start = [res for res in bad if res.fault in {'fails', 'slow'}]
    return {
        'good_in_time': sum(res.is_in_time for res in good) / len(good),
        'false_take_backs': len(good_taken_back) / len(good),
        'bad_taken_back': len(bad_taken_back) / len(bad),
        'bad_share_before_fault': max(
            res.share_before for res in faulty_from_start
        ),
        'bad_requests_mean': sum(res.requests_to_bad for res in bad) / len(bad),
    }
