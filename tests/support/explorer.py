"""Exhaustive exploration of a small model: every order of every step."""

import collections
import copy
import dataclasses


@dataclasses.dataclass
class Result:
    """Tell how many states there are and the shortest way to a broken one."""

    states: int
    steps: int
    trace: list[str] | None


def explore(start, depth):
    """Visit all states that up to ``depth`` steps lead to, breadth first.

    A model has ``steps()`` (names of what may happen next), ``do(step)``,
    ``freeze()`` (what makes two states the same) and ``check()`` (a text if
    the state breaks a promise).
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
            broken = follower.check()
            if broken:
                return Result(len(seen), steps, [*trace, step, broken])
            queue.append((follower, [*trace, step]))
    return Result(len(seen), steps, None)
