"""Sequential evidence against a version, merged over entries.

Each test is a mixture of betting martingales on a Bernoulli variable, with
a restart at every request (an e-detector). Values of different entries and
workers are products of independent bets, so that their logarithms add.
"""

import bisect
import collections
import dataclasses
import math
from collections import abc

NULL_RATES: abc.Mapping[str, float] = {
    'failure': 0.05,
    'latency': 0.25,
    'pace': 0.25,
    'first stall': 0.05,
    'pace stall': 0.05,
}
BETS: abc.Mapping[str, tuple[float, ...]] = {
    'failure': (2.0, 6.0, 18.0),
    'latency': (0.5, 1.5, 2.8),
    'pace': (0.5, 1.5, 2.8),
    'first stall': (2.0, 6.0, 18.0),
    'pace stall': (2.0, 6.0, 18.0),
}
STALLS: abc.Mapping[str, str] = {'latency': 'first stall', 'pace': 'pace stall'}
STALL_TOLERANCE = 2.0  # times the slowest baseline sample
BASELINE_QUANTILE = 0.9
BASELINE_SAMPLES = 200
MIN_BASELINE = 20  # samples before latencies are compared
LATENCY_TOLERANCE = 1.3  # times the baseline quantile
FAILURE_TOLERANCE = 2.0  # times the baseline failure rate
MAX_NULL_RATE = 0.5
LIMIT = 0.95  # of the largest bet that keeps values positive
HORIZON = 2000  # requests over which the false alarm rate holds
MIN_SECOND_WORKER = 2.0  # log evidence


