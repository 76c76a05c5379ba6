"""Messages of the versioned peer protocol: data classes, encoded as CBOR."""

import dataclasses
import enum
import hashlib
import hmac
import typing
from typing import Annotated, Literal, Union

import cbor2
import pydantic

from citronjunction.documents import errors
from citronjunction.membership import dialects, facts, packing

PROTOCOL_VERSION = 2
MAX_KINDS = 256  # that a build may name
MAX_FIELDS = 64  # of a kind
DECODE_ERRORS = (*errors.DECODE_ERRORS, cbor2.CBORDecodeError)


class Role(enum.Enum):
    """Side of a link: the client opened it, the server accepted it."""

    client = 'client'
    server = 'server'


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """Identify the sender and challenge the receiver with a nonce."""

    name: facts.Text
    protocol: int
    nonce: Annotated[bytes, pydantic.Field(min_length=16, max_length=64)]
    kind: Literal['hello'] = 'hello'


@dataclasses.dataclass(slots=True, frozen=True)
class Proof:
    """Answer the challenge of the peer's ``Hello``."""

    digest: Annotated[bytes, pydantic.Field(min_length=32, max_length=32)]
    kind: Literal['proof'] = 'proof'


@dataclasses.dataclass(slots=True, frozen=True)
class Speaks:
    """Name what the sender reads, after its proof to a peer that does too.

    ``field_counts`` is as in ``dialects.Dialect``.
    """

    field_counts: Annotated[
        dict[facts.Text, Annotated[int, pydantic.Field(ge=0, le=MAX_FIELDS)]],
        pydantic.Field(max_length=MAX_KINDS),
    ]
    kind: Literal['speaks'] = 'speaks'


@dataclasses.dataclass(slots=True, frozen=True)
class Facts:
    """Send facts to the peer."""

    facts: tuple[
        Annotated[facts.Fact, pydantic.Field(discriminator='kind')],
        ...,
    ]
    kind: Literal['facts'] = 'facts'


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """List the keys and versions of the sender's facts."""

    versions: dict[str, facts.Version]
    kind: Literal['digest'] = 'digest'


@dataclasses.dataclass(slots=True, frozen=True)
class Want:
    """Request facts by key."""

    keys: tuple[str, ...]
    kind: Literal['want'] = 'want'


@dataclasses.dataclass(slots=True, frozen=True)
class Handover:
    """Hand a running request over; ``deadline_s`` is the time left."""

    request: facts.Text
    organisation: facts.Text
    path: facts.Text
    body: bytes
    request_class: facts.Text
    offset: int
    deadline_s: float
    answer: bytes = b''
    kind: Literal['handover'] = 'handover'


@dataclasses.dataclass(slots=True, frozen=True)
class HandoverTaken:
    """Confirm a handover; the caller continues at ``address``."""

    request: facts.Text
    address: facts.Text
    kind: Literal['handover_taken'] = 'handover_taken'


@dataclasses.dataclass(slots=True, frozen=True)
class CopyWanted:
    """Request the peer's copy of stored objects if newer than ``as_of``.

    ``era`` is the era of the store in which ``as_of`` is a revision.
    """

    object_kind: facts.Text
    era: int
    as_of: int
    kind: Literal['copy_wanted'] = 'copy_wanted'


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """Send all stored objects of a kind as of revision ``as_of`` of an era.

    Each object is a tuple of its name, revision, spec and status.
    """

    object_kind: facts.Text
    era: int
    as_of: int
    objects: tuple[
        tuple[str, int, dict[str, object], dict[str, object]],
        ...,
    ]
    kind: Literal['copy'] = 'copy'


@dataclasses.dataclass(slots=True, frozen=True)
class CopyChanges:
    """Send the objects of a kind that changed after revision ``since``.

    ``objects`` are as in ``Copy``, ``removed`` are names.
    """

    object_kind: facts.Text
    era: int
    since: int
    as_of: int
    objects: tuple[
        tuple[str, int, dict[str, object], dict[str, object]],
        ...,
    ]
    removed: tuple[str, ...]
    kind: Literal['copy_changes'] = 'copy_changes'


Message = Union[
    Hello,
    Proof,
    Speaks,
    Facts,
    Digest,
    Want,
    Handover,
    HandoverTaken,
    CopyWanted,
    Copy,
    CopyChanges,
]
ADAPTER = pydantic.TypeAdapter(
    Annotated[Message, pydantic.Field(discriminator='kind')],
)

UNPACKER = packing.Unpacker(
    (*typing.get_args(Message), *typing.get_args(facts.Fact)),
)


OWN_DIALECT = dialects.Dialect(
    {kind: len(names) for kind, names in UNPACKER.fields_by_kind.items()},
)
OWN_NUMBER = OWN_DIALECT.compute_number()


class MessageError(ValueError):
    """Raised for bytes that are not a valid message of the protocol."""


def restrict(message: Message, dialect: dialects.Dialect) -> Message | None:
    """Return what a build of a dialect reads of a message, None if nothing."""
    if not dialect.reads(message.kind):
        return None
    match message:
        case Facts(facts=sent):
            read = tuple(fact for fact in sent if dialect.reads(fact.kind))
            return Facts(read) if read else None
        case Digest(versions=versions):
            return Digest(
                {
                    key: version
                    for key, version in versions.items()
                    if dialect.reads_key(key)
                }
            )
    return message


def encode(message: Message, dialect: dialects.Dialect = OWN_DIALECT) -> bytes:
    """Return the bytes of a message with the fields of a dialect."""
    return cbor2.dumps(packing.pack(message, dialect.field_counts))


def decode(
    frame: bytes, on_unknown: packing.OnUnknown = packing.ignore_kind
) -> Message | None:
    """Return the message in the bytes, or raise ``MessageError``.

    Return None for a message of a kind that this build does not know, and
    leave out such facts; ``on_unknown`` receives the kind of each.
    """
    try:
        named = UNPACKER.unpack(cbor2.loads(frame), on_unknown)
        return named and ADAPTER.validate_python(named)
    except DECODE_ERRORS as error:
        raise MessageError(f'malformed peer message: {error}') from error


def compute_proof(
    secret: str,
    role: Role,
    name: str,
    challenge: bytes,
    own_nonce: bytes,
) -> bytes:
    """Return the HMAC with which the named node answers a challenge.

    It covers the node's role on the link, its name and both nonces: a proof
    is not valid for another role, name or pair of nonces.
    """
    text = f'{role.value} {name} '.encode() + challenge + own_nonce
    return hmac.digest(secret.encode(), text, hashlib.sha256)
