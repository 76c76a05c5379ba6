"""Objects of other writers that can't be decoded leave all others intact."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from citronjunction.platform import stored_objects
from citronjunction.store import records
from tests.support import broken

TEXT = strategies.text(
    strategies.characters(exclude_categories=['Cs']), max_size=8
)
NAMES = strategies.lists(TEXT.filter(bool), min_size=1, max_size=6, unique=True)
SPECS = strategies.dictionaries(
    TEXT, TEXT | strategies.integers() | strategies.lists(TEXT, max_size=3)
)
FUZZED = hypothesis.settings(derandomize=True, deadline=None)


def build_object(name, revision, spec):
    return {'meta': {'name': name, 'rev': revision}, 'spec': spec}


def encode(document, wire):
    body = json.dumps(document).encode()
    return body.replace(json.dumps(broken.MARK).encode(), wire)


def encode_page(objects, wire, *, has_more=False):
    page = {'entries': objects, 'hasMore': has_more, 'asOf': 9}
    return encode(page, wire)


@pytest.mark.parametrize('wire', broken.VALUES.values(), ids=broken.VALUES)
@pytest.mark.parametrize('place', [0, 1, 2])
def test_the_other_objects_of_a_page_hold(wire, place):
    objects = [build_object(f'w{n}', n + 1, {'n': n}) for n in (0, 2)]
    objects.insert(place, build_object('odd', 5, {'slots': broken.MARK}))

    page = stored_objects.decode_page(encode_page(objects, wire))

    assert [record.name for record in page.records] == ['w0', 'w2']
    assert [rejection.name for rejection in page.rejections] == ['odd']
    assert page.rejections[0].reason
    assert page.as_of == 9


@pytest.mark.parametrize('wire', broken.VALUES.values(), ids=broken.VALUES)
def test_the_other_events_of_a_watch_hold(wire):
    events = [
        {'object': build_object('a', 1, {}), 'tombstone': False},
        {'object': build_object('odd', 2, broken.MARK), 'tombstone': False},
        {'object': build_object('gone', 3, broken.MARK), 'tombstone': True},
        {'object': build_object('b', 4, {}), 'tombstone': True},
    ]

    changes = stored_objects.decode_changes(
        encode({'events': events, 'asOf': 9}, wire)
    )

    assert [
        (change.record.name, change.is_removed) for change in changes.changes
    ] == [('a', False), ('gone', True), ('b', True)]
    assert [rejection.name for rejection in changes.rejections] == ['odd']


@pytest.mark.parametrize(
    'odd',
    [
        None,
        'text',
        [],
        {},
        {'meta': None},
        {'meta': {'name': 'odd'}},
        {'meta': {'name': ['odd'], 'rev': 1}},
        {'meta': {'name': 'odd', 'rev': 'x'}},
        {'meta': {'name': 'odd', 'rev': float('inf')}},
        {'meta': {'name': 'odd', 'rev': None}},
    ],
)
def test_objects_of_an_odd_shape_are_rejected_alone(odd):
    objects = [build_object('a', 1, {}), odd, build_object('b', 2, {})]

    page = stored_objects.decode_page(encode_page(objects, b''))

    assert [record.name for record in page.records] == ['a', 'b']
    assert len(page.rejections) == 1


def test_the_next_page_starts_after_an_object_that_was_rejected():
    objects = [build_object('a', 1, {}), build_object('odd', 2, broken.MARK)]
    wire = broken.VALUES['digits']

    page = stored_objects.decode_page(encode_page(objects, wire, has_more=True))

    assert page.after == 'odd'


@hypothesis.given(
    NAMES,
    SPECS,
    strategies.sampled_from(sorted(broken.VALUES)),
    strategies.data(),
)
@FUZZED
def test_fuzz_all_valid_objects_arrive(names, spec, kind, data):
    objects = [
        build_object(name, number, spec) for number, name in enumerate(names)
    ]
    place = data.draw(strategies.integers(0, len(objects)))
    objects.insert(place, build_object('\x00odd', 7, {'x': [broken.MARK]}))

    page = stored_objects.decode_page(encode_page(objects, broken.VALUES[kind]))

    assert page.records == tuple(
        records.Record(name, number, spec, {})
        for number, name in enumerate(names)
    )
    assert [rejection.name for rejection in page.rejections] == ['\x00odd']
