"""Parsing and planning of release notes report all problems at once."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronjunction.configuration import models as configuration
from citronjunction.releases import models, notes, planning

NOW = 1000.0
HASH = 'a' * 64
GOOD = f"""
[note]
id = first
[upstream llm]
kind = engine
workers = 6
[organisation org]
token_sha256 = {HASH}
"""


def parse(text):
    return notes.parse_note(text, NOW)


def plan(text, current=None, open_moves=frozenset()):
    current = current or configuration.Configuration()
    return planning.plan_note(current, parse(text).ok, open_moves, 'op')


def codes(result):
    return [problem.code for problem in result.error]


def test_a_valid_note_makes_one_revision_with_its_moves():
    planned = plan(GOOD).ok
    assert planned.revision == 1
    assert [move.name for move in planned.moves] == [
        '1-upstream-llm',
        '1-organisation-org',
    ]


@pytest.mark.parametrize(
    ('text', 'code'),
    [
        ('nonsense', 'N001'),
        ('[note]\nid = x', 'N003'),
        ('[note]\nid = X!\n[version a b]', 'N004'),
        ('[note]\nid = x\nowner = me\n[version a b]', 'N005'),
        ('[note]\nid = x\n[machine a]', 'N006'),
        ('[note]\nid = x\n[version a]', 'N006'),
        ('[note]\nid = x\n[upstream A/B]', 'N007'),
        ('[note]\nid = x\n[upstream a]\nworkers = many', 'N008'),
        ('[note]\nid = x\n[upstream a]\ncolour = red', 'N008'),
        ('[note]\nid = x\n[version a b]\ndeadline = soon', 'N009'),
        (
            '[note]\nid = x\n[version a b]\ndeadline = 1970-01-01T00:00:01+00:00',
            'N009',
        ),
        ('[note]\nid = x\n[version a b]\naction = change', 'N010'),
        ('[note]\nid = x\n[organisation a]', 'N011'),
    ],
)
def test_an_invalid_note_gets_the_code_of_its_problem(text, code):
    assert code in codes(parse(text))


def test_all_problems_are_reported_at_once():
    text = '[note]\n[upstream A]\n[version b]\n[organisation c]'
    assert len(codes(parse(text))) >= 4


@given(st.text(max_size=300))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_no_text_raises(text):
    parsed = parse(text)
    assert parsed.is_ok() or parsed.error


@pytest.mark.parametrize(
    ('text', 'code'),
    [
        ('[note]\nid = first\n[version llm v2]', 'N020'),
        ('[note]\nid = x\n[version llm v2]\n[version llm v3]', 'N021'),
        (f'[note]\nid = x\n[organisation o2]\ntoken_sha256 = {HASH}', 'N022'),
        ('[note]\nid = x\n[upstream llm]', 'N024'),
        (
            '[note]\nid = x\n[upstream llm]\naction = change\nversion = v9',
            'N025',
        ),
        ('[note]\nid = x\n[version nope v2]', 'N026'),
        ('[note]\nid = x\n[organisation nope]\naction = withdraw', 'N027'),
        (
            '[note]\nid = x\n[upstream llm]\naction = withdraw\n[version llm v2]',
            'N028',
        ),
        ('[note]\nid = x\n[version llm v1]', 'N029'),
        ('[note]\nid = x\n[version llm v7]\naction = withdraw', 'N030'),
    ],
)
def test_a_note_that_contradicts_the_configuration_is_refused(text, code):
    assert code in codes(plan(text, plan(GOOD).ok))


def test_a_second_version_is_refused_until_the_open_move_ends():
    current = plan(GOOD).ok
    current = plan('[note]\nid = two\n[version llm v2]', current).ok
    third = '[note]\nid = three\n[version llm v3]'
    refused = plan(third, current, frozenset({'2-version-llm-v2'}))
    assert codes(refused) == ['N023']
    assert plan(third, current).is_ok()


def test_conflicting_moves_of_another_note_are_named():
    base = plan(GOOD).ok
    current = plan('[note]\nid = two\n[version llm v2]', base).ok
    other = parse('[note]\nid = three\n[version llm v3]').ok
    conflicts = planning.find_conflicts(base, current, other)
    assert conflicts == ['add version llm v2 (revision 2)']
    org = parse('[note]\nid = four\n[organisation org]\naction = withdraw').ok
    assert not planning.find_conflicts(base, current, org)


def test_a_change_keeps_keys_that_it_does_not_name():
    current = plan(GOOD).ok
    text = '[note]\nid = two\n[upstream llm]\naction = change\nworkers = 9'
    changed = plan(text, current).ok.upstreams['llm']
    assert changed.workers == 9
    assert changed.kind is current.upstreams['llm'].kind


def test_a_change_has_a_subject_and_an_action():
    change = parse('[note]\nid = x\n[version llm v2]').ok.changes[0]
    assert models.get_subject(change) == 'version llm v2'
    assert models.get_action(change) == 'add'


def test_an_open_move_is_kept_while_finished_ones_are_dropped():
    current = plan(GOOD).ok
    current = plan('[note]\nid = two\n[version llm v2]', current).ok
    open_moves = frozenset({'2-version-llm-v2'})
    for number in range(planning.MAX_MOVES + 5):
        text = (
            f'[note]\nid = n{number}\n[organisation org]\n'
            f'action = change\nshare = {number + 1}'
        )
        current = plan(text, current, open_moves).ok
    assert len(current.moves) == planning.MAX_MOVES
    assert '2-version-llm-v2' in {move.name for move in current.moves}


def test_a_note_with_too_many_changes_is_refused():
    text = '[note]\nid = x\n' + ''.join(
        f'[upstream u{number}]\n' for number in range(planning.MAX_MOVES + 1)
    )
    assert 'N031' in codes(plan(text))
