"""Evidence from attempts, and the mark it leads to."""

import dataclasses

from citronjunction.entry import models, state
from citronjunction.membership import facts
from citronjunction.peering import evidence_rows
from citronjunction.releases import evidence
from citronjunction.routing import models as routing

UNCACHED_BOUNDS = (128, 1024)  # tokens; sizes whose latencies compare
MIN_REPORTED_CHANGE = 0.5  # change of log evidence that is told to peers


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Describe how an attempt ended; times are seconds."""

    has_failed: bool
    first_s: float = 0
    pace_s: float = 0
    is_final: bool = True


def name_route(request: models.CallerRequest, choice: routing.Choice) -> str:
    """Name the route with the size of what the worker must compute."""
    match request.detail:
        case models.Completion(prompt=prompt):
            tokens = len(prompt) / models.CHARACTERS_PER_TOKEN
            uncached = tokens * (1 - choice.hit_ratio)
            size = sum(uncached >= bound for bound in UNCACHED_BOUNDS)
            return f'{request.route}#{size}'
        case _:
            return request.route


def record_sample(
    entry: state.EntryState,
    request: models.CallerRequest,
    choice: routing.Choice,
    version: str,
    sample: Sample,
) -> None:
    """Record an attempt for or against its version."""
    outcome = evidence.Outcome(
        name_route(request, choice),
        choice.worker.name,
        sample.has_failed,
        sample.first_s,
        sample.pace_s,
        sample.is_final,
    )
    trial = entry.get_trial(request.upstream.name)
    if version == trial.version:
        trial.comparison.record_candidate(outcome)
    else:
        trial.comparison.record_stable(outcome)


def build_fact(
    entry: state.EntryState,
    upstream: str,
    trial: state.Trial,
) -> facts.EvidenceState:
    """Build what peers are told of the own evidence."""
    trial.sequence += 1
    rows = evidence_rows.encode_rows(trial.comparison.get_rows())
    return facts.EvidenceState(
        entry.name,
        entry.incarnation,
        trial.sequence,
        upstream,
        trial.version,
        trial.release,
        rows,
    )


def measure_change(trial: state.Trial) -> float:
    """Return a number that changes as the own evidence does."""
    return evidence_rows.measure_change(trial.comparison.get_rows())
