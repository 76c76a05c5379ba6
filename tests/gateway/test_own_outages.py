"""An entry that alone lost the store treats removed workers as ever.

After an outage of the whole store it waits for registrations that lapsed.
"""

import pytest

from tests.support import platform_system

DRAIN_S = 2.0  # time within which a worker that left must be out of use
STABLE_S = 3.0  # time after which an entry counts as in touch again
OUTAGE_S = 5.0
RETURN_S = 1.9  # after the outage, by which lapsed registrations return


# Guards against DRAIN: the grace period of an outage of the store applied,
# in which registrations lapse and return.
@pytest.mark.parametrize(
    'seed, delay_s', [(0, 0.8), (4, 0.3), (4, 0.8), (16, 0.8), (26, 0.3)]
)
def test_a_worker_that_leaves_after_the_outage_is_soon_out_of_use(
    seed, delay_s
):
    system = platform_system.LinkedSystem(seed).build(workers=3, gateways=7)
    system.world.run(3 + system.world.random.random())
    system.world.partition(['gateway-0'], ['platform'])
    system.world.run(OUTAGE_S + system.world.random.random())
    system.world.heal()
    system.world.run(delay_s)
    system.store.remove('servers', 'app-1')
    system.world.run(max(DRAIN_S, STABLE_S - delay_s))

    workers = system.gateways['gateway-0'].services.fleet.workers
    assert 'app-1' not in workers


def begin_outage(system, *, is_silent):
    if is_silent:
        system.store.is_down = True
    else:
        system.world.partition(system.gateways, ['platform'])


def end_outage(system):
    system.store.is_down = False
    system.world.heal()


# Guards against entries that take an outage of the store for one of their own.
@pytest.mark.parametrize('is_silent', [True, False])
@pytest.mark.parametrize('seed', [0, 1, 2])
def test_a_worker_that_lapsed_in_an_outage_of_all_stays_in_use(seed, is_silent):
    system = platform_system.LinkedSystem(seed).build(workers=3, gateways=7)
    system.world.run(3 + system.world.random.random())
    begin_outage(system, is_silent=is_silent)
    system.world.run(OUTAGE_S + 3 * system.world.random.random())
    spec = system.store.objects[('servers', 'app-1')]['spec']
    end_outage(system)
    system.store.remove('servers', 'app-1')
    system.world.run(RETURN_S)
    system.store.put('servers', 'app-1', spec)
    system.world.run(STABLE_S)

    for gateway in system.gateways.values():
        assert 'app-1' in gateway.services.fleet.workers
        assert not gateway.services.fleet.departures
