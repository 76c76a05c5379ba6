"""Fleets of old and new entries, the old ones with their own build's code."""

import pytest

from citronjunction.membership import facts
from tests.golden import old_reader
from tests.support import mixed_system

ENTRIES = 7
START = 'app-0/1000'


def name_entries(numbers):
    return [f'gateway-{number}' for number in numbers]


class SparseSystem(mixed_system.MixedSystem):
    """Hold few links; some entries stand by if ``serving`` is small."""

    serving = 12

    def configure_settings(self, settings):
        """Set the number of peer links and of serving entries."""
        settings.membership.links = 2
        settings.membership.serving = self.serving


def publish_constraint(deployed, name):
    now = deployed.gateway_hosts[name].timers.wall_time()
    gateway = deployed.gateways[name]
    gateway.peers.publish(
        facts.WorkerConstraint(START, 'requests', 5.0, now),
    )
    gateway.peers.publish(
        facts.LimitedSends(name, gateway.incarnation, 1, {START: 3}, now),
    )


def has_constraint(deployed, name):
    known = deployed.gateways[name].peers.table.facts_by_key
    return f'worker_constraint/{START}/requests' in known


# Guards against a fleet that falls into groups in the middle of an upgrade.
@pytest.mark.parametrize('build', old_reader.BUILDS)
@pytest.mark.parametrize('old_count', range(1, ENTRIES))
def test_old_and_new_entries_stay_linked_at_every_split(build, old_count):
    deployed = mixed_system.MixedSystem(
        build, name_entries(range(old_count))
    ).build(gateways=ENTRIES)
    publish_constraint(deployed, 'gateway-6')
    for _ in range(10):
        deployed.world.run(1)
        assert deployed.are_all_linked()
    rejected = [node.peers.rejected for node in deployed.gateways.values()]

    assert not any(rejected)
    for number in range(old_count, ENTRIES):
        assert has_constraint(deployed, f'gateway-{number}')


@pytest.mark.parametrize('build', old_reader.BUILDS)
def test_entries_are_linked_soon_after_each_step_of_an_upgrade(build):
    names = name_entries(range(4))
    deployed = mixed_system.MixedSystem(build, names).build(gateways=4)
    for is_old in (False, True):
        for name in names:
            deployed.replace(name, is_old=is_old)
            deployed.world.run(3)
            assert deployed.are_all_linked()
    assert not any(node.peers.rejected for node in deployed.gateways.values())


@pytest.mark.parametrize('serving', [12, 4])
@pytest.mark.parametrize('new', [(0, 1, 2), (0, 4, 8), (3, 7, 11), (9, 10)])
def test_facts_that_old_entries_cannot_relay_reach_all_new_ones(serving, new):
    entries = range(12)
    deployed = SparseSystem(
        '257d141',
        name_entries(number for number in entries if number not in new),
    )
    deployed.serving = serving
    deployed.build(gateways=len(entries))
    deployed.world.run(6)
    publish_constraint(deployed, f'gateway-{new[0]}')
    deployed.world.run(6)

    for name in name_entries(new):
        assert has_constraint(deployed, name), name
        table = deployed.gateways[name].peers.table
        assert f'limited_sends/gateway-{new[0]}' in table.facts_by_key
    assert not any(node.peers.rejected for node in deployed.gateways.values())


def test_a_fleet_of_one_build_holds_no_further_links():
    deployed = SparseSystem('257d141').build(gateways=12)
    deployed.world.run(6)

    links = [len(deployed.list_links(name)) for name in deployed.gateways]
    assert sum(links) <= 2 * 2 * 12
