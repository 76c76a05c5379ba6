"""Evidence about versions on trial, recorded from attempts."""

import dataclasses

from citronjunction.entry import models, state
from citronjunction.membership import facts
from citronjunction.peering import evidence_rows
from citronjunction.releases import evidence
from citronjunction.routing import models as routing

# Prompt tokens to prefill; latencies are compared only within a size class.
PREFILL_SIZE_BOUNDS = (128, 1024)
# Of the value of measure_change; smaller changes are not published.
MIN_REPORTED_CHANGE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Describe an ended or running attempt; times are seconds.

    ``first_s`` is the time to the first byte and ``pace_s`` the mean time per
    token, both 0 if not measured. A sample that is not final measures a
    running attempt.
    """

    has_failed: bool
    first_s: float = 0
    pace_s: float = 0
    is_final: bool = True


def name_route(request: models.CallerRequest, choice: routing.Choice) -> str:
    """Return the route with the size class of the prompt to prefill."""
    match request.detail:
        case models.Completion(prompt=prompt):
            tokens = len(prompt) / models.CHARACTERS_PER_TOKEN
            uncached = tokens * (1 - choice.hit_ratio)
            size = sum(uncached >= bound for bound in PREFILL_SIZE_BOUNDS)
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
    """Record a sample as evidence about the version of its attempt."""
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
    """Return this entry's evidence about a version as a fact for peers."""
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
    """Return a number that changes with this entry's evidence."""
    return evidence_rows.measure_change(trial.comparison.get_rows())
