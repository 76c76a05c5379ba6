"""Exhaustive exploration of all orders of the steps of a small model."""

import collections
import copy
import dataclasses


@dataclasses.dataclass
class Result:
    """Report the number of states and the shortest trace to a violation."""

    states: int
    steps: int
    trace: list[str] | None


def explore(start, depth):
    """Visit all states within ``depth`` steps breadth first.

    A model has ``steps()`` (the names of the possible next steps),
    ``do(step)``, ``freeze()`` (a key that equal states share) and ``check()``
    (a text if the state violates an invariant, else an empty one).
    """
    seen = {start.freeze()}
    queue = collections.deque([(start, [])])
    steps = 0
    while queue:
        model, trace = queue.popleft()
        if len(trace) >= depth:
            continue
        for step in model.steps():
            steps += 1
            follower = copy.deepcopy(model)
            follower.do(step)
            key = follower.freeze()
            if key in seen:
                continue
            seen.add(key)
            violation = follower.check()
            if violation:
                return Result(len(seen), steps, [*trace, step, violation])
            queue.append((follower, [*trace, step]))
    return Result(len(seen), steps, None)
