"""Schedule of the copies from one worker, which are made one after another.

All entries compute it from the worker's own list of runs, so that their copies
need no coordination.
"""

from collections import abc

from citronjunction.reclaims import models

# Between the end that a worker reports, some hundred ms late, and the last copy.
MARGIN_S = 0.5


def compute_leads(
    runs: abc.Iterable[models.Run],
    token_copy_s: float,
    movable: abc.Mapping[str, bool],
) -> dict[str, float]:
    """Return by request how long before the worker's end its copy begins.

    ``movable`` tells of the entry's own requests whether they would be moved;
    those of other entries are taken to be moved as often. The youngest streams
    are copied first, since the others may end before their turn.
    """
    order = sorted(
        runs, key=lambda run: (run.events, run.request), reverse=True
    )
    share = sum(movable.values()) / len(movable) if movable else 0
    leads: dict[str, float] = {}
    lead_s = MARGIN_S
    for run in order:
        weight = movable.get(run.request, share)
        lead_s += weight * run.tokens * token_copy_s
        if weight and run.request in movable:
            leads[run.request] = lead_s
    return leads
