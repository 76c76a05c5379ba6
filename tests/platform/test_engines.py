"""The figures of model engines, as the platform states them."""

import json

import pytest

from citronjunction.platform import configuration, kv_cache_moves
from tests.support import scripted, virtual

ADDRESS = '10.0.0.1:80'


def compute(**fields):
    """Return the seconds to copy a token's KV cache."""
    wire = configuration.WireEngine.model_validate(fields)
    return configuration.compute_token_copy_s(wire)


def test_a_copy_takes_as_long_as_its_bytes_on_the_link():
    token_copy_s = compute(kvTokenBytes=163840, linkMbps=370000.0)
    assert 12000 * token_copy_s == pytest.approx(0.0425, abs=0.0001)


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'kvTokenBytes': 1, 'linkMbps': 0},
        {'kvTokenBytes': -1, 'linkMbps': 1},
        {'kvTokenBytes': 'many', 'linkMbps': 1},
        {'kvTokenBytes': 1, 'linkMbps': float('nan')},
        {'kvTokenBytes': 1, 'linkMbps': None},
        {'kvTokenBytes': 10**400, 'linkMbps': 1},
    ],
)
def test_a_copy_of_unknown_length_takes_no_time(fields):
    assert compute(**fields) == 0


def read_report(document):
    world = virtual.World()
    wire = scripted.respond(200, json.dumps(document).encode())
    scripted.ScriptedServer(
        world.add_host('server'),
        ADDRESS,
        lambda connection, _: connection.send(wire),
    )
    results = []
    mover = kv_cache_moves.KvCacheMover(world.add_host('caller').client)
    mover.read_time_left(ADDRESS, results.append)
    world.run(5)
    return results[0]


def test_a_report_lists_the_runs_of_a_worker():
    runs = [['a', 12000, 17, 1], ['b', 800, 3, 5]]
    time_left = read_report({'leaves_ms': 1500, 'runs': runs})

    assert time_left.left_s == 1.5
    assert [run.request for run in time_left.runs] == ['a', 'b']
    assert [run.tokens for run in time_left.runs] == [12000, 800]


@pytest.mark.parametrize('runs', [None, 3, 'a', [3, ['a'], ['a', 'b', 'c']]])
def test_runs_that_cannot_be_read_are_left_out(runs):
    time_left = read_report({'leaves_ms': 1500, 'runs': runs})

    assert time_left.left_s == 1.5
    assert not time_left.runs


def test_absurd_figures_of_runs_are_bounded():
    runs = [['a', 10**400, 1, 1], ['b', -5, 1, 1]]
    time_left = read_report({'leaves_ms': 1500, 'runs': runs})

    assert [run.tokens for run in time_left.runs] == [1 << 30, 0]
