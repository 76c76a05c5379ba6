"""Entries hear of evacuations though their peers run a build without them."""

import pytest

from citronjunction.evacuations import state
from tests.support import mixed_system

OLD = 'dd10670'  # the last build that doesn't read the kind
ENTRIES = 12
ASK_S = 4.0  # two intervals between lists of the store
BOUND_S = 5.0


class Fleet(mixed_system.MixedSystem):
    """A fleet in which one entry of the present build follows old ones."""

    def configure_settings(self, settings):
        super().configure_settings(settings)
        settings.membership.serving = 4
        if hasattr(settings, 'evacuations'):
            settings.evacuations.is_followed = True


def build_fleet(seed=0):
    """Return a fleet and the name of its only entry of the present build."""
    names = {f'gateway-{number}' for number in range(ENTRIES)}
    for name in sorted(names):
        fleet = Fleet(OLD, names - {name}, seed).build(gateways=ENTRIES)
        fleet.world.run(8)
        if fleet.gateways[name].peers.roles.stands_by:
            return fleet, name
    raise AssertionError('all entries serve')


@pytest.fixture(scope='module')
def mixed():
    return build_fleet()


def test_a_standby_of_old_peers_lists_the_store_itself(mixed):
    fleet, name = mixed
    evacuations = fleet.gateways[name].services.fleet.evacuations
    fleet.store.put('evacuations', 'z1', {})
    fleet.world.run(ASK_S)
    assert evacuations.closes('z1')
    fleet.store.remove('evacuations', 'z1')
    fleet.world.run(ASK_S)

    assert not evacuations.closes('z1')
    assert all(gateway.is_ready() for gateway in fleet.gateways.values())


def test_an_entry_that_can_ask_nobody_serves_after_the_bound(mixed):
    fleet, name = mixed
    fleet.store.is_down = True
    fleet.world.run(2)
    started = fleet.replace(name, is_old=False)
    fleet.world.run(BOUND_S - 1)
    assert not started.is_ready()
    assert fleet.ask('/safe/x', gateway=name, run_s=0.2).status == 503
    fleet.world.run(3)

    assert started.is_ready()
    assert fleet.ask('/safe/x', gateway=name, run_s=0.2).status == 200
    fleet.store.is_down = False
    fleet.store.put('evacuations', 'z1', {})
    fleet.world.run(ASK_S)
    assert started.services.fleet.evacuations.closes('z1')


def test_the_assumption_is_made_once():
    evacuations = state.Evacuations(is_known=False)
    calls = [evacuations.assume_none(at, BOUND_S) for at in range(10)]

    assert calls.count(True) == 1
