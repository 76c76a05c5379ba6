"""Settings problems are reported together, each with code, place and hint."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronjunction.conf import loader

GOOD = '[membership]\nsecret = 0123456789abcdef\n'


def codes(text):
    return [problem.code for problem in loader.load_text(text, 'x.ini').error]


def test_defaults_and_a_secret_are_enough():
    loaded = loader.load_text(GOOD, 'x.ini')
    assert loaded.ok.process.port == 8080


@pytest.mark.parametrize(
    ('text', 'code'),
    [
        ('[broken', 'E002'),
        ('[machine]\nname = x', 'E003'),
        ('[process]\ncolour = red', 'E004'),
        ('[process]\nport = many', 'E005'),
        ('[process]\nport = 70000', 'E005'),
        (GOOD + '[process]\naddress = localhost', 'E006'),
        (GOOD + '[platform]\nobject_api = store:7000', 'E007'),
        (GOOD + '[control]\nmargin_s = 9', 'E008'),
        (GOOD + '[membership2]', 'E003'),
        ('[membership]\nsecret = 0123456789abcdef\nlost_after_s = 0.5', 'E009'),
        ('', 'E010'),
        (GOOD + '[process]\nname = {{node}}', 'E011'),
        (GOOD + '[retries]\nslack = {{bounds.retrySlack|json}}', 'E011'),
    ],
)
def test_a_problem_is_reported_by_its_code(text, code):
    assert code in codes(text)


def test_a_missing_file_is_reported_as_a_problem():
    assert loader.load_file('/nowhere/x.ini').error[0].code == 'E001'


def test_all_problems_are_reported_with_their_places():
    text = '[process]\nport = x\ncolour = red\n[machine]\n'
    problems = loader.load_text(text, 'x.ini').error
    places = {problem.where for problem in problems}
    assert {'x.ini [process] port', 'x.ini [process] colour'} <= places
    assert all(problem.hint for problem in problems)


def test_a_problem_does_not_show_the_secret():
    text = '[membership]\nsecret = hush\n'
    problems = loader.load_text(text, 'x.ini').error
    assert 'hush' not in ' '.join(map(str, problems))


def load_usable(tmp_path, text):
    path = tmp_path / 'x.ini'
    path.write_text(text, encoding='utf-8')
    problems = []
    return loader.load_usable_file(str(path), problems.append), problems


@pytest.mark.parametrize('key', ['name', 'region', 'zone', 'address'])
def test_an_identity_that_is_not_filled_in_is_refused(tmp_path, key):
    """Guards against hosts that all run under the name of a placeholder."""
    loaded, _ = load_usable(tmp_path, f'{GOOD}[process]\n{key} = {{{{a.b}}}}')
    assert 'E011' in [problem.code for problem in loaded.error]


def test_a_token_that_is_not_filled_in_gives_no_access(tmp_path):
    """Guards against a placeholder that operators' requests could name."""
    loaded, problems = load_usable(
        tmp_path, GOOD + '[process]\noperator_token = {{tokens.operator}}'
    )
    assert not loaded.ok.process.operator_token
    assert [problem.code for problem in problems] == ['E011']


def test_a_secret_that_is_not_filled_in_is_refused(tmp_path):
    loaded, _ = load_usable(
        tmp_path, '[membership]\nsecret = {{peers.secret_of_all}}'
    )
    assert 'E010' in [problem.code for problem in loaded.error]


@pytest.mark.parametrize('text', ['', 'null'])
def test_a_key_without_a_value_keeps_its_default(tmp_path, text):
    loaded, problems = load_usable(
        tmp_path,
        f'{GOOD}seeds = {text}\n[retries]\nslack = {text}\n'
        f'[pacing]\nfollows_answers = {text}\n',
    )
    assert loaded.ok.retries.slack == 50
    assert loaded.ok.pacing.follows_answers is False
    assert loaded.ok.membership.seeds == ''
    assert not problems


@given(st.text(max_size=200))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_no_text_raises(text):
    loaded = loader.load_text(text, 'x.ini')
    assert loaded.is_ok() or loaded.error
