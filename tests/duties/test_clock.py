"""The clocks of entries stay right although states of peers arrive late."""

import pytest

from citronjunction.duties import clock
from tests.support import platform_system, virtual

TRUE_OFFSET_S = virtual.WALL_TIME_OFFSET_S
PEERS = ('one', 'two', 'three')


class Clocks:
    def __init__(self, jump=0.0):
        self.at = 50.0
        self.jump = jump

    def boot_time(self):
        return self.at

    def wall_time(self):
        return TRUE_OFFSET_S + self.at + self.jump


def hear(steady, clocks, age_s):
    for name in PEERS:
        steady.compare_with_peer(name, TRUE_OFFSET_S + clocks.at - age_s)
    clocks.at += 0.5


@pytest.mark.parametrize('seed', range(4))
def test_entries_that_start_together_keep_the_right_time(seed):
    system = platform_system.PlatformSystem(seed)
    system.store.put('config', 'main', system.configuration)
    for number in range(7):
        system.add_gateway(f'gateway-{number}')
    system.world.run(6)

    for gateway in system.gateways.values():
        assert gateway.clock.offset_s == pytest.approx(TRUE_OFFSET_S, abs=0.1)


def test_old_states_of_peers_do_not_turn_a_clock_back():
    clocks = Clocks()
    steady = clock.SteadyClock(clocks)
    for age_s in (1.1, 0.2, 0.9, 0.01, 1.3, 0.7):
        hear(steady, clocks, age_s)

        assert steady.offset_s == pytest.approx(TRUE_OFFSET_S, abs=0.01)


@pytest.mark.parametrize('jump', [-2.0, 2.0])
def test_a_clock_that_is_off_is_corrected_by_some_states_of_peers(jump):
    clocks = Clocks(jump)
    steady = clock.SteadyClock(clocks)
    for age_s in (1.1, 0.2, 0.01, 0.2):
        hear(steady, clocks, age_s)

    assert abs(steady.offset_s - TRUE_OFFSET_S) <= clock.MAX_SKEW_S
