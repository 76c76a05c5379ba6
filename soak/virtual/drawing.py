"""Random faults of a run, drawn from its seed."""

import dataclasses
import enum
import random

FIRST_FAULT_S = 1.0
MEAN_GAP_S = 2.0  # shorter than most faults, which therefore overlap
MIN_DURATION_S = 1.0
MAX_DURATION_S = 12.0
MAX_TARGETS = 1000
MIN_HOT_S = 12.0
MAX_HOT_S = 24.0


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
    hot = 'organisation above its quota'
    quota = 'quota changed'
    entries_replaced = 'entries lost and replaced'
    holder_replaced = 'holder of the duties lost and replaced'
    all_killed = 'all entries killed'
    entries_frozen = 'entries frozen'
    entry_stopped = 'entry stopped by SIGTERM'
    store_down = 'store down'
    store_slow = 'store slow'
    store_loses = 'store loses answers'
    worker_loses = 'worker loses answers'
    worker_drains = 'worker drains in the store'
    refusals_repeated = 'worker repeats refusals'
    foreign_entry = 'entry of another writer'
    watches_silent = 'watches of entries silent'
    route_added = 'route added'


FIRST_KINDS = (
    Kind.worker_limit,
    Kind.brittle,
    Kind.cut_silently,
    Kind.cut_refused,
    Kind.entry_killed,
    Kind.entry_paused,
    Kind.peers_cut,
    Kind.store_cut,
    Kind.worker_killed,
    Kind.worker_leaves,
    Kind.worker_silent,
    Kind.worker_refuses,
    Kind.worker_fails,
    Kind.burst,
    Kind.configuration,
)
# A version of the draw gives each seed its faults; a later one adds kinds.
THIRD_KINDS = (
    Kind.worker_drains,
    Kind.refusals_repeated,
    Kind.foreign_entry,
    Kind.watches_silent,
    Kind.route_added,
)
SECOND_KINDS = tuple(kind for kind in Kind if kind not in THIRD_KINDS)
KINDS = {1: FIRST_KINDS, 2: SECOND_KINDS, 3: tuple(Kind)}
CURRENT = 3


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


def draw(seed: int, seconds: float, version: int = CURRENT) -> list[Fault]:
    """Return the faults of a seed, which come within so many seconds."""
    source = random.Random(seed)
    faults = [_draw_hot(source, seconds)] if Kind.hot in KINDS[version] else []
    at = FIRST_FAULT_S
    while at < seconds:
        faults.append(
            Fault(
                at,
                source.choice(KINDS[version]),
                source.randrange(MAX_TARGETS),
                source.uniform(MIN_DURATION_S, MAX_DURATION_S),
                source.random(),
            )
        )
        at += source.expovariate(1 / MEAN_GAP_S)
    faults.sort(key=lambda fault: fault.starts_at)
    return faults


def _draw_hot(source: random.Random, seconds: float) -> Fault:
    return Fault(
        source.uniform(FIRST_FAULT_S, seconds / 3),
        Kind.hot,
        source.randrange(MAX_TARGETS),
        source.uniform(MIN_HOT_S, MAX_HOT_S),
        source.random(),
    )
