"""Status of what a lease covers: moves and the split of traffic."""

import dataclasses
import enum
import random
from collections import abc

from citronjunction.documents import codec

KIND = 'statuses'
MAX_FINISHED_MOVES = 20  # finished moves kept per owner


class MoveState(enum.Enum):
    """Tell how far a move is."""

    waiting = 'waiting'
    loading = 'loading'
    trial = 'trial'
    moving = 'moving'
    done = 'done'
    taken_back = 'taken back'
    withdrawn = 'withdrawn'


FINAL_STATES = frozenset(
    (
        MoveState.done,
        MoveState.taken_back,
        MoveState.withdrawn,
    )
)


@dataclasses.dataclass(slots=True, frozen=True)
class MoveRecord:
    """Hold the state of a move; times are epoch seconds."""

    name: str
    action: str
    subject: str
    revision: int
    deadline_at: float
    version: str = ''
    state: MoveState = MoveState.waiting
    reason: str = ''
    stage: int = 0
    started_at: float = 0
    stage_at: float = 0
    stage_samples: int = 0
    finished_at: float = 0

    @property
    def is_open(self) -> bool:
        """Tell whether work is left."""
        return self.state not in FINAL_STATES


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawal:
    """Mark a version that a release must not use again."""

    version: str
    release: int


@dataclasses.dataclass(slots=True, frozen=True)
class Status:
    """Hold the moves of one owner and how its traffic is split.

    ``previous`` is the old version that still stands after a move.
    ``epoch`` is that of the lease under which the step was written. Moves up
    to ``adopted_revision`` were taken up; finished ones are dropped in time.
    """

    owner: str
    step: int = 0
    epoch: int = 0
    adopted_revision: int = 0
    operation: str = ''
    stable: str = ''
    candidate: str = ''
    previous: str = ''
    previous_until: float = 0
    share: float = 0
    release: int = 0
    withdrawals: tuple[Withdrawal, ...] = ()
    moves: tuple[MoveRecord, ...] = ()

    def find_move(self, name: str) -> MoveRecord | None:
        """Return a move by name."""
        for record in self.moves:
            if record.name == name:
                return record
        return None

    def replace_move(self, record: MoveRecord) -> 'Status':
        """Return the status with a changed or added move."""
        others = [held for held in self.moves if held.name != record.name]
        moves = sorted((*others, record), key=lambda held: held.revision)
        closed = [held for held in moves if not held.is_open]
        excess = {held.name for held in closed[:-MAX_FINISHED_MOVES]}
        kept = tuple(held for held in moves if held.name not in excess)
        return dataclasses.replace(self, moves=kept)

    def is_withdrawn(self, version: str) -> bool:
        """Tell whether a version is withdrawn in the current release."""
        return any(
            mark.version == version and mark.release >= self.release
            for mark in self.withdrawals
        )


CODEC = codec.Codec(Status)
encode = CODEC.encode
decode = CODEC.decode


def get_owner(subject: str) -> str:
    """Return the name of the lease and status that cover a subject."""
    kind, name = subject.split()[:2]
    if kind == 'version':
        kind = 'upstream'
    return f'{kind}-{name}'


class TrafficSplitter:
    """Spread a share of requests evenly, from a random start.

    Drawing each request at random would let a trial exceed its share by
    chance, all the more where there are few requests.
    """

    __slots__ = ('credit',)

    def __init__(self, source: random.Random) -> None:
        """Take a random source."""
        self.credit = source.random()

    def select(self, share: float) -> bool:
        """Tell whether the next request belongs to the share."""
        self.credit += share
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


def choose_version(
    status: Status | None,
    default: str,
    bad: abc.Set[str],
    splitter: TrafficSplitter,
) -> str:
    """Choose the version for one request.

    ``bad`` holds versions that must get no work, whatever the store says.
    """
    if status is None or not status.stable:
        return default
    candidate = status.candidate
    if candidate and candidate not in bad and splitter.select(status.share):
        return candidate
    if status.stable in bad and status.previous:
        return status.previous
    return status.stable
