"""The platform fills in deploy/node.ini; any figure must let a gateway start."""

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
# Figures whose presence decides on a section of the settings.
SECTIONS = {'pacing': 'bounds.coldOverrun', 'evacuations': 'bounds.evacMs'}
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
    return PLACEHOLDER.sub(lambda found: values[found[1]], text)


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
    replaced = [problem.where for problem in problems]
    for figure, (section, name) in FIGURES.items():
        used = getattr(getattr(loaded.ok, section), name)
        assert math.isfinite(used) and used >= 0
        switch = SECTIONS.get(section, figure)
        is_left_out = section in SECTIONS and not figures[switch]
        if is_left_out or any(
            place.endswith(f'[{section}] {name}') for place in replaced
        ):
            assert used == get_default((section, name))
        else:
            assert used == float(figures[figure])
