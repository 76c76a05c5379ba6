"""Groups of entries that were cut off from each other find each other again."""

import pytest

from tests.support import platform_system


def list_live(gateway):
    now = gateway.loop.timers.now()
    return {state.name for state in gateway.peers.liveness.select_live(now)}


# Guards against a fleet that stays split: quotas and limits of workers are then
# divided among entries that all serve.
@pytest.mark.parametrize('size', [1, 2])
def test_a_group_that_was_cut_off_is_linked_again_soon(size):
    deployed = platform_system.LinkedSystem().build(gateways=5)
    names = list(deployed.gateways)
    deployed.world.partition(names[:size], names[size:])
    deployed.world.run(8)
    assert any(
        list_live(gateway) != set(names)
        for gateway in deployed.gateways.values()
    )
    deployed.world.heal()
    deployed.world.run(8)

    for gateway in deployed.gateways.values():
        assert list_live(gateway) == set(names)
