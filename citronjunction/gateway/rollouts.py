"""Share of an upstream's requests that a version under rollout gets."""

import dataclasses
import random

import xxhash

from citronjunction.gateway import fleet, models
from citronjunction.releases import evidence

# Share of the requests by the part of the rollout's time that has passed. A
# bad version may have a tenth, so more follows only after a long trial.
TRIAL_SHARES = ((0.55, 0.06), (0.75, 0.3))
COMPLETE_AT = 0.93  # of the rollout's time; leaves room for a lost write


@dataclasses.dataclass(slots=True)
class Trial:
    """Hold a rollout and since when it is known, in monotonic seconds."""

    rollout: models.Rollout
    seen_at: float
    detector: evidence.FaultDetector
    withdrawal_reason: str = ''
    sequence: int = 0
    told: float = 0

    @property
    def release(self) -> int:
        """Return the number that names the rollout to peers."""
        return xxhash.xxh32_intdigest(self.rollout.target.encode())

    @property
    def is_open(self) -> bool:
        """Tell whether the rollout is neither complete nor reverted."""
        return self.rollout.state in {None, models.RolloutState.in_progress}


class Rollouts:
    """Keep versions on trial until their rollout completes or reverts."""

    __slots__ = ('alpha', 'comparisons', 'random', 'trials')

    def __init__(self, source: random.Random, alpha: float) -> None:
        """Take a random source and the chance of a false alarm."""
        self.random = source
        self.alpha = alpha
        self.trials: dict[str, Trial] = {}
        self.comparisons: dict[str, evidence.Comparison] = {}

    def take(self, rollout: models.Rollout, now: float) -> bool:
        """Take an order or its state; tell whether that is news."""
        known = self.trials.get(rollout.upstream)
        if known is not None and known.rollout.target == rollout.target:
            is_news = known.rollout.state is not rollout.state
            if known.is_open or rollout.state is not None:
                known.rollout = rollout
                return is_news
        self.trials[rollout.upstream] = Trial(
            rollout,
            now,
            evidence.FaultDetector(self.alpha),
        )
        self._get_comparison(rollout.upstream).reset()
        return True

    def draws_trial(self, upstream: str, now: float) -> bool:
        """Draw whether a new request goes to the version on trial."""
        trial = self.trials.get(upstream)
        if trial is None or not trial.is_open or trial.withdrawal_reason:
            return False
        return self.random.random() < _get_share(trial, now)

    def allows(self, worker: fleet.Worker, *, is_trial: bool) -> bool:
        """Tell whether a request may go to a worker's version."""
        trial = self.trials.get(worker.entry.upstream)
        if trial is None:
            return True
        is_target = worker.entry.version == trial.rollout.target
        match trial.rollout.state:
            case models.RolloutState.complete:
                return is_target
            case models.RolloutState.reverted:
                return not is_target
            case _:
                return is_target is is_trial

    def record(
        self,
        worker: fleet.Worker,
        route: str,
        *,
        is_good: bool,
        latency_s: float,
    ) -> None:
        """Count an answer for or against the version of its worker."""
        upstream = worker.entry.upstream
        outcome = evidence.Outcome(
            route,
            worker.entry.name,
            not is_good,
            latency_s,
        )
        trial = self.trials.get(upstream)
        comparison = self._get_comparison(upstream)
        if trial is not None and worker.entry.version == trial.rollout.target:
            if trial.is_open:
                comparison.record_candidate(outcome)
        else:
            comparison.record_stable(outcome)

    def withdraw(self, upstream: str, version: str, reason: str) -> bool:
        """Give a version no more requests; tell whether that is news."""
        trial = self.trials.get(upstream)
        if (
            trial is None
            or trial.rollout.target != version
            or trial.withdrawal_reason
        ):
            return False
        trial.withdrawal_reason = reason
        return True

    def decide(self, upstream: str, now: float) -> models.RolloutState | None:
        """Return the state to report, or nothing if it is reported."""
        trial = self.trials[upstream]
        if not trial.is_open:
            return None
        wanted = models.RolloutState.in_progress
        if trial.withdrawal_reason:
            wanted = models.RolloutState.reverted
        elif _get_progress(trial, now) >= COMPLETE_AT:
            wanted = models.RolloutState.complete
        return None if wanted is trial.rollout.state else wanted

    def get_rows(self, upstream: str) -> tuple[evidence.Row, ...]:
        """Return this entry's evidence about a version on trial."""
        return self._get_comparison(upstream).get_rows()

    def _get_comparison(self, upstream: str) -> evidence.Comparison:
        held = self.comparisons.get(upstream)
        if held is None:
            held = evidence.Comparison()
            self.comparisons[upstream] = held
        return held


def _get_progress(trial: Trial, now: float) -> float:
    return (now - trial.seen_at) / max(1, trial.rollout.duration_s)


def _get_share(trial: Trial, now: float) -> float:
    progress = _get_progress(trial, now)
    for until, share in TRIAL_SHARES:
        if progress < until:
            return share
    return 1
