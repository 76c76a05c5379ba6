"""Share of an upstream's requests that a version under rollout gets."""

import dataclasses
import random

from citronjunction.gateway import fleet, models

TRIAL_SHARE = 0.06  # of the requests; the bound is 0.1 and 50 besides


@dataclasses.dataclass(slots=True)
class Tally:
    """Count answers of a version: good and bad."""

    good: int = 0
    bad: int = 0


class Rollouts:
    """Keep a version on trial until its rollout completes."""

    __slots__ = ('held', 'random', 'tallies')

    def __init__(self, source: random.Random) -> None:
        """Take a random source."""
        self.random = source
        self.held: dict[str, models.Rollout] = {}
        self.tallies: dict[tuple[str, int], Tally] = {}

    def take(self, rollout: models.Rollout) -> bool:
        """Take an order or its state; tell whether that is news."""
        known = self.held.get(rollout.upstream)
        self.held[rollout.upstream] = rollout
        return known != rollout

    def draws_trial(self, upstream: str) -> bool:
        """Tell whether a new request goes to the version on trial."""
        return self.random.random() < TRIAL_SHARE and self.is_on_trial(upstream)

    def is_on_trial(self, upstream: str) -> bool:
        """Tell whether an upstream has a rollout in progress."""
        rollout = self.held.get(upstream)
        if rollout is None:
            return False
        return rollout.state in {None, models.RolloutState.in_progress}

    def allows(self, worker: fleet.Worker, *, is_trial: bool) -> bool:
        """Tell whether a request may go to a worker's version."""
        rollout = self.held.get(worker.entry.upstream)
        if rollout is None:
            return True
        is_target = worker.entry.version == rollout.target
        match rollout.state:
            case models.RolloutState.complete:
                return is_target
            case models.RolloutState.reverted:
                return not is_target
            case _:
                return is_target is is_trial

    def record(self, worker: fleet.Worker, *, is_good: bool) -> None:
        """Count an answer of the version on trial."""
        rollout = self.held.get(worker.entry.upstream)
        if rollout is None or worker.entry.version != rollout.target:
            return
        key = (rollout.upstream, rollout.order)
        tally = self.tallies.setdefault(key, Tally())
        if is_good:
            tally.good += 1
        else:
            tally.bad += 1
