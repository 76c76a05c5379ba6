"""Sequential tests for faults of a version on trial.

Each test is an e-detector: a mixture of betting martingales on a Bernoulli
variable, started anew at every request. The bets of different entries and
workers are independent, so the logarithms of their values add up.
"""

import bisect
import collections
import dataclasses
import math
from collections import abc

TYPICAL_TIME = 'typical time'
ALL_ROUTES = 'all routes'  # as the route of pooled evidence
# Rates of bad samples that a healthy version may have, by metric. For other
# metrics they are measured.
NULL_RATES: abc.Mapping[str, float] = {
    'latency': 0.25,
    'pace': 0.25,
    'first stall': 0.05,
    'pace stall': 0.05,
}
BET_SIZES: abc.Mapping[str, tuple[float, ...]] = {
    'failure': (2.0, 6.0, 18.0),
    'latency': (0.5, 1.5, 2.8),
    'pace': (0.5, 1.5, 2.8),
    'first stall': (2.0, 6.0, 18.0),
    'pace stall': (2.0, 6.0, 18.0),
    TYPICAL_TIME: (2.0, 6.0, 18.0),
}
STALL_METRICS: abc.Mapping[str, str] = {
    'latency': 'first stall',
    'pace': 'pace stall',
}
STALL_TOLERANCE = 2.0  # multiple of the slowest baseline sample
MAX_BASELINE_SAMPLES = 200
RATE_TOLERANCE = 2.0  # multiple of the baseline's rate of bad samples
MIN_NULL_RATE = 0.05
# Samples, and bad ones among them, that are assumed before any are known.
PRIOR_FAILURES = (20, 0.5)
PRIOR_SLOW = (20, 1.0)
MAX_NULL_RATE = 0.5
MAX_BET_FRACTION = 0.95  # of the largest bet that keeps values positive
HORIZON_REQUESTS = 2000  # requests that the false alarm rate covers
SUSPICION = 3.0  # log evidence
DOUBT = 0.5  # fraction of the threshold
MIN_SECOND_WORKER_EVIDENCE = 2.0  # log evidence


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """A multiple of a quantile of the baseline, above which a time is bad.

    With fewer samples than ``min_samples`` times are not compared.
    """

    quantile: float
    tolerance: float
    min_samples: int


LIMITS: abc.Mapping[str, Limit] = {
    'latency': Limit(0.9, 1.3, 20),
    'pace': Limit(0.9, 1.3, 20),
    TYPICAL_TIME: Limit(0.5, 2.5, 5),
}


@dataclasses.dataclass(slots=True)
class Bets:
    """Logarithm of the value of each bet, and the number of samples."""

    log_values: tuple[float, ...]
    samples: int = 0

    def add(self, is_bad: bool, null_rate: float, metric: str) -> None:
        """Update the values with a sample of a test with ``null_rate``."""
        deviation = int(is_bad) - null_rate
        self.log_values = tuple(
            log_value
            + math.log1p(min(bet, MAX_BET_FRACTION / null_rate) * deviation)
            for log_value, bet in zip(
                self.log_values, BET_SIZES[metric], strict=True
            )
        )
        self.samples += 1


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Values of one test on one worker, measured by one entry."""

    route: str
    metric: str
    worker: str
    samples: int
    log_values: tuple[float, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Result of an attempt.

    ``latency_s`` is the time to the answer or its first token, ``pace_s`` the
    time per token, ``typical_s`` a time that varies little on the route, which
    is compared over all routes; 0 means not measured. An outcome that is not
    final only reports times of an attempt that is still running.
    """

    route: str
    worker: str
    has_failed: bool
    latency_s: float = 0
    pace_s: float = 0
    is_final: bool = True
    typical_s: float = 0

    def list_times(self) -> abc.Iterator[tuple[str, float]]:
        """Yield the metrics and seconds that were measured."""
        if not self.has_failed:
            yield from (
                (metric, seconds)
                for metric, seconds in (
                    ('latency', self.latency_s),
                    ('pace', self.pace_s),
                )
                if seconds
            )


