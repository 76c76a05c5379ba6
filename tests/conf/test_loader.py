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


@given(st.text(max_size=200))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_no_text_raises(text):
    loaded = loader.load_text(text, 'x.ini')
    assert loaded.is_ok() or loaded.error
