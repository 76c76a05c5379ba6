"""The platform fills in deploy/node.ini; any figure must let a gateway start."""

import configparser
import math
import pathlib
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronjunction.conf import loader, models

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'node.ini'
SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
ZONES = ('casa-voyageurs', 'rabat-agdal')
PLACEHOLDER = re.compile(r'\{\{([\w.]+)(?:\|json)?\}\}')
PLAIN = re.compile(r'\{\{([\w.]+)\}\}')
TEXTS = {
    'node': 'edge-1',
    'region': 'maroc-nord',
    'zone': 'casa-voyageurs',
    'ip': '10.1.0.14',
    'seeds': '10.1.0.14:8229,10.2.0.4:8229',
    'listen.front': '10.1.0.14:8221',
    'listen.readiness': '10.1.0.14:8224',
    'listen.directory': '10.1.0.14:8220',
    'listen.control': '10.1.0.14:8229',
    'platform.addr': '10.200.1.7:8225',
    'cloud.addr': '10.200.0.35:8225',
}
FIGURES = {
    'limits.cpuShare': ('process', 'cores'),
    'limits.memoryMb': ('process', 'memory_mb'),
    'limits.maxFds': ('process', 'descriptors'),
    'bounds.graceS': ('gateway', 'grace_s'),
    'bounds.retryRatio': ('retries', 'ratio'),
    'bounds.retryWindowS': ('retries', 'window_s'),
    'bounds.retrySlack': ('retries', 'slack'),
    'bounds.quotaWindowS': ('quotas', 'window_s'),
    'bounds.coldOverrun': ('pacing', 'cold_overrun'),
    'bounds.coldSlack': ('pacing', 'cold_slack'),
    'bounds.windowS': ('duties', 'usage_window_s'),
    'bounds.usageLateS': ('duties', 'usage_late_s'),
    'bounds.evacMs': ('evacuations', 'bound_ms'),
}
# Figures that not every platform has.
OPTIONAL = {
    'limits.memoryMb',
    'limits.maxFds',
    'bounds.coldOverrun',
    'bounds.coldSlack',
    'bounds.evacMs',
}
NO_VALUE = ('', 'null')
ODD_FIGURES = ('', '0', '-1', '1e400', 'nan', 'inf', 'null', 'true', '1,5')


def render_sections(text, figures):
    """Render the sections of fields that are present, each entry once."""

    def render(found):
        name, inner = found.groups()
        if name != 'zones':
            # As on the platform, a field without a value has no section.
            return render_sections(inner, figures) if figures.get(name) else ''
        return ''.join(
            inner.replace('{{@}}', zone).replace(
                '{{,}}', ',' * (zone != ZONES[-1])
            )
            for zone in ZONES
        )

    return SECTION.sub(render, text)


def fill_in(figures):
    values = {**TEXTS, **figures}
    text = render_sections(TEMPLATE.read_text(encoding='utf-8'), figures)
    # As on the platform, the JSON of a field without a value is null.
    return PLACEHOLDER.sub(lambda found: values.get(found[1], 'null'), text)


def load(tmp_path_factory, figures):
    path = tmp_path_factory.mktemp('settings') / 'node.ini'
    path.write_text(fill_in(figures), encoding='utf-8')
    problems = []
    loaded = loader.load_usable_file(str(path), problems.append)
    return loaded, problems


def get_default(key):
    section, name = key
    return getattr(getattr(models.Settings(), section), name)


def test_every_placeholder_is_a_text_or_a_figure():
    names = set(PLACEHOLDER.findall(TEMPLATE.read_text(encoding='utf-8')))
    assert names == {*TEXTS, *FIGURES}


def test_evacuations_are_followed_only_where_the_platform_bounds_them(
    tmp_path_factory,
):
    figures = dict.fromkeys(FIGURES, '1')
    known, _ = load(tmp_path_factory, figures)
    figures.pop('bounds.evacMs')
    unknown, _ = load(tmp_path_factory, figures)

    assert known.ok.evacuations.is_followed
    assert known.ok.evacuations.zone_names == set(ZONES)
    assert not unknown.ok.evacuations.is_followed


@pytest.mark.parametrize('form', ['430.25', '0.5', '7', '4.3e2', '2.50E+01'])
@pytest.mark.parametrize('figure', FIGURES)
def test_a_positive_figure_is_used_in_any_form(tmp_path_factory, figure, form):
    figures = {**dict.fromkeys(FIGURES, '1'), figure: form}
    loaded, problems = load(tmp_path_factory, figures)

    section, name = FIGURES[figure]
    assert getattr(getattr(loaded.ok, section), name) == float(form)
    assert not problems


@given(
    st.fixed_dictionaries(
        {
            name: st.one_of(
                st.sampled_from(ODD_FIGURES),
                st.floats(allow_nan=True).map(str),
                st.integers(-(10**12), 10**12).map(str),
            )
            for name in FIGURES
        },
    ),
)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_an_unusable_figure_costs_only_its_own_key(tmp_path_factory, figures):
    loaded, problems = load(tmp_path_factory, figures)

    assert loaded.is_ok()
    replaced = {problem.where.partition(' ')[2] for problem in problems}
    for figure, (section, name) in FIGURES.items():
        used = getattr(getattr(loaded.ok, section), name)
        assert math.isfinite(used) and used >= 0
        is_replaced = f'[{section}] {name}' in replaced
        if figures[figure] in NO_VALUE:
            assert used == get_default((section, name))
            assert not is_replaced
        elif is_replaced:
            assert used == get_default((section, name))
        else:
            assert used == float(figures[figure])


def test_every_line_is_valid_whatever_is_filled_in():
    # A line that holds nothing but the mark of a section is no setting, and
    # the file of a platform that leaves it in place could not be read.
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(TEMPLATE.read_text(encoding='utf-8'))
    assert parser['pacing']['cold_overrun']


def test_a_gateway_starts_though_optional_figures_are_not_filled_in(tmp_path):
    """Guards against gateways that never start on a platform without them."""
    values = {**TEXTS, **dict.fromkeys(set(FIGURES) - OPTIONAL, '1')}
    path = tmp_path / 'node.ini'
    path.write_text(
        PLAIN.sub(
            lambda found: values[found[1]],
            TEMPLATE.read_text(encoding='utf-8'),
        ),
        encoding='utf-8',
    )
    problems = []
    loaded = loader.load_usable_file(str(path), problems.append)

    for figure in OPTIONAL:
        section, name = key = FIGURES[figure]
        assert getattr(getattr(loaded.ok, section), name) == get_default(key)
    assert not loaded.ok.evacuations.is_followed
    assert not loaded.ok.evacuations.zone_names
    keys = {FIGURES[figure] for figure in OPTIONAL}
    keys |= {('evacuations', 'is_followed'), ('evacuations', 'zones')}
    places = {problem.where.partition(' ')[2] for problem in problems}
    assert places == {f'[{section}] {name}' for section, name in keys}
    assert {problem.code for problem in problems} == {'E011'}


def test_figures_that_a_platform_does_not_have_are_not_reported(
    tmp_path_factory,
):
    figures = {
        **dict.fromkeys(FIGURES, '1'),
        **dict.fromkeys(OPTIONAL, 'null'),
        'bounds.evacMs': '',
    }
    loaded, problems = load(tmp_path_factory, figures)

    assert loaded.is_ok()
    assert not problems
