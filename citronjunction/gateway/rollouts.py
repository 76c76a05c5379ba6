"""Rollouts: the share of an upstream's requests that a new version gets."""

import dataclasses
import math
import random

import xxhash

from citronjunction.gateway import fleet, models
from citronjunction.releases import evidence

# A bad version may get a tenth of the requests at most, so the share is raised
# only after a long trial. It is raised at fractions of the rollout's duration.
USUAL_SHARE = 0.09
USUAL_UNTIL = 0.55
RAISED_SHARE = 0.3
RAISED_UNTIL = 0.75
# A fault shows after a number of requests, however long they take to come. On
# suspicion, the next ones come at a higher share until these are used up.
SUSPECT_SHARE = 0.3
SUSPECT_REQUESTS = 30  # of all entries, beyond the usual share
# Fraction of the rollout's duration at which it is reported as complete; the
# rest leaves time to repeat a lost write.
COMPLETE_AT = 0.93
MIN_TRIAL = 0.5  # shortest trial, as a fraction of the rollout's duration
# Time after a restore of the store in which an order that was already carried
# out may be written again.
RESTORED_ORDERS_S = 5.0
FINAL_STATES = frozenset(
    (models.RolloutState.complete, models.RolloutState.reverted),
)


@dataclasses.dataclass(slots=True)
class Trial:
    """Store the progress of a rollout.

    ``seen_at`` is when it was first seen and ``begun_at`` when a worker of the
    version was first ready, None without one, both in monotonic seconds.
    ``doubted_s`` is how long the evidence was in doubt since then until
    ``doubted_at``, which is None while it is not in doubt.
    ``withdrawal_reason`` is empty unless the version was withdrawn.
    ``sequence`` and ``reported_measure`` belong to the last evidence that was
    published to peers. ``is_unrecorded`` means that the store has lost the
    final state, ``was_running`` that other entries had begun the rollout when
    it was first seen. ``requests`` counts this entry's requests since
    ``begun_at``, ``tried`` those that were drawn for the version. ``is_suspect``
    means that more requests must show whether it has a fault.
    """

    rollout: models.Rollout
    seen_at: float
    detector: evidence.FaultDetector
    begun_at: float | None = None
    doubted_at: float | None = None
    doubted_s: float = 0
    withdrawal_reason: str = ''
    sequence: int = 0
    reported_measure: float = 0
    is_unrecorded: bool = False
    was_running: bool = False
    requests: int = 0
    tried: int = 0
    is_suspect: bool = False

    @property
    def release(self) -> int:
        """Return the number that identifies the rollout to peers."""
        return xxhash.xxh32_intdigest(self.rollout.target.encode())

    def record_workers(self, *, has_ready: bool, now: float) -> bool:
        """Record whether a worker of the version is ready.

        A trial that loses its workers begins anew. Return whether it changed.
        """
        was_begun = self.begun_at is not None
        if not has_ready:
            self.begun_at = None
        elif self.begun_at is None:
            self.begun_at = now
            self.doubted_s = 0
            self.requests = 0
            self.tried = 0
        return was_begun is not has_ready

    def record_doubt(self, *, is_doubtful: bool, now: float) -> bool:
        """Record whether the evidence is in doubt, which stops the progress.

        Return whether that changed.
        """
        was_doubtful = self.doubted_at is not None
        if self.doubted_at is not None:
            self.doubted_s += now - self.doubted_at
        self.doubted_at = now if is_doubtful else None
        return was_doubtful is not is_doubtful

    def get_progress(self, now: float) -> float:
        """Return the fraction of the trial that is over.

        A trial that begins late is shortened to end in time, but not by more
        than ``MIN_TRIAL`` allows.
        """
        if self.begun_at is None:
            return 0
        duration_s = max(1, self.rollout.duration_s)
        left_s = self.seen_at + duration_s - self.begun_at
        passed_s = now - self.begun_at - self.doubted_s
        return passed_s / max(MIN_TRIAL * duration_s, left_s)

    @property
    def is_open(self) -> bool:
        """Return whether the rollout is neither complete nor reverted."""
        return self.rollout.state not in FINAL_STATES