class Baseline:
    """Recent times and the rate of bad samples of the stable version."""

    __slots__ = ('bad_samples', 'recent_s', 'samples', 'sorted_s')

    def __init__(self) -> None:
        self.recent_s: collections.deque[float] = collections.deque()
        self.sorted_s: list[float] = []
        self.samples = 0
        self.bad_samples = 0

    def add_latency(self, seconds: float) -> None:
        """Record a latency; drop the oldest one over the limit."""
        self.recent_s.append(seconds)
        bisect.insort(self.sorted_s, seconds)
        if len(self.recent_s) > MAX_BASELINE_SAMPLES:
            oldest = self.recent_s.popleft()
            self.sorted_s.pop(bisect.bisect_left(self.sorted_s, oldest))

    def add_outcome(self, is_bad: bool) -> None:
        """Record whether a sample was bad."""
        self.samples += 1
        self.bad_samples += int(is_bad)

    def get_time_limit(self, metric: str) -> float | None:
        """Return the time above which a sample counts as bad, if known."""
        limit = LIMITS[metric]
        if len(self.sorted_s) < limit.min_samples:
            return None
        index = int(len(self.sorted_s) * limit.quantile)
        return self.sorted_s[index] * limit.tolerance

    def get_stall_limit(self) -> float:
        """Return the latency above which a sample counts as stalled."""
        return self.sorted_s[-1] * STALL_TOLERANCE

    def get_null_rate(self, prior: tuple[float, float]) -> float:
        """Return the rate of bad samples that a healthy version may have."""
        samples, bad_samples = prior
        rate = (self.bad_samples + bad_samples) / (self.samples + samples)
        return max(MIN_NULL_RATE, min(MAX_NULL_RATE, RATE_TOLERANCE * rate))


class Comparison:
    """Compare a candidate version with the stable one at one entry."""

    __slots__ = ('baselines', 'tests')

    def __init__(self) -> None:
        self.baselines: dict[tuple[str, str], Baseline] = {}
        self.tests: dict[tuple[str, str, str], Bets] = {}

    def record_stable(self, outcome: Outcome) -> None:
        """Add an outcome of the stable version to the baseline."""
        if outcome.is_final:
            for route in (outcome.route, ALL_ROUTES):
                self._get_baseline(route, 'failure').add_outcome(
                    outcome.has_failed
                )
        for metric, seconds in outcome.list_times():
            self._get_baseline(outcome.route, metric).add_latency(seconds)
        if outcome.typical_s:
            is_slow = self._is_slow(outcome)
            if is_slow is not None:
                self._get_baseline(ALL_ROUTES, TYPICAL_TIME).add_outcome(
                    is_slow
                )
            baseline = self._get_baseline(outcome.route, TYPICAL_TIME)
            baseline.add_latency(outcome.typical_s)

    def record_candidate(self, outcome: Outcome) -> None:
        """Test an outcome of the candidate against the baseline."""
        if outcome.is_final:
            for route in (outcome.route, ALL_ROUTES):
                baseline = self._get_baseline(route, 'failure')
                rate = baseline.get_null_rate(PRIOR_FAILURES)
                key = (route, 'failure', outcome.worker)
                self._bet(key, outcome.has_failed, rate)
        for metric, seconds in outcome.list_times():
            self._compare(outcome, metric, seconds)
        is_slow = self._is_slow(outcome) if outcome.typical_s else None
        if is_slow is not None:
            baseline = self._get_baseline(ALL_ROUTES, TYPICAL_TIME)
            rate = baseline.get_null_rate(PRIOR_SLOW)
            key = (ALL_ROUTES, TYPICAL_TIME, outcome.worker)
            self._bet(key, is_slow, rate)

    def get_rows(self) -> tuple[Row, ...]:
        """Return the values of all tests."""
        return tuple(
            Row(route, metric, worker, bets.samples, bets.log_values)
            for (route, metric, worker), bets in self.tests.items()
        )

    def reset(self) -> None:
        """Discard the tests of the candidate; keep the baseline."""
        self.tests.clear()

    def _is_slow(self, outcome: Outcome) -> bool | None:
        """Return whether the typical time is over the limit, if it is known."""
        baseline = self._get_baseline(outcome.route, TYPICAL_TIME)
        limit = baseline.get_time_limit(TYPICAL_TIME)
        return None if limit is None else outcome.typical_s > limit

    def _compare(self, outcome: Outcome, metric: str, seconds: float) -> None:
        baseline = self._get_baseline(outcome.route, metric)
        limit = baseline.get_time_limit(metric)
        if limit is None:
            return
        key = (outcome.route, metric, outcome.worker)
        self._bet(key, seconds > limit, NULL_RATES[metric])
        stall = STALL_METRICS[metric]
        is_stalled = seconds > baseline.get_stall_limit()
        key = (outcome.route, stall, outcome.worker)
        self._bet(key, is_stalled, NULL_RATES[stall])

    def _bet(
        self, key: tuple[str, str, str], is_bad: bool, rate: float
    ) -> None:
        """Add a sample to the test of a route, a metric and a worker."""
        _, metric, _ = key
        bets = self.tests.get(key)
        if bets is None:
            bets = Bets((0,) * len(BET_SIZES[metric]))
            self.tests[key] = bets
        bets.add(is_bad, rate, metric)

    def _get_baseline(self, route: str, metric: str) -> Baseline:
        return self.baselines.setdefault((route, metric), Baseline())


