"""Bad input: the figures of a worker's ``Load`` header."""

import pytest

from citronjunction.platform import upstream_calls
from citronjunction.transport import http_client


def decode(text):
    fields = () if text is None else ((b'Load', text.encode('latin-1')),)
    headers = {name.decode().lower(): t.decode('latin-1') for name, t in fields}
    head = http_client.Head(200, headers, fields)
    return upstream_calls.decode(head).load


def test_three_or_four_figures_are_read():
    plain = decode('3,0,8')
    assert (plain.running, plain.waiting, plain.slots) == (3, 0, 8)
    assert plain.slowdown is None
    assert decode('3, 1, 8, 250').slowdown == 2.5


@pytest.mark.parametrize(
    'text',
    [
        '',
        '3',
        '3,0',
        '3,0,8,100,7',
        '-3,0,8,100',
        '3,0,8,-100',
        '3,0,8,nan',
        '3,0,8,inf',
        '3,0,8,',
        '3,0,8,1e9',
        '3,0,8,99999999999999999999',
        '3,0,8,\xb2',
        'a,b,c',
    ],
)
def test_other_figures_are_rejected(text):
    assert decode(text) is None


def test_a_missing_header_states_nothing():
    assert decode(None) is None
