"""What a worker that is reclaimed reports of its end."""

import dataclasses

# A worker may end that much earlier than its report says.
MAX_REPORT_AGE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A run at a worker; ``tokens`` are those in its KV cache."""

    request: str
    tokens: int
    events: int


@dataclasses.dataclass(slots=True, frozen=True)
class TimeLeft:
    """The seconds until a worker ends, and its runs."""

    left_s: float
    runs: tuple[Run, ...] = ()
