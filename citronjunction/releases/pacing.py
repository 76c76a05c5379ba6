"""Schedule of a move: when its version gets the next share of traffic."""

import dataclasses

TRAFFIC_SHARES = (0.04, 0.2, 0.5, 1.0)  # a trial must stay below 5 %
# Time fractions at which a stage ends even with few requests.
STAGE_END_FRACTIONS = (0.45, 0.6, 0.75, 0.9)
MIN_SAMPLES = (40, 40, 60, 0)  # requests per stage for an early advance
MAX_LOG_EVIDENCE = 2.0  # stronger evidence of a fault delays the next share
MIN_STAGE_REQUESTS = 8  # enough to detect a version that always fails
# Time fraction after which a stage may end with fewer requests than
# MIN_STAGE_REQUESTS.
LOW_TRAFFIC_FRACTION = 0.75
MIN_STAGE_FRACTION = 0.05  # of the time from start to deadline
MAX_STAGE_WAIT_S = 600.0  # upper bound of the minimum stage duration


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """Progress of a move.

    Times are epoch seconds. ``stage`` is an index of ``TRAFFIC_SHARES``,
    ``stage_samples`` counts the requests of the stage.
    """

    started_at: float
    deadline_at: float
    stage: int
    stage_at: float
    stage_samples: int
    log_evidence: float


def may_advance(progress: Progress, now: float) -> bool:
    """Return whether the version may get the next share of traffic.

    Time fractions count from the start of the move to its deadline. Shortly
    before the deadline the answer is always yes; until then evidence of a fault
    or a lack of requests delays the next share.
    """
    total_s = max(1, progress.deadline_at - progress.started_at)
    elapsed_s = now - progress.started_at
    if elapsed_s >= STAGE_END_FRACTIONS[-1] * total_s:
        return True
    if now - progress.stage_at < MIN_STAGE_FRACTION * total_s / 2:
        return False
    if progress.log_evidence > MAX_LOG_EVIDENCE:
        return False
    if (
        progress.stage_samples < MIN_STAGE_REQUESTS
        and elapsed_s < LOW_TRAFFIC_FRACTION * total_s
    ):
        return False
    if elapsed_s >= STAGE_END_FRACTIONS[progress.stage] * total_s:
        return True
    stage_s = min(MAX_STAGE_WAIT_S, MIN_STAGE_FRACTION * total_s)
    if now - progress.stage_at < stage_s:
        return False
    return progress.stage_samples >= MIN_SAMPLES[progress.stage]
