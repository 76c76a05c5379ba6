"""Workers that the platform starts for a rollout are no surplus.

The platform starts on-demand workers of the new version beside those that run,
and counts them in the orders for their data centre.
"""

import pytest

from tests.support import platform_system

ZONES = ('z1', 'z2')
SCALED = platform_system.make_scaled_upstream(
    {'z1': 1.0, 'z2': 0.8}, minimum=0, maximum=6
)


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.configuration['services'][1] = SCALED
    system.build(workers=0)
    for number in range(4):
        system.add_worker(f'old-{number}', 'llm', ZONES[number % 2], spot=True)
    system.world.run(8)
    serve(system, 20)
    return system


def serve(system, seconds):
    for _ in range(int(seconds * 10)):
        system.send(
            '/stream/x',
            method='POST',
            deadline_ms=2000,
            Model='m',
            Token_Usage='2000,40',
            Prefix_Hash='a:500,b:1400,c:100',
        )
        system.world.run(0.1)


def roll_out(system, seconds):
    system.store.put(
        'rollouts',
        'llm',
        {'service': 'llm', 'target': 'v2', 'durationS': 20},
        status={},
    )
    for number in range(4):
        system.add_worker(
            f'new-{number}', 'llm', ZONES[number % 2], version='v2'
        )
    serve(system, seconds)


def get_state(system):
    return system.store.objects[('rollouts', 'llm')]['status']['state']


def test_workers_of_a_new_version_are_not_ordered_away(deployed):
    count = len(deployed.cloud.orders)
    roll_out(deployed, 17)

    orders = [order for _, order in deployed.cloud.orders[count:]]
    on_demand = [order for order in orders if not order.get('spot')]
    assert not [order for order in on_demand if order['desired'] < 2]
    assert get_state(deployed) == 'in_progress'


def test_workers_of_a_completed_version_are_the_fleet(deployed):
    roll_out(deployed, 19.5)
    assert get_state(deployed) == 'complete'
    for number in range(4):
        deployed.store.remove('servers', f'old-{number}')
    count = len(deployed.cloud.orders)
    serve(deployed, 10)

    last = {}
    for _, order in deployed.cloud.orders[count:]:
        last[order['zone'], order.get('spot', False)] = order['desired']
    assert {last.get((zone, True)) for zone in ZONES} != {None}
    assert sum(last.get((zone, False), 2) for zone in ZONES) > 0
