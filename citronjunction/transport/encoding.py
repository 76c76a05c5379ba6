"""Encoding of the heads of HTTP responses."""

import http
from collections import abc


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
