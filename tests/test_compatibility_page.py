"""The page on compatibility names what the code and the tests have."""

import pathlib
import re

import pytest

from citronjunction.membership import dialects
from tests.golden import old_reader

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'topics' / 'compatibility.md').read_text()
TESTS = re.findall(r'`(tests/[\w/]+\.py)::(\w+)`', PAGE)


def test_the_table_of_bounds_is_there():
    assert len(TESTS) >= 10


@pytest.mark.parametrize(('path', 'name'), TESTS)
def test_each_bound_has_its_test(path, name):
    assert f'def {name}(' in (ROOT / path).read_text()


def test_the_page_names_the_oldest_build_and_all_recorded_ones():
    oldest = re.search(r'oldest build that is read is `(\w+)`', PAGE).group(1)
    assert oldest in old_reader.BUILDS
    assert dialects.OLDEST.field_counts == {
        kind: len(fields)
        for kind, fields in old_reader.load(oldest)['schema'].items()
    }
    assert all(build in PAGE for build in old_reader.BUILDS)
