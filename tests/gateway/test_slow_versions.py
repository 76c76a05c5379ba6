"""Pattern: a new version is several times slower, or fails on one route.

Each entry sees few requests, and of each route even fewer: the evidence of one
route at one entry comes too late.
"""

import itertools

import pytest

from citronjunction.releases import evidence
from tests.support import platform_system

DURATION_S = 15
GATEWAYS = 7
ROUTES = ('a', 'b', 'c')
SIZES = (100, 2000, 6000)  # tokens of the own part of prompts
REQUESTS_PER_S = 40
FAST_S = 0.02  # between events
SHARE, SLACK = 0.1, 50  # of the requests that a bad version may get


def build():
    system = platform_system.PlatformSystem()
    system.configuration['routes'] = [
        platform_system.make_route(
            f'stream-{name}',
            f'/stream/{name}/',
            'stream',
            'llm',
            timeoutMs=15000,
            sticky=True,
        )
        for name in ROUTES
    ]
    system.build(workers=3, gateways=GATEWAYS)
    for name in ('llm-0', 'llm-1', 'llm-2'):
        set_pace(system, name, FAST_S)
    return system


def set_pace(system, name, interval_s):
    behaviour = system.workers[name].behaviour
    behaviour.event_interval_s = interval_s
    behaviour.event_count = 40


def fail_route(system, name, route):
    """Make half of a worker's answers on a route failures."""
    worker = system.workers[name]
    finish = worker._finish

    def finish_or_fail(exchange):
        is_on_route = exchange.request.path.startswith(f'/stream/{route}/')
        if is_on_route and len(worker.runs) % 2:
            worker.behaviour.failures_left = 1
        finish(exchange)

    worker._finish = finish_or_fail


def serve(system, seconds):
    for number in range(int(seconds * REQUESTS_PER_S)):
        route = next(system.route_names)
        size = SIZES[number // len(ROUTES) % len(SIZES)]
        system.send(
            f'/stream/{route}/{number}',
            gateway=f'gateway-{number % GATEWAYS}',
            method='POST',
            deadline_ms=15000,
            Model='m',
            Token_Usage=f'{size + 200},40',
            Prefix_Hash=f'common:200,own:{size}',
        )
        system.world.run(1 / REQUESTS_PER_S)


def roll_out(interval_s=FAST_S, failing_route=None):
    """Play a rollout; return the system and its counts before."""
    system = build()
    system.route_names = itertools.cycle(ROUTES)
    serve(system, 4)
    for name in ('new-0', 'new-1', 'new-2'):
        system.add_worker(name, 'llm', version='v2')
        set_pace(system, name, interval_s)
        fail_route(system, name, failing_route)
    counts = count(system)
    system.store.put(
        'rollouts',
        'llm',
        {'service': 'llm', 'target': 'v2', 'durationS': DURATION_S},
        status={},
    )
    serve(system, DURATION_S - 0.5)
    return system, counts


def judge(system, counts):
    """Return the state after the rollout and the requests of both versions."""
    state = system.store.objects[('rollouts', 'llm')]['status']['state']
    new, total = count(system)
    return state, new, total - counts[1]


def count(system):
    runs = {name: len(worker.runs) for name, worker in system.workers.items()}
    new = sum(runs[name] for name in runs if name.startswith('new'))
    return new, sum(runs.values())


@pytest.mark.parametrize('factor', [3, 6])
def test_a_version_with_slower_streams_is_reverted(factor):
    state, new, total = judge(*roll_out(FAST_S * factor))

    assert state == 'reverted'
    assert new <= SHARE * total + SLACK


def test_a_version_with_equal_streams_completes():
    state, _, _ = judge(*roll_out())

    assert state == 'complete'


def test_a_version_that_fails_on_one_route_is_reverted():
    state, new, total = judge(*roll_out(failing_route='a'))

    assert state == 'reverted'
    assert new <= SHARE * total + SLACK


def test_failures_on_a_route_count_together_for_prompts_of_all_sizes():
    system, _ = roll_out()
    routes = {
        row.route
        for gateway in system.gateways.values()
        for row in gateway.services.rollouts.get_rows('llm')
        if row.metric == 'failure'
    }

    assert routes == {'stream-a', 'stream-b', 'stream-c', evidence.ALL_ROUTES}
