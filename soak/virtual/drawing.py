"""Random faults of a run, drawn from its seed."""

import dataclasses
import enum
import random

FIRST_FAULT_S = 1.0
MEAN_GAP_S = 2.0  # shorter than most faults, which therefore overlap
MIN_DURATION_S = 1.0
MAX_DURATION_S = 12.0
MAX_TARGETS = 1000


class Kind(enum.Enum):
    """What happens; each is of entries, workers or callers."""

    worker_limit = 'worker limit'
    brittle = 'brittle workers'
    cut_silently = 'entries cut from workers, silently'
    cut_refused = 'entries cut from workers, refused'
    entry_killed = 'entry killed'
    entry_paused = 'entry paused'
    peers_cut = 'entries cut from peers'
    store_cut = 'entries cut from the store'
    worker_killed = 'worker killed'
    worker_leaves = 'worker leaves'
    worker_silent = 'worker silent'
    worker_refuses = 'worker refuses'
    worker_fails = 'worker fails'
    burst = 'burst'
    configuration = 'configuration'


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault; ``target`` selects modulo, ``amount`` is a share or a rate."""

    starts_at: float
    kind: Kind
    target: int
    duration_s: float
    amount: float

    def __str__(self) -> str:
        """Return the fault's line in a report."""
        return (
            f'{self.starts_at:6.2f} s {self.kind.value} {self.target}'
            f' for {self.duration_s:.2f} s ({self.amount:.2f})'
        )


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed, which come within so many seconds."""
    source = random.Random(seed)
    faults = []
    at = FIRST_FAULT_S
    while at < seconds:
        faults.append(
            Fault(
                at,
                source.choice(list(Kind)),
                source.randrange(MAX_TARGETS),
                source.uniform(MIN_DURATION_S, MAX_DURATION_S),
                source.random(),
            )
        )
        at += source.expovariate(1 / MEAN_GAP_S)
    return faults
