"""Pace of a move: shares of traffic by deadline and evidence."""

import dataclasses

TRAFFIC_SHARES = (0.04, 0.2, 0.5, 1.0)  # a trial must stay under 5 %
STAGE_ENDS = (0.45, 0.6, 0.75, 0.9)  # of the time between start and deadline
MIN_SAMPLES = (40, 40, 60, 0)  # requests before the next share
MAX_LOG_EVIDENCE = 2.0  # log evidence over which a share is not raised
MIN_EVIDENCE = 8  # requests that show a hard fault
LATEST = 0.75  # of the time, when a share is raised on little evidence
MIN_STAGE = 0.05  # of the time between start and deadline
MAX_CAUTION_S = 600.0  # longest stage when samples suffice


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """Describe a move in progress; times are epoch seconds."""

    started_at: float
    deadline_at: float
    stage: int
    stage_at: float
    stage_samples: int
    log_evidence: float


def may_advance(progress: Progress, now: float) -> bool:
    """Tell whether the next share of traffic is due."""
    total_s = max(1, progress.deadline_at - progress.started_at)
    elapsed_s = now - progress.started_at
    if elapsed_s >= STAGE_ENDS[-1] * total_s:
        return True
    if now - progress.stage_at < MIN_STAGE * total_s / 2:
        return False
    if progress.log_evidence > MAX_LOG_EVIDENCE:
        return False
    if progress.stage_samples < MIN_EVIDENCE and elapsed_s < LATEST * total_s:
        return False
    if elapsed_s >= STAGE_ENDS[progress.stage] * total_s:
        return True
    stage_s = min(MAX_CAUTION_S, MIN_STAGE * total_s)
    if now - progress.stage_at < stage_s:
        return False
    return progress.stage_samples >= MIN_SAMPLES[progress.stage]
