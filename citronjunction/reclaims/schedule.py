"""Schedule of the copies from one worker, which are made one after another.

All entries compute it from the worker's own list of runs, so that their copies
need no coordination.
"""

from collections import abc

from citronjunction.reclaims import models


def compute_starts(
    time_left: models.TimeLeft,
    token_copy_s: float,
    movable: abc.Mapping[str, bool],
) -> dict[str, float]:
    """Return by request in how many seconds its copy should begin.

    ``movable`` tells of the entry's own requests whether they would be moved;
    those of other entries are taken to be moved as often. The youngest streams
    are copied first, since the others may end before their turn.
    """
    share = sum(movable.values()) / len(movable) if movable else 0
    runs = sorted(time_left.runs, key=lambda run: (run.events, run.request))
    copies_s = [
        movable.get(run.request, share) * run.tokens * token_copy_s
        for run in runs
    ]
    starts: dict[str, float] = {}
    start_s = max(0, time_left.left_s - models.MAX_REPORT_AGE_S - sum(copies_s))
    for run, copy_s in zip(runs, copies_s):
        if movable.get(run.request):
            starts[run.request] = start_s
        start_s += copy_s
    return starts
