"""Limits on the heads of messages, and on bytes beside their bodies."""

import dataclasses

import h11

BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
OVERHEAD_PER_BODY_BYTE = 16  # allows for chunks of one byte
FIELD_BYTES = 400  # of memory that a parsed field takes beside its text


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Describe what a head says about the connection and the body.

    ``kept_bytes`` is the memory that the parsed head takes.
    """

    keeps_alive: bool
    length: int
    is_expecting: bool
    kept_bytes: int


def describe_excess(received: int, body: int, base: int) -> str:
    """Return how a message exceeds the limit, or an empty text.

    ``received`` counts all its bytes, ``body`` those of its body. ``base``
    bytes of heads and trailers are allowed, chunk headers in proportion.
    """
    overhead = received - body
    if overhead <= base + OVERHEAD_PER_BODY_BYTE * body:
        return ''
    return f'{overhead} bytes beside {body} of the body'


def check_head(head: h11.Request, max_bytes: int) -> None:
    """Raise an error for a head that is too large or has two framings."""
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise h11.RemoteProtocolError(
            'request has both Content-Length and Transfer-Encoding',
            BAD_REQUEST,
        )
    size = len(head.target) + sum(
        len(name) + len(text) for name, text in head.headers
    )
    if size > max_bytes:
        raise h11.RemoteProtocolError('request head too large', HEAD_TOO_LARGE)


def check_fields(head: h11.Request, max_fields: int) -> None:
    """Raise an error for a head of too many fields."""
    if len(head.headers) > max_fields:
        raise h11.RemoteProtocolError(
            f'request head has more than {max_fields} fields', HEAD_TOO_LARGE
        )


def read_options(head: h11.Request) -> Options:
    """Return what a head says about the connection and the body."""
    headers = dict(head.headers)
    connection_options = headers.get(b'connection', b'').lower()
    return Options(
        head.http_version == b'1.1' and b'close' not in connection_options,
        int(headers.get(b'content-length', b'0')),
        headers.get(b'expect', b'').lower() == b'100-continue',
        FIELD_BYTES * len(head.headers) + len(head.target),
    )
