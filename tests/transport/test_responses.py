"""Parser of responses: what it takes for one, however its bytes arrive."""

import string

import pytest

from citronjunction.transport import responses
from tests.support import crowds

OWN = b'HTTP/1.1 200 OK\r\nX-Call: own\r\nContent-Length: 3\r\n\r\nown'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
OTHER_HEAD = b'HTTP/1.1 200 OK\r\nX-Call: other\r\n'
BODIES = {
    'empty': b'Content-Length: 0\r\n\r\n',
    'length': b'Content-Length: 9\r\n\r\n\r\n\r\nRTSP/',
    'chunked': (
        b'Transfer-Encoding: chunked\r\n\r\n9\r\n\r\n\r\nRTSP/\r\n0\r\n\r\n'
    ),
    'trailer': (
        b'Transfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\nX: y\r\n\r\n'
    ),
}
BEFORE = {
    'nothing': b'',
    'blank lines': b'\r\n\r\n',
    'interim': INTERIM,
    'interim without fields': b'HTTP/1.1 100 Continue\r\n\r\n',
    'interim and blank lines': INTERIM + b'\r\n\r\n',
    'two interim': INTERIM * 2,
    **{f'other, {name}': OTHER_HEAD + BODIES[name] for name in BODIES},
    'other without its body': (
        b'HTTP/1.1 304 Not Modified\r\nX-Call: other\r\n'
        b'Content-Length: 1000\r\n\r\n'
    ),
    'all': INTERIM + b''.join(OTHER_HEAD + body for body in BODIES.values()),
}
TOKEN_BYTES = frozenset((string.ascii_letters + string.digits).encode()) | (
    frozenset(b"!#$%&'*+-.^_`|~")
)
ANY_BYTE = frozenset(range(256))
COLON = frozenset(b':')  # ends the name, and begins the value
SIZES = [1, 2, 3, 5, 16, 1 << 16]  # of the pieces that bytes arrive in


def read(*parts):
    """Return the status and body of a response, or the error of its bytes."""
    reader = responses.ResponseReader(
        lambda headers: headers['x-call'] == 'other'
    )
    try:
        body = b''.join([reader.feed(part) for part in parts])
    except responses.ResponseError as error:
        return error
    return (reader.status, body) if reader.finish() else None


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('before', BEFORE)
def test_a_response_is_read_behind_others(before, size):
    parts = crowds.split(BEFORE[before] + OWN, size)
    assert read(*parts) == (200, b'own')


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('protocol', [b'RTSP/1.0', b'ICE/1.0', b'HTTP/2.0'])
@pytest.mark.parametrize('before', BEFORE)
def test_another_protocol_is_an_error_behind_others(before, protocol, size):
    wire = BEFORE[before] + OWN.replace(b'HTTP/1.1', protocol)
    error = read(*crowds.split(wire, size))
    assert isinstance(error, responses.ResponseError)


@pytest.mark.parametrize('protocol', [b'RTSP/1.0', b'ICE/1.0'])
@pytest.mark.parametrize('name', BODIES)
def test_another_protocol_is_an_error_wherever_bytes_are_cut(name, protocol):
    before = INTERIM + OTHER_HEAD + BODIES[name]
    wire = before + OWN.replace(b'HTTP/1.1', protocol)
    for at in range(1, len(wire)):
        error = read(wire[:at], wire[at:])
        assert isinstance(error, responses.ResponseError)


@pytest.mark.parametrize('before', [b'', INTERIM], ids=['alone', 'interim'])
@pytest.mark.parametrize(
    'pattern', [b'%b', b'%bX', b'X%bY', b'X%b', b'Content-Length%b']
)
def test_a_name_with_any_byte_that_is_not_of_a_token_is_an_error(
    pattern, before
):
    for byte in sorted(ANY_BYTE - COLON):
        name = pattern.replace(b'%b', bytes([byte]))
        wire = before + OWN.replace(b'X-Call', name + b': 1\r\nX-Call')
        is_read = read(wire) == (200, b'own')
        assert is_read == (byte in TOKEN_BYTES), name
