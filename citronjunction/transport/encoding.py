"""Encoding of the heads of HTTP requests and responses."""

import http
from collections import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.transport import http_client

HEAD = 'HEAD'  # the method whose responses have no body
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


def encode_call_head(call: 'http_client.Call') -> bytes:
    """Encode the request line and headers of a call."""
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {call.host or call.address}',
    ]
    lines.extend(f'{name}: {text}' for name, text in call.headers.items())
    if call.body or call.method in BODY_METHODS:
        lines.append(f'Content-Length: {len(call.body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')


def get_reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'


def encode_headers(
    headers: abc.Mapping[str, str],
) -> abc.Iterator[tuple[bytes, bytes]]:
    """Encode headers; replace line breaks, which would end the header."""
    for name, text in headers.items():
        line = text.replace('\r', ' ').replace('\n', ' ')
        yield name.encode('latin-1'), line.encode('latin-1', 'replace')


def decode_headers(
    fields: abc.Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Decode header fields; those of one name are joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_text in fields:
        name = raw_name.decode('latin-1')
        text = raw_text.decode('latin-1')
        previous = headers.get(name)
        headers[name] = text if previous is None else f'{previous}, {text}'
    return headers
