"""Encoding of peer messages: round trips, limits and malformed input."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronjunction.membership import facts, messages

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


kinds = st.sampled_from(list(messages.UNPACKER.fields_by_kind))
arrays = st.tuples(kinds, st.lists(values, max_size=5)).map(
    lambda drawn: [drawn[0], *drawn[1]]
)


@given(st.binary(max_size=200) | (values | arrays).map(cbor2.dumps))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_bytes_that_are_no_message_raise_one_error(frame):
    try:
        message = messages.decode(frame)
    except messages.MessageError:
        return
    if message is None:
        kind = cbor2.loads(frame)[0]
        assert isinstance(kind, str)
        assert kind not in messages.UNPACKER.fields_by_kind
        return
    assert messages.decode(messages.encode(message)) == message


def test_decoded_messages_equal_the_encoded_ones():
    fact = facts.WithdrawnVersion('llm', 'v2', 3, 'fails')
    row = facts.EvidenceRow('r', 'failure', 'w', 3, (0.5, 1.0, 2.0))
    evidence = facts.EvidenceState('n', 1, 2, 'llm', 'v2', 3, (row,))
    host = facts.LeavingHost('h', 1.0, 6.0)
    message = messages.Facts((fact, host, evidence))
    assert messages.decode(messages.encode(message)) == message


def test_proofs_differ_by_role_name_and_nonces():
    base = ('secret', messages.Role.client, 'n1', b'a' * 32, b'b' * 32)
    changed = [
        ('other!', *base[1:]),
        (base[0], messages.Role.server, *base[2:]),
        (*base[:2], 'n2', *base[3:]),
        (*base[:3], b'c' * 32, base[4]),
        (*base[:4], b'c' * 32),
    ]
    proofs = {
        messages.compute_proof(*arguments) for arguments in (base, *changed)
    }
    assert len(proofs) == 6


@pytest.mark.parametrize('size', [257, 10_000])
def test_long_names_are_rejected(size):
    frame = cbor2.dumps(['hello', 'n' * size, 1, b'x' * 32])
    with pytest.raises(messages.MessageError):
        messages.decode(frame)


LEAVING = ['leaving', 'h', 1.0, 6.0]


@pytest.mark.parametrize(
    ('packed', 'unknown'),
    [
        (['news', 1, {}], ['news']),
        (
            ['facts', [LEAVING, ['news', 1], LEAVING, ['other']]],
            ['news', 'other'],
        ),
        (['facts', [[*LEAVING, 'more', None]], 'more'], []),
        (['facts', [LEAVING[:3]]], []),
    ],
)
def test_unknown_kinds_are_reported_and_unknown_fields_ignored(packed, unknown):
    reported = []
    message = messages.decode(cbor2.dumps(packed), reported.append)

    assert reported == unknown
    if message is None:
        assert packed[0] == 'news'
    else:
        expected = {facts.LeavingHost('h', 1.0, 6.0)}
        if packed[1] == [LEAVING[:3]]:
            expected = {facts.LeavingHost('h', 1.0)}
        assert set(message.facts) == expected


@pytest.mark.parametrize(
    'packed',
    [
        [],
        'facts',
        {'facts': []},
        [''],
        ['n' * 65],
        [7, 'facts'],
        ['facts'],
        ['facts', 'leaving'],
        ['facts', [LEAVING, 7]],
        ['facts', [LEAVING, []]],
        ['facts', [['leaving', 'h']]],
        ['facts', [['leaving', 7, 1.0, 6.0]]],
        ['facts', [['hello', 'n', 2, b'n' * 32]]],
        ['leaving', 'h', 1.0, 6.0],
        ['evidence', 'n', 1, 2, 'u', 'v', 3, [['r', 'm', 'w', 3]]],
        ['digest', {'leaving/h': [1]}],
        ['speaks', {'facts': -1}],
        ['speaks', {str(number): 1 for number in range(257)}],
        ['hello', 'n', 2],
    ],
)
def test_malformed_messages_and_known_kinds_are_rejected(packed):
    with pytest.raises(messages.MessageError):
        messages.decode(cbor2.dumps(packed))
