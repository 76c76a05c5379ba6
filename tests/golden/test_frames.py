"""Frames of landed builds in the present one, and its frames in theirs."""

import dataclasses

import pytest

from citronjunction.membership import dialects, facts, messages
from tests.golden import checking, old_reader, sampling

SAMPLES = {build: old_reader.load(build) for build in old_reader.BUILDS}
MESSAGES = [
    (build, kind) for build in SAMPLES for kind in SAMPLES[build]['messages']
]
FACTS = [(build, kind) for build in SAMPLES for kind in SAMPLES[build]['facts']]
DIALECTS = {
    '257d141': dialects.OLDEST,
    'f5a3360': dialects.WITH_CONSTRAINTS,
}


@pytest.mark.parametrize('build', SAMPLES)
def test_the_present_build_has_the_kinds_and_fields_of_a_landed_one(build):
    problems = checking.check_schema(
        SAMPLES[build]['schema'], checking.list_classes()
    )

    assert not problems


@pytest.mark.parametrize(('build', 'kind'), MESSAGES)
def test_a_message_of_a_landed_build_is_read(build, kind):
    assert not checking.check_message(SAMPLES[build]['messages'][kind])


@pytest.mark.parametrize(('build', 'kind'), FACTS)
def test_a_fact_of_a_landed_build_is_read(build, kind):
    assert not checking.check_fact(SAMPLES[build]['facts'][kind])


@pytest.mark.parametrize('build', DIALECTS)
def test_the_dialect_of_a_silent_build_is_that_of_its_schema(build):
    assert DIALECTS[build].field_counts == {
        kind: len(fields) for kind, fields in SAMPLES[build]['schema'].items()
    }


@pytest.mark.parametrize('build', DIALECTS)
def test_a_landed_build_reads_all_that_is_sent_to_it(build):
    reader = old_reader.OldReader(build)
    sent = set()
    for kind, message_class in checking.list_classes().items():
        if kind in SAMPLES['f5a3360']['facts'] or kind == 'evidence_row':
            continue
        message = messages.restrict(
            sampling.sample(message_class), DIALECTS[build]
        )
        if message is not None:
            sent.add(reader.read(messages.encode(message, DIALECTS[build]))[0])

    assert sent == set(SAMPLES[build]['messages'])


def test_a_worker_constraint_ends_the_link_of_257d141_unless_left_out():
    fact = facts.WorkerConstraint('w/1', 'requests', 5.0, sampling.NOW_S)
    known = facts.LeavingHost('h', sampling.NOW_S)
    reader = old_reader.OldReader('257d141')
    message = messages.Facts((fact, known))

    with pytest.raises(old_reader.Unreadable, match='worker_constraint'):
        reader.read(messages.encode(message))

    restricted = messages.restrict(message, dialects.OLDEST)
    assert restricted == messages.Facts((known,))
    reader.read(messages.encode(restricted, dialects.OLDEST))
    assert messages.restrict(messages.Facts((fact,)), dialects.OLDEST) is None


def test_fields_that_a_peer_does_not_read_are_left_out():
    dialect = dialects.Dialect({'facts': 1, 'leaving': 2})
    frame = messages.encode(
        messages.Facts((facts.LeavingHost('h', 1.0, 6.0),)), dialect
    )

    assert messages.decode(frame) == messages.Facts(
        (facts.LeavingHost('h', 1.0),)
    )


def test_a_field_added_without_a_default_is_found():
    classes = checking.list_classes()
    classes['full_worker'] = dataclasses.make_dataclass(
        'FullWorker',
        [
            ('worker_start', facts.Text),
            ('room', int),
            ('noticed_at', float),
            ('extra', int),
            ('kind', str, dataclasses.field(default='full_worker')),
        ],
    )

    assert checking.check_schema(SAMPLES['f5a3360']['schema'], classes) == [
        'full_worker: extra has no default'
    ]


def test_a_renamed_kind_is_found(monkeypatch):
    classes = checking.list_classes()
    classes['host_leaves'] = classes.pop('leaving')
    fields = dict(messages.UNPACKER.fields_by_kind)
    fields['host_leaves'] = fields.pop('leaving')
    monkeypatch.setattr(messages.UNPACKER, 'fields_by_kind', fields)

    assert checking.check_schema(SAMPLES['257d141']['schema'], classes)
    assert checking.check_fact(SAMPLES['257d141']['facts']['leaving'])


def test_a_changed_unit_is_found(monkeypatch):
    sample = SAMPLES['f5a3360']['facts']['worker_constraint']
    monkeypatch.setattr(facts, 'MS_PER_S', 1)

    assert checking.check_fact(sample)
