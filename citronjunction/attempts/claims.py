"""Claims of idempotency keys, without I/O; times are monotonic seconds.

A request that has a key and isn't idempotent runs only after its claim was
written to the store by a conditional create. If a caller sends the same key
several times, to any entries, one request creates the claim. The others wait
until its answer is stored and return that.
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
POLL_INTERVAL_S = 0.25  # for the answer of the claim's owner
STORE_RETRY_DELAY_S = 0.1
MAX_UNKNOWN_RESULTS = 3  # from the store, until the request is refused
MAX_ANSWER_BYTES = 65536  # longer answers are cut off


class ClaimState(enum.Enum):
    """State of the claimed request, as stored.

    ``unknown`` means that it may have run and that its answer is lost.
    """

    running = 'running'
    answered = 'answered'
    released = 'released'
    unknown = 'unknown'


@dataclasses.dataclass(slots=True, frozen=True)
class KeptAnswer:
    """Stored answer for resends of a request; the body is in base64."""

    status: int
    content_type: str
    body: str

    def get_body(self) -> bytes:
        """Return the decoded body."""
        return base64.b64decode(self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRecord:
    """Claim as the store keeps it.

    ``owner`` and ``incarnation`` identify the entry process that created the
    claim, ``operation`` the request within it. ``claimed_at`` is wall-clock
    time.
    """

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
    """Write the record if the stored version is ``expected``.

    An empty version expects that there is no claim.
    """

    record: ClaimRecord
    expected: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReadClaim:
    """Read the claim after a delay in seconds."""

    delay_s: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Run the request, which owns the claim now."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replay:
    """Return the stored answer of the first run."""

    answer: KeptAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """End the request with a verdict.

    ``releases_claim`` is set if the claim may have been created although no
    write was confirmed, and has to be released.
    """

    failure: verdicts.Failure
    releases_claim: bool = False


Action = Union[WriteClaim, ReadClaim, Run, Replay, Refuse]


def compute_object_name(organisation: str, upstream: str, key: str) -> str:
    """Return the name of a claim in the store."""
    text = f'{organisation}\n{upstream}\n{key}'
    return hashlib.sha256(text.encode()).hexdigest()


def build_kept_answer(
    status: int, content_type: str, body: bytes
) -> KeptAnswer:
    """Build the answer to store, cut to ``MAX_ANSWER_BYTES``."""
    text = base64.b64encode(body[:MAX_ANSWER_BYTES]).decode()
    return KeptAnswer(status, content_type, text)


class Claim:
    """State machine that decides whether a request with a key may run.

    The caller performs each returned action and passes the result to
    ``on_write`` or ``on_read``. ``version`` is the stored version of the
    claim once this request owns it.
    """

    __slots__ = (
        'deadline_at',
        'is_alive',
        'own_record',
        'unknown_results',
        'version',
    )

    def __init__(
        self,
        own_record: ClaimRecord,
        deadline_at: float,
        is_alive: abc.Callable[[str, int], bool],
    ) -> None:
        """Start without a claim.

        ``is_alive`` returns whether the entry process of a name and an
        incarnation is running.
        """
        self.own_record = own_record
        self.deadline_at = deadline_at
        self.is_alive = is_alive
        self.version = ''
        self.unknown_results = 0

    def start(self) -> Action:
        """Return the conditional create of the claim."""
        return WriteClaim(self.own_record, '')

    def on_write(self, result: store_models.WriteResult, now: float) -> Action:
        """Return the action after a write."""
        match result:
            case store_models.Stored(stored_object=stored):
                self.version = stored.version
                return Run()
            case store_models.Conflict():
                return ReadClaim()
            case store_models.NotWritten(reason=reason):
                return self._refuse_unclaimed(reason, now)
            case store_models.Unknown(reason=reason):
                return self._retry_read(reason, now)

    def on_read(self, result: store_models.ReadResult, now: float) -> Action:
        """Return the action after a read."""
        match result:
            case store_models.Absent():
                if now >= self.deadline_at:
                    return self._refuse_unclaimed(
                        'the claim was not written', now
                    )
                return WriteClaim(self.own_record, '')
            case store_models.Unknown(reason=reason):
                return self._retry_read(reason, now)
            case store_models.Stored(stored_object=stored):
                return self._evaluate(stored, now)

    def complete(self, answer: KeptAnswer) -> WriteClaim:
        """Return the write that stores the answer."""
        return self._build_update(ClaimState.answered, answer)

    def release(self) -> WriteClaim:
        """Return the write that records that the request was not run."""
        return self._build_update(ClaimState.released)

    def mark_unknown(self) -> WriteClaim:
        """Return the write that records a run without a known answer."""
        return self._build_update(ClaimState.unknown)

    def _build_update(
        self,
        state: ClaimState,
        answer: KeptAnswer | None = None,
    ) -> WriteClaim:
        record = dataclasses.replace(
            self.own_record, state=state, answer=answer
        )
        return WriteClaim(record, self.version)

    def _evaluate(
        self, stored: store_models.StoredObject, now: float
    ) -> Action:
        record = decode_record(stored.spec)
        if record is None:
            return _refuse_unknown_run(
                'the stored claim of this key is invalid'
            )
        if record.fingerprint != self.own_record.fingerprint:
            return _refuse_reused_key()
        if record.operation == self.own_record.operation:
            self.version = stored.version
            return Run()
        match record.state:
            case ClaimState.answered:
                return Replay(record.answer)
            case ClaimState.released:
                return WriteClaim(self.own_record, stored.version)
            case ClaimState.unknown:
                return _refuse_unknown_run(
                    'the result of an earlier run was lost'
                )
            case ClaimState.running:
                return self._wait_for_owner(record, now)

    def _wait_for_owner(self, record: ClaimRecord, now: float) -> Action:
        if not self.is_alive(record.owner, record.incarnation):
            reason = f'{record.owner} was lost while it ran the request'
            return _refuse_unknown_run(reason)
        if now + POLL_INTERVAL_S >= self.deadline_at:
            return Refuse(
                verdicts.MayHaveRun(
                    'a request with this key is still running',
                    status=409,
                    code='key_in_use',
                ),
            )
        return ReadClaim(POLL_INTERVAL_S)

    def _retry_read(self, reason: str, now: float) -> Action:
        self.unknown_results += 1
        if (
            self.unknown_results >= MAX_UNKNOWN_RESULTS
            or now + STORE_RETRY_DELAY_S >= self.deadline_at
        ):
            return self._refuse_unclaimed(reason, now)
        return ReadClaim(STORE_RETRY_DELAY_S)

    def _refuse_unclaimed(self, reason: str, now: float) -> Refuse:
        text = f'the idempotency key could not be claimed: {reason}'
        failure = verdicts.NotRun(text, 2, code='claim_failed')
        return Refuse(failure, releases_claim=self.unknown_results > 0)


def _refuse_unknown_run(reason: str) -> Refuse:
    return Refuse(verdicts.MayHaveRun(reason, status=409, code='run_unknown'))


def _refuse_reused_key() -> Refuse:
    return Refuse(
        verdicts.NotRun(
            'Idempotency-Key was used for another request',
            status=422,
            code='key_reused',
        ),
    )