class Rollouts:
    """Track the rollouts by upstream and the evidence about their versions."""

    __slots__ = (
        'alpha',
        'comparisons',
        'random',
        'restored_at',
        'trials',
    )

    def __init__(self, source: random.Random, alpha: float) -> None:
        """Set the random source and the probability of a false alarm."""
        self.random = source
        self.alpha = alpha
        self.restored_at = -math.inf
        self.trials: dict[str, Trial] = {}
        self.comparisons: dict[str, evidence.Comparison] = {}

    def begin_era(self, now: float) -> None:
        """Record that the store was restored and may lack final states."""
        self.restored_at = now

    def update(self, rollout: models.Rollout, now: float) -> bool:
        """Apply a rollout or its new state; return whether it changed."""
        known = self.trials.get(rollout.upstream)
        if known is not None and known.rollout.target == rollout.target:
            is_changed = known.rollout.state is not rollout.state
            is_open = rollout.state not in FINAL_STATES
            is_restored = now - self.restored_at < RESTORED_ORDERS_S
            known.is_unrecorded = not known.is_open and is_open and is_restored
            if known.is_unrecorded:
                return False
            if known.is_open or rollout.state is not None:
                known.rollout = rollout
                return is_changed
        self.trials[rollout.upstream] = Trial(
            rollout,
            now,
            evidence.FaultDetector(self.alpha),
            was_running=rollout.state is models.RolloutState.in_progress,
        )
        self._get_comparison(rollout.upstream).reset()
        return True

    def holds_workers(self, upstream: str, now: float) -> bool:
        """Return whether workers of an upstream are, or may come, on trial."""
        trial = self.trials.get(upstream)
        if trial is None or not trial.is_open:
            return False
        is_due = now >= trial.seen_at + trial.rollout.duration_s
        return trial.begun_at is not None or not is_due

    def draws_trial(self, upstream: str, entries: int, now: float) -> bool:
        """Return at random whether a request goes to the version on trial.

        ``entries`` is the number of entries that try it.
        """
        trial = self.trials.get(upstream)
        if trial is None or not trial.is_open or trial.withdrawal_reason:
            return False
        trial.requests += 1
        is_tried = self.random.random() < _get_share(trial, entries, now)
        trial.tried += is_tried
        return is_tried

    def allows(self, worker: fleet.Worker, *, is_trial: bool) -> bool:
        """Return whether a request may go to a worker's version."""
        trial = self.trials.get(worker.registration.upstream)
        if trial is None:
            return True
        is_target = worker.registration.version == trial.rollout.target
        match trial.rollout.state:
            case models.RolloutState.complete:
                return is_target
            case models.RolloutState.reverted:
                return not is_target
            case _:
                return is_target is is_trial

    def record(
        self, worker: fleet.Worker, route: str, *, is_good: bool
    ) -> None:
        """Record an answer as evidence about the version of its worker."""
        name = worker.registration.name
        self._record(worker, evidence.Outcome(route, name, not is_good))

    def record_time(
        self,
        worker: fleet.Worker,
        route: str,
        *,
        latency_s: float = 0,
        typical_s: float = 0,
    ) -> None:
        """Record a time of a good answer as evidence.

        ``typical_s`` varies little on the route: it is the time between events
        of a stream, or the latency of an answer that is none.
        """
        outcome = evidence.Outcome(
            route,
            worker.registration.name,
            has_failed=False,
            latency_s=latency_s,
            is_final=False,
            typical_s=typical_s,
        )
        self._record(worker, outcome)

    def _record(self, worker: fleet.Worker, outcome: evidence.Outcome) -> None:
        upstream = worker.registration.upstream
        trial = self.trials.get(upstream)
        comparison = self._get_comparison(upstream)
        is_target = (
            trial is not None
            and worker.registration.version == trial.rollout.target
        )
        if not is_target:
            comparison.record_stable(outcome)
        elif trial.is_open:
            comparison.record_candidate(outcome)

    def withdraw(self, upstream: str, version: str, reason: str) -> bool:
        """Withdraw a version from trial; return whether that is new."""
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
        """Return the state that is due to be reported, if any."""
        trial = self.trials[upstream]
        if trial.is_unrecorded:
            return trial.rollout.state
        if not trial.is_open:
            return None
        due_state = models.RolloutState.in_progress
        if trial.withdrawal_reason:
            due_state = models.RolloutState.reverted
        elif trial.get_progress(now) >= COMPLETE_AT:
            due_state = models.RolloutState.complete
        return None if due_state is trial.rollout.state else due_state

    def get_rows(self, upstream: str) -> tuple[evidence.Row, ...]:
        """Return this entry's evidence about a version on trial."""
        return self._get_comparison(upstream).get_rows()

    def _get_comparison(self, upstream: str) -> evidence.Comparison:
        comparison = self.comparisons.get(upstream)
        if comparison is None:
            comparison = evidence.Comparison()
            self.comparisons[upstream] = comparison
        return comparison


def _get_share(trial: Trial, entries: int, now: float) -> float:
    """Return the share of the requests that the version on trial gets now."""
    if trial.is_suspect or trial.doubted_at is not None:
        limit = USUAL_SHARE * trial.requests + SUSPECT_REQUESTS / entries
        return SUSPECT_SHARE if trial.tried < limit else USUAL_SHARE
    progress = trial.get_progress(now)
    if progress < USUAL_UNTIL:
        return USUAL_SHARE
    return RAISED_SHARE if progress < RAISED_UNTIL else 1