@dataclasses.dataclass(slots=True, frozen=True)
class Assessment:
    """Result of testing a version with the evidence of all entries.

    ``is_doubtful`` means that the evidence is half of what a fault needs,
    ``is_suspect`` that more requests must show whether there is a fault.
    """

    is_bad: bool = False
    samples: int = 0
    log_evidence: float = 0
    reason: str = ''
    is_doubtful: bool = False
    is_suspect: bool = False


class FaultDetector:
    """Detect faults of a version in the merged rows of all entries.

    The evidence of a test is its rise since its lowest point (CUSUM), so that
    a long good start does not hide a late fault. The probability of a false
    alarm over ``HORIZON_REQUESTS`` requests is at most ``alpha``. If several
    workers serve the version, at least two of them must show the fault, so
    that one bad host does not get a good version withdrawn.
    """

    __slots__ = ('alpha', 'lowest_sums')

    def __init__(self, alpha: float) -> None:
        """Set ``alpha``, the probability of a false alarm."""
        self.alpha = alpha
        self.lowest_sums: dict[tuple[str, ...], tuple[float, ...]] = {}

    def assess(self, rows: abc.Iterable[Row]) -> Assessment:
        """Return the assessment of the test with the strongest evidence.

        ``rows`` are those of all entries. The ``samples`` of the result count
        the requests of all tests.
        """
        tests: dict[tuple[str, str], dict[str, list[Row]]] = {}
        for row in rows:
            by_worker = tests.setdefault((row.route, row.metric), {})
            by_worker.setdefault(row.worker, []).append(row)
        threshold = math.log(HORIZON_REQUESTS * max(1, len(tests)) / self.alpha)
        samples = 0
        strongest = Assessment()
        for test, by_worker in tests.items():
            assessment = self._assess_test(test, by_worker, threshold)
            if test == (ALL_ROUTES, 'failure'):
                samples += assessment.samples
            if assessment.log_evidence > strongest.log_evidence:
                strongest = assessment
        return dataclasses.replace(strongest, samples=samples)

    def _assess_test(
        self,
        test: tuple[str, str],
        by_worker: dict[str, list[Row]],
        threshold: float,
    ) -> Assessment:
        sums = {name: _add_rows(rows) for name, rows in by_worker.items()}
        merged = tuple(sum(column) for column in zip(*sums.values()))
        value = self._update_log_evidence(test, merged)
        sorted_evidence = sorted(
            self._update_log_evidence((*test, name), worker_sums)
            for name, worker_sums in sums.items()
        )
        is_shared = (
            len(sorted_evidence) == 1
            or sorted_evidence[-2] >= MIN_SECOND_WORKER_EVIDENCE
        )
        samples = sum(
            row.samples for rows in by_worker.values() for row in rows
        )
        route, metric = test
        reason = (
            f'{metric} on {route}: log evidence {value:.1f}, '
            f'threshold {threshold:.1f}, '
            f'after {samples} requests on {len(sorted_evidence)} workers'
        )
        is_bad = is_shared and value >= threshold
        is_doubtful = value >= threshold * DOUBT
        is_suspect = value >= SUSPICION
        return Assessment(
            is_bad, samples, value, reason, is_doubtful, is_suspect
        )

    def _update_log_evidence(
        self,
        key: tuple[str, ...],
        sums: tuple[float, ...],
    ) -> float:
        start = (0,) * len(sums)
        lowest_sums = self.lowest_sums.get(key, start)
        lowest_sums = tuple(
            min(pair) for pair in zip(lowest_sums, sums, strict=True)
        )
        self.lowest_sums[key] = lowest_sums
        rises = [now - low for now, low in zip(sums, lowest_sums, strict=True)]
        highest = max(rises)
        mixture = sum(math.exp(rise - highest) for rise in rises)
        return highest + math.log(mixture / len(rises))


def _add_rows(rows: list[Row]) -> tuple[float, ...]:
    columns = zip(*(row.log_values for row in rows), strict=True)
    return tuple(sum(column) for column in columns)
