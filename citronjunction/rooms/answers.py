"""Times that answers take, learned from those that this entry relayed."""

import dataclasses

PRIOR_HELD_S = 0.6
PRIOR_WEIGHT = 4  # answers that the prior counts as
MAX_WEIGHT = 64  # answers over which a mean is taken
MAX_HELD_S = 60.0  # a hung answer must not fill all room
MAX_ROUTES = 64
MIN_ANSWERS = 20  # until a mean of a route is used


@dataclasses.dataclass(slots=True)
class Mean:
    """Store an exponentially weighted mean and how many values it has seen."""

    value_s: float = 0
    count: int = 0

    def add(self, value_s: float) -> None:
        """Add a value; the first ones count equally."""
        self.count = min(MAX_WEIGHT, self.count + 1)
        bounded_s = min(MAX_HELD_S, max(0, value_s))
        self.value_s += (bounded_s - self.value_s) / self.count


def _build_prior() -> Mean:
    return Mean(PRIOR_HELD_S, PRIOR_WEIGHT)


@dataclasses.dataclass(slots=True)
class AnswerTimes:
    """Store how long an upstream's answers hold slots.

    ``held`` is the mean of all its answers, ``rest_by_route`` the means of the
    times from the first event to the end.
    """

    held: Mean = dataclasses.field(default_factory=_build_prior)
    rest_by_route: dict[str, Mean] = dataclasses.field(default_factory=dict)

    def record(self, route: str, prefill_s: float, rest_s: float) -> None:
        """Record a complete answer of a route."""
        self.held.add(prefill_s + rest_s)
        known = self.rest_by_route.get(route)
        if known is None and len(self.rest_by_route) < MAX_ROUTES:
            known = Mean()
            self.rest_by_route[route] = known
        if known is not None:
            known.add(rest_s)

    def get_rest_s(self, route: str) -> float:
        """Return the mean time after the first event, 0 if it is unknown."""
        known = self.rest_by_route.get(route)
        if known is None or known.count < MIN_ANSWERS:
            return 0
        return known.value_s