@dataclasses.dataclass(slots=True)
class Bets:
    """Hold the log value of each bet and the number of samples."""

    log_values: tuple[float, ...]
    samples: int = 0

    def add(self, is_bad: bool, null_rate: float, metric: str) -> None:
        """Take one sample."""
        outcome = int(is_bad) - null_rate
        self.log_values = tuple(
            held + math.log1p(min(bet, LIMIT / null_rate) * outcome)
            for held, bet in zip(self.log_values, BETS[metric], strict=True)
        )
        self.samples += 1


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Hold one test's values on one worker, own or of a peer."""

    route: str
    metric: str
    worker: str
    samples: int
    log_values: tuple[float, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Describe one answered or failed attempt; times are seconds.

    An outcome that is not final tells latencies of a running attempt.
    """

    route: str
    worker: str
    has_failed: bool
    latency_s: float = 0
    pace_s: float = 0
    is_final: bool = True


class Baseline:
    """Hold what the stable version does on a route."""

    __slots__ = ('failures', 'recent', 'samples', 'sorted')

    def __init__(self) -> None:
        """Start without samples."""
        self.recent: collections.deque[float] = collections.deque()
        self.sorted: list[float] = []
        self.samples = 0
        self.failures = 0

    def add_latency(self, seconds: float) -> None:
        """Take a latency."""
        self.recent.append(seconds)
        bisect.insort(self.sorted, seconds)
        if len(self.recent) > BASELINE_SAMPLES:
            oldest = self.recent.popleft()
            self.sorted.pop(bisect.bisect_left(self.sorted, oldest))

    def add_outcome(self, has_failed: bool) -> None:
        """Take an outcome."""
        self.samples += 1
        self.failures += int(has_failed)

    def get_bound(self) -> float | None:
        """Return the latency over which a sample counts as bad."""
        if len(self.sorted) < MIN_BASELINE:
            return None
        index = int(len(self.sorted) * BASELINE_QUANTILE)
        return self.sorted[index] * LATENCY_TOLERANCE

    def get_stall_bound(self) -> float:
        """Return the latency that hardly any baseline sample comes near."""
        return self.sorted[-1] * STALL_TOLERANCE

    def get_failure_rate(self) -> float:
        """Return the failure rate that a healthy version may have."""
        rate = (self.failures + 0.5) / (self.samples + 20)
        return max(
            NULL_RATES['failure'],
            min(MAX_NULL_RATE, FAILURE_TOLERANCE * rate),
        )


class Comparison:
    """Compare a candidate version with the stable one at one entry."""

    __slots__ = ('baselines', 'tests')

    def __init__(self) -> None:
        """Start without evidence."""
        self.baselines: dict[tuple[str, str], Baseline] = {}
        self.tests: dict[tuple[str, str, str], Bets] = {}

    def record_stable(self, outcome: Outcome) -> None:
        """Learn from the stable version."""
        if outcome.is_final:
            self._get_baseline(outcome.route, 'failure').add_outcome(
                outcome.has_failed,
            )
        if outcome.has_failed:
            return
        if outcome.latency_s:
            held = self._get_baseline(outcome.route, 'latency')
            held.add_latency(outcome.latency_s)
        if outcome.pace_s:
            held = self._get_baseline(outcome.route, 'pace')
            held.add_latency(outcome.pace_s)

    def record_candidate(self, outcome: Outcome) -> None:
        """Test the candidate with one outcome."""
        base = self._get_baseline(outcome.route, 'failure')
        if outcome.is_final:
            rate = base.get_failure_rate()
            self._bet(outcome, 'failure', outcome.has_failed, rate)
        if outcome.has_failed:
            return
        self._compare(outcome, 'latency', outcome.latency_s)
        self._compare(outcome, 'pace', outcome.pace_s)

    def get_rows(self) -> tuple[Row, ...]:
        """Return all tests."""
        return tuple(
            Row(route, metric, worker, bets.samples, bets.log_values)
            for (route, metric, worker), bets in self.tests.items()
        )

    def reset(self) -> None:
        """Forget the candidate."""
        self.tests.clear()

    def _compare(self, outcome: Outcome, metric: str, seconds: float) -> None:
        base = self._get_baseline(outcome.route, metric)
        bound = base.get_bound()
        if bound is None or not seconds:
            return
        self._bet(outcome, metric, seconds > bound, NULL_RATES[metric])
        stall = STALLS[metric]
        is_stalled = seconds > base.get_stall_bound()
        self._bet(outcome, stall, is_stalled, NULL_RATES[stall])

    def _bet(
        self,
        outcome: Outcome,
        metric: str,
        is_bad: bool,
        rate: float,
    ) -> None:
        key = (outcome.route, metric, outcome.worker)
        bets = self.tests.get(key)
        if bets is None:
            bets = Bets((0,) * len(BETS[metric]))
            self.tests[key] = bets
        bets.add(is_bad, rate, metric)

    def _get_baseline(self, route: str, metric: str) -> Baseline:
        return self.baselines.setdefault((route, metric), Baseline())


@dataclasses.dataclass(slots=True, frozen=True)
class Assessment:
    """Tell what the merged evidence says."""

    is_bad: bool = False
    samples: int = 0
    log_evidence: float = 0
    reason: str = ''


class FaultDetector:
    """Judge a version by the rows of all entries, again and again.

    The evidence of a test is its sum since its lowest point (CUSUM), so that
    a long good start does not hide a late fault. Over ``HORIZON`` requests
    the chance of a false alarm is at most ``alpha``. Where several workers
    serve the version, two of them must show the fault, so that one bad host
    is not taken for a bad version.
    """

    __slots__ = ('alpha', 'lowest')

    def __init__(self, alpha: float) -> None:
        """Take the chance of a false alarm."""
        self.alpha = alpha
        self.lowest: dict[tuple[str, ...], tuple[float, ...]] = {}

    def assess(self, rows: abc.Iterable[Row]) -> Assessment:
        """Take the current rows of all entries."""
        tests: dict[tuple[str, str], dict[str, list[Row]]] = {}
        for row in rows:
            by_worker = tests.setdefault((row.route, row.metric), {})
            by_worker.setdefault(row.worker, []).append(row)
        threshold = math.log(HORIZON * max(1, len(tests)) / self.alpha)
        samples = 0
        worst = Assessment()
        for test, by_worker in tests.items():
            found = self._assess_test(test, by_worker, threshold)
            if test[1] == 'failure':
                samples += found.samples
            if found.log_evidence > worst.log_evidence:
                worst = found
        return dataclasses.replace(worst, samples=samples)

    def _assess_test(
        self,
        test: tuple[str, str],
        by_worker: dict[str, list[Row]],
        threshold: float,
    ) -> Assessment:
        sums = {name: _add_rows(rows) for name, rows in by_worker.items()}
        merged = tuple(sum(column) for column in zip(*sums.values()))
        value = self._measure(test, merged)
        by_host = sorted(
            self._measure((*test, name), held) for name, held in sums.items()
        )
        is_shared = len(by_host) == 1 or by_host[-2] >= MIN_SECOND_WORKER
        samples = sum(
            row.samples for held in by_worker.values() for row in held
        )
        route, metric = test
        reason = (
            f'{metric} on {route}: evidence {value:.1f} of {threshold:.1f} '
            f'after {samples} requests on {len(by_host)} workers'
        )
        is_bad = is_shared and value >= threshold
        return Assessment(is_bad, samples, value, reason)

    def _measure(
        self,
        key: tuple[str, ...],
        sums: tuple[float, ...],
    ) -> float:
        start = (0,) * len(sums)
        lowest = self.lowest.get(key, start)
        lowest = tuple(min(pair) for pair in zip(lowest, sums, strict=True))
        self.lowest[key] = lowest
        rises = [now - low for now, low in zip(sums, lowest, strict=True)]
        highest = max(rises)
        mixture = sum(math.exp(rise - highest) for rise in rises)
        return highest + math.log(mixture / len(rises))


def _add_rows(rows: list[Row]) -> tuple[float, ...]:
    columns = zip(*(row.log_values for row in rows), strict=True)
    return tuple(sum(column) for column in columns)
