"""Seeds that once failed, each with its cause; all have passed since."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Regression:
    """Describe a failed seed: the duration of its faults and the cause."""

    seed: int
    seconds: float
    cause: str


ALL = (
    Regression(14, 12.0, 'an outgoing connection used the port of an entry'),
    Regression(16, 12.0, 'the soak did not restart an entry that exited late'),
    Regression(23, 12.0, 'the soak did not restart an entry that exited late'),
    Regression(5, 12.0, 'a late answer of a paused process; it is allowed'),
    Regression(24, 12.0, 'a late answer of a paused process; it is allowed'),
    Regression(28, 12.0, 'a late answer of a paused process; it is allowed'),
)
