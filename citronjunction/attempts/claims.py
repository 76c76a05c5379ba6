"""Claims of idempotency keys, without I/O; times are monotonic seconds.

A request that may not be repeated runs only after its claim was written by
a conditional create. Of several resends, at whichever entries, one creates
the claim; the others wait for its answer and get that.
"""

import base64
import dataclasses
import enum
import hashlib
from collections import abc
from typing import Union

from citronjunction.documents import codec
from citronjunction.store import models as store_models
from citronjunction.verdicts import models as verdicts

KIND = 'claims'
POLL_S = 0.25  # interval of looking for another's answer
RETRY_S = 0.1  # delay before the store is asked again
MAX_UNKNOWN = 3  # lost answers of the store until the request is refused
MAX_ANSWER = 65536  # bytes kept of an answer


class ClaimState(enum.Enum):
    """Tell what is known of the claimed request."""

    running = 'running'
    answered = 'answered'
    released = 'released'
    unknown = 'unknown'


@dataclasses.dataclass(slots=True, frozen=True)
class KeptAnswer:
    """Hold an answer for resends; the body is base64."""

    status: int
    content_type: str
    body: str

    def get_body(self) -> bytes:
        """Return the bytes of the body."""
        return base64.b64decode(self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRecord:
    """Hold a claim as the store keeps it."""

    fingerprint: int
    owner: str
    incarnation: int
    operation: str
    claimed_at: float
    state: ClaimState = ClaimState.running
    answer: KeptAnswer | None = None


CODEC = codec.Codec(ClaimRecord)
encode_record = CODEC.encode
decode_record = CODEC.decode


@dataclasses.dataclass(slots=True, frozen=True)
class WriteClaim:
    """Write the record if the version is as expected."""

    record: ClaimRecord
    expected: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReadClaim:
    """Read the claim after a delay in seconds."""

    delay_s: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Run the request: the claim is this one's."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replay:
    """Give the answer of the first run."""

    answer: KeptAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """End the request with a verdict; ``releases`` asks to free the claim."""

    failure: verdicts.Failure
    releases_claim: bool = False


Action = Union[WriteClaim, ReadClaim, Run, Replay, Refuse]


def compute_object_name(organisation: str, upstream: str, key: str) -> str:
    """Return the object name of a claim."""
    text = f'{organisation}\n{upstream}\n{key}'
    return hashlib.sha256(text.encode()).hexdigest()


def build_kept_answer(
    status: int, content_type: str, body: bytes
) -> KeptAnswer:
    """Build an answer for resends, up to a bound."""
    text = base64.b64encode(body[:MAX_ANSWER]).decode()
    return KeptAnswer(status, content_type, text)


class Claim:
    """Decide whether a request with a key may run."""

    __slots__ = (
        'deadline_at',
        'is_alive',
        'own_record',
        'unknown',
        'version',
    )

    def __init__(
        self,
        own_record: ClaimRecord,
        deadline_at: float,
        is_alive: abc.Callable[[str, int], bool],
    ) -> None:
        """Take the own record and how to tell a live owner."""
        self.own_record = own_record
        self.deadline_at = deadline_at
        self.is_alive = is_alive
        self.version = ''
        self.unknown = 0

    def start(self) -> Action:
        """Begin with a conditional create."""
        return WriteClaim(self.own_record, '')

    def on_write(self, result: store_models.WriteResult, now: float) -> Action:
        """Take the result of a write."""
        match result:
            case store_models.Stored(stored_object=held):
                self.version = held.version
                return Run()
            case store_models.Conflict():
                return ReadClaim()
            case store_models.NotWritten(reason=reason):
                return self._refuse_store(reason, now)
            case store_models.Unknown(reason=reason):
                return self._ask_again(reason, now)

    def on_read(self, result: store_models.ReadResult, now: float) -> Action:
        """Take the result of a read."""
        match result:
            case store_models.Absent():
                if now >= self.deadline_at:
                    return self._refuse_store('the claim was not written', now)
                return WriteClaim(self.own_record, '')
            case store_models.Unknown(reason=reason):
                return self._ask_again(reason, now)
            case store_models.Stored(stored_object=held):
                return self._judge(held, now)

    def complete(self, answer: KeptAnswer) -> WriteClaim:
        """Record the answer."""
        return self._change(ClaimState.answered, answer)

    def release(self) -> WriteClaim:
        """Record that the request was not run."""
        return self._change(ClaimState.released)

    def mark_unknown(self) -> WriteClaim:
        """Record that the request may have run and has no answer."""
        return self._change(ClaimState.unknown)

    def _change(
        self,
        state: ClaimState,
        answer: KeptAnswer | None = None,
    ) -> WriteClaim:
        record = dataclasses.replace(
            self.own_record, state=state, answer=answer
        )
        return WriteClaim(record, self.version)

    def _judge(self, held: store_models.StoredObject, now: float) -> Action:
        record = decode_record(held.spec)
        if record is None:
            return _refuse_unknown('the claim of this key cannot be read')
        if record.fingerprint != self.own_record.fingerprint:
            return _refuse_reuse()
        if record.operation == self.own_record.operation:
            self.version = held.version
            return Run()
        match record.state:
            case ClaimState.answered:
                return Replay(record.answer)
            case ClaimState.released:
                return WriteClaim(self.own_record, held.version)
            case ClaimState.unknown:
                return _refuse_unknown('an earlier run has no known result')
            case ClaimState.running:
                return self._await_owner(record, now)

    def _await_owner(self, record: ClaimRecord, now: float) -> Action:
        if not self.is_alive(record.owner, record.incarnation):
            reason = f'{record.owner} was lost while it ran the request'
            return _refuse_unknown(reason)
        if now + POLL_S >= self.deadline_at:
            return Refuse(
                verdicts.MayHaveRun(
                    'a request with this key is still running',
                    status=409,
                    code='key_in_use',
                ),
            )
        return ReadClaim(POLL_S)

    def _ask_again(self, reason: str, now: float) -> Action:
        self.unknown += 1
        if self.unknown >= MAX_UNKNOWN or now + RETRY_S >= self.deadline_at:
            return self._refuse_store(reason, now)
        return ReadClaim(RETRY_S)

    def _refuse_store(self, reason: str, now: float) -> Refuse:
        text = f'the idempotency key could not be claimed: {reason}'
        failure = verdicts.NotRun(text, 2, code='claim_failed')
        return Refuse(failure, releases_claim=self.unknown > 0)


def _refuse_unknown(reason: str) -> Refuse:
    return Refuse(verdicts.MayHaveRun(reason, status=409, code='run_unknown'))


def _refuse_reuse() -> Refuse:
    return Refuse(
        verdicts.NotRun(
            'Idempotency-Key was used for another request',
            status=422,
            code='key_reused',
        ),
    )
