"""Stored status of moves, and the split of traffic between versions."""

import dataclasses
import enum
import random
from collections import abc

from citronjunction.documents import codec

KIND = 'statuses'
MAX_FINISHED_MOVES = 20  # per owner; older ones are dropped


class MoveState(enum.Enum):
    """State of a move; the values are stored and shown to operators."""

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
    """State of one move; times are epoch seconds.

    ``stage`` is an index of the traffic shares, ``stage_samples`` the request
    count at the start of the stage.
    """

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
        """Return whether the move is unfinished."""
        return self.state not in FINAL_STATES


@dataclasses.dataclass(slots=True, frozen=True)
class Withdrawal:
    """Version that gets no traffic until a release after ``release``."""

    version: str
    release: int


@dataclasses.dataclass(slots=True, frozen=True)
class Status:
    """Moves of one owner and the split of its traffic.

    ``share`` of the traffic goes to ``candidate``, the rest to ``stable``.
    ``previous`` is the old version that stays loaded for a rollback until
    ``previous_until``, in epoch seconds. ``step`` counts the writes, and
    ``epoch`` is that of the lease under which the last one was made. Declared
    moves up to ``adopted_revision`` were added to ``moves``, from which old
    finished ones are dropped. ``release`` is the revision of the last move to
    a new version.
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
        """Return a move by name, if it is kept."""
        for record in self.moves:
            if record.name == name:
                return record
        return None

    def replace_move(self, record: MoveRecord) -> 'Status':
        """Return a copy with the move replaced or added."""
        others = [move for move in self.moves if move.name != record.name]
        moves = sorted((*others, record), key=lambda move: move.revision)
        finished = [move for move in moves if not move.is_open]
        excess = {move.name for move in finished[:-MAX_FINISHED_MOVES]}
        kept = tuple(move for move in moves if move.name not in excess)
        return dataclasses.replace(self, moves=kept)

    def is_withdrawn(self, version: str) -> bool:
        """Return whether a version is withdrawn in the current release."""
        return any(
            withdrawal.version == version and withdrawal.release >= self.release
            for withdrawal in self.withdrawals
        )


CODEC = codec.Codec(Status)
encode = CODEC.encode
decode = CODEC.decode


def get_owner(subject: str) -> str:
    """Return the owner of a subject, which names its lease and status."""
    kind, name = subject.split()[:2]
    if kind == 'version':
        kind = 'upstream'
    return f'{kind}-{name}'


class TrafficSplitter:
    """Select a share of the requests at even intervals.

    Random draws would let a trial exceed its share by chance, above all if
    there are few requests. The random start keeps entries out of step.
    """

    __slots__ = ('credit',)

    def __init__(self, rng: random.Random) -> None:
        self.credit = rng.random()

    def select(self, share: float) -> bool:
        """Return whether the next request belongs to the share."""
        self.credit += share
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


def choose_version(
    status: Status | None,
    default: str,
    excluded: abc.Set[str],
    splitter: TrafficSplitter,
) -> str:
    """Return the version for one request.

    ``excluded`` versions get no traffic even if the status names them, unless
    there is no other version.
    """
    if status is None or not status.stable:
        return default
    candidate = status.candidate
    if (
        candidate
        and candidate not in excluded
        and splitter.select(status.share)
    ):
        return candidate
    if status.stable in excluded and status.previous:
        return status.previous
    return status.stable
