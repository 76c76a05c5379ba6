"""citronctl check: problems of a configuration, and what it changes."""

import copy
import json

import pytest
from typer import testing

from citronjunction.commands import citronctl

SOUND = {
    'version': 7,
    'routes': [
        {
            'name': 'notes',
            'host': 'notes.example',
            'pathPrefix': '/notes/',
            'type': 'stream',
            'timeoutMs': 12000,
            'targetLatencyMs': 500,
            'gapAimMs': 400,
            'service': 'model',
            'attempts': 2,
            'resumable': True,
        }
    ],
    'services': [
        {
            'name': 'model',
            'maxConns': 64,
            'engine': {'slots': 16},
            'scaling': {'min': 1, 'max': 4, 'zonePrices': {'north': 1}},
        }
    ],
    'tenants': [
        {
            'name': 'guild',
            'apiKeys': ['a-secret-key'],
            'unit': 'tokens',
            'plainTokens': 200,
            'ratePerS': 5000,
        }
    ],
}
ROUTE, SERVICE, TENANT = (
    SOUND[part][0] for part in ('routes', 'services', 'tenants')
)
# What is replaced in one part, or added to it, and the codes of the findings.
CASES = [
    ('routes', {'pathPrefix': '/notes'}, ['E111']),
    ('routes', {'service': 'gone'}, ['E113', 'W111']),
    (
        'routes',
        {'split': [{'service': 'model', 'weight': 0}]},
        ['E115', 'W111'],
    ),
    (
        'routes',
        {'split': [{'service': 'model', 'weight': -1}]},
        ['E114', 'E115', 'W111'],
    ),
    ('routes', {'timeoutMs': 0}, ['E121', 'W122']),
    ('routes', {'timeoutMs': 450}, ['W121']),
    ('routes', {'gapAimMs': 12000}, ['W122']),
    ('routes', {'type': 'safe'}, ['W123']),
    ('routes', {'attempts': 5}, ['W124']),
    ('routes', {'timeoutMs': 'soon'}, ['E103']),
    (
        'services',
        {'scaling': {'min': 3, 'max': 2, 'zonePrices': {'a': 1}}},
        ['E122'],
    ),
    ('services', {'scaling': {'max': 2}}, ['W124', 'W125']),
    ('services', {'maxConns': 8}, ['W126']),
    ('services', {'coldPerS': -1}, ['E103']),
    ('services', {'coldS': 'soon'}, ['E103']),
    ('tenants', {'apiKeys': []}, ['W112']),
    ('tenants', {'ratePerS': 100, 'burst': 50}, ['W127']),
    ('tenants', {'ratePerS': -1}, ['E103']),
]
DUPLICATES = [
    ('routes', {**ROUTE, 'name': 'again'}, ['E112']),
    ('services', SERVICE, ['E116']),
    ('tenants', {**TENANT, 'name': 'other'}, ['E117']),
    ('tenants', TENANT, ['E116']),
]


def change(**parts):
    return {**copy.deepcopy(SOUND), **parts}


def check(tmp_path, document, *options):
    file = tmp_path / 'new.json'
    file.write_text(
        document if isinstance(document, str) else json.dumps(document)
    )
    arguments = ['check', str(file), *options]
    return testing.CliRunner().invoke(citronctl.app, arguments)


def list_codes(result):
    report = json.loads(result.stdout)
    return [problem['code'] for problem in report['problems']]


def test_a_sound_configuration_has_no_problem(tmp_path):
    result = check(tmp_path, SOUND, '--strict')

    assert result.exit_code == 0
    assert 'no problem found' in result.stdout


def test_an_object_of_the_store_is_read_like_its_spec(tmp_path):
    assert check(tmp_path, {'spec': SOUND}, '--strict').exit_code == 0


@pytest.mark.parametrize(('part', 'fields', 'codes'), CASES)
def test_each_finding_has_its_code(tmp_path, part, fields, codes):
    document = change(**{part: [{**SOUND[part][0], **fields}]})

    result = check(tmp_path, document, '--json', '--strict')

    assert sorted(list_codes(result)) == codes
    assert result.exit_code == (2 if codes[0].startswith('E') else 1)


@pytest.mark.parametrize(('part', 'added', 'codes'), DUPLICATES)
def test_entries_of_one_name_are_errors(tmp_path, part, added, codes):
    document = change(**{part: [*SOUND[part], added]})

    assert list_codes(check(tmp_path, document, '--json')) == codes


def test_limits_of_callers_that_contradict_each_other(tmp_path):
    limits = {'headerTimeoutMs': 9000, 'idleTimeoutMs': 5000, 'maxBodyBytes': 0}

    result = check(tmp_path, change(limits=limits), '--json')

    assert list_codes(result) == ['W128', 'E123']


def test_warnings_end_with_0_unless_strict(tmp_path):
    document = change(tenants=[{**TENANT, 'apiKeys': []}])

    assert check(tmp_path, document).exit_code == 0
    assert check(tmp_path, document, '--strict').exit_code == 1


@pytest.mark.parametrize(
    ('text', 'code'), [('{', 'E102'), ('[]', 'E103'), ('[' * 99, 'E102')]
)
def test_what_is_no_configuration_is_an_error(tmp_path, text, code):
    result = check(tmp_path, text, '--json')

    assert list_codes(result) == [code]
    assert result.exit_code == 2


def test_a_file_that_is_missing_is_an_error(tmp_path):
    result = testing.CliRunner().invoke(
        citronctl.app, ['check', str(tmp_path / 'none.json'), '--json']
    )

    assert list_codes(result) == ['E101']


def compare(tmp_path, document):
    current = tmp_path / 'current.json'
    current.write_text(json.dumps(SOUND))
    return check(tmp_path, document, '--json', '--against', str(current))


def test_changes_are_listed_by_name_and_effect(tmp_path):
    document = change(
        version=8,
        routes=[{**ROUTE, 'pathPrefix': '/'}],
        services=[{**SERVICE, 'maxConns': 80}],
        tenants=[{**TENANT, 'apiKeys': ['b-secret-key']}],
    )

    result = compare(tmp_path, document)

    assert [
        tuple(item.values()) for item in json.loads(result.stdout)['changes']
    ] == [
        (
            'route notes (notes.example/notes/)',
            'removed: its requests match route notes (notes.example/)',
        ),
        (
            'route notes (notes.example/)',
            'added: requests go to model (1)',
        ),
        ('service model', 'max_connections: 64 -> 80'),
        (
            'organisation guild',
            'key a-se... is taken away: requests with it get 401 or count'
            ' for another organisation',
        ),
        ('organisation guild', 'key b-se... is added'),
    ]


def test_a_route_that_nothing_replaces_gets_404(tmp_path):
    result = compare(tmp_path, change(version=8, routes=[]))

    changes = json.loads(result.stdout)['changes']
    assert changes[0]['effect'] == 'removed: its requests get 404'


def test_a_version_that_is_not_above_the_one_in_force_is_an_error(tmp_path):
    result = compare(tmp_path, SOUND)

    assert list_codes(result) == ['E131']
    assert result.exit_code == 2


def test_keys_are_not_printed(tmp_path):
    document = change(version=8, tenants=[{**TENANT, 'name': 'other'}])

    assert 'secret-key' not in compare(tmp_path, document).output


def test_a_store_that_does_not_answer_is_named(tmp_path):
    result = check(tmp_path, SOUND, '--store', '127.0.0.1:1')

    assert result.exit_code == 4
    assert 'store unavailable' in result.stderr
