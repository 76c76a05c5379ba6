"""Messages on a peer link: typed, versioned, CBOR encoded."""

import dataclasses
import enum
import hashlib
import hmac
import typing
from typing import Annotated, Literal, Union

import cbor2
import pydantic

from citronjunction.membership import facts, packing

PROTOCOL_VERSION = 1
DECODE_ERRORS = (
    ValueError,  # also of pydantic
    cbor2.CBORDecodeError,
    RecursionError,
    TypeError,
    OverflowError,
)


class Role(enum.Enum):
    """Tell which side of a link a node is."""

    client = 'client'
    server = 'server'


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """Name the sender and challenge the receiver."""

    name: facts.Text
    protocol: int
    nonce: Annotated[bytes, pydantic.Field(min_length=16, max_length=64)]
    kind: Literal['hello'] = 'hello'


@dataclasses.dataclass(slots=True, frozen=True)
class Proof:
    """Answer the challenge of a hello."""

    digest: Annotated[bytes, pydantic.Field(min_length=32, max_length=32)]
    kind: Literal['proof'] = 'proof'


@dataclasses.dataclass(slots=True, frozen=True)
class Facts:
    """Carry facts."""

    facts: tuple[
        Annotated[facts.Fact, pydantic.Field(discriminator='kind')],
        ...,
    ]
    kind: Literal['facts'] = 'facts'


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """List the versions that the sender holds."""

    versions: dict[str, facts.Version]
    kind: Literal['digest'] = 'digest'


@dataclasses.dataclass(slots=True, frozen=True)
class Want:
    """Ask for facts by key."""

    keys: tuple[str, ...]
    kind: Literal['want'] = 'want'


@dataclasses.dataclass(slots=True, frozen=True)
class Handover:
    """Give a running request to a peer; ``deadline_s`` is what is left."""

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
    """Confirm a handover and say where its caller goes on."""

    request: facts.Text
    address: facts.Text
    kind: Literal['handover_taken'] = 'handover_taken'


@dataclasses.dataclass(slots=True, frozen=True)
class CopyWanted:
    """Ask for the peer's copy of stored objects newer than a revision."""

    object_kind: facts.Text
    as_of: int
    kind: Literal['copy_wanted'] = 'copy_wanted'


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """Carry all stored objects of a kind as of a revision.

    Each object is its name, revision, spec and status.
    """

    object_kind: facts.Text
    as_of: int
    objects: tuple[
        tuple[str, int, dict[str, object], dict[str, object]],
        ...,
    ]
    kind: Literal['copy'] = 'copy'


Message = Union[
    Hello,
    Proof,
    Facts,
    Digest,
    Want,
    Handover,
    HandoverTaken,
    CopyWanted,
    Copy,
]
ADAPTER = pydantic.TypeAdapter(
    Annotated[Message, pydantic.Field(discriminator='kind')],
)

UNPACKER = packing.Unpacker(
    (*typing.get_args(Message), *typing.get_args(facts.Fact)),
)


class MessageError(ValueError):
    """Raised for bytes that are not a message of this protocol."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    return cbor2.dumps(packing.pack(message))


def decode(frame: bytes) -> Message:
    """Decode a message or raise ``MessageError``."""
    try:
        named = UNPACKER.unpack(cbor2.loads(frame))
        return ADAPTER.validate_python(named)
    except DECODE_ERRORS as error:
        raise MessageError(f'malformed peer message: {error}') from error


def compute_proof(
    secret: str,
    role: Role,
    name: str,
    challenge: bytes,
    own_nonce: bytes,
) -> bytes:
    """Answer a challenge as the named node in its role on the link."""
    text = f'{role.value} {name} '.encode() + challenge + own_nonce
    return hmac.digest(secret.encode(), text, hashlib.sha256)
