"""Load reports cost each entry about the same at any fleet size."""

import pytest

from citronjunction.gateway import sharing
from citronjunction.membership import facts
from tests.support import platform_system


@pytest.fixture(scope='module')
def deployed():
    return platform_system.PlatformSystem().build(gateways=3)


@pytest.mark.parametrize(('entries', 'factor'), [(1, 1), (8, 1), (64, 8)])
def test_the_interval_grows_with_the_entries_that_have_requests(
    deployed, entries, factor
):
    reports = deployed.gateways['gateway-0'].sharing
    known = reports.loads
    reports.loads = {
        str(number): facts.LoadState(str(number), 1, 1, {'llm-0': (1, 0, 0, 0)})
        for number in range(entries - 1)
    }

    interval_s = reports.get_interval_s()
    reports.loads = known

    assert interval_s == pytest.approx(sharing.REPORT_INTERVAL_S * factor)


def test_all_entries_know_each_other_s_running_requests(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    deployed.send('/unsafe/x', gateway='gateway-1', method='POST')
    deployed.world.run(0.8)

    for gateway in deployed.gateways.values():
        workers = gateway.services.fleet.workers.values()
        assert sum(worker.total_running for worker in workers) == 1


def test_small_fleets_are_linked_directly_and_forward_nothing(deployed):
    deployed.world.run(5)

    for gateway in deployed.gateways.values():
        assert len(gateway.peers.open_links) == 2
        assert len(gateway.peers.outbound) <= 2
    links = [
        (name, id(link))
        for gateway in deployed.gateways.values()
        for name, link in gateway.peers.open_links.items()
    ]
    deployed.world.run(6)
    again = [
        (name, id(link))
        for gateway in deployed.gateways.values()
        for name, link in gateway.peers.open_links.items()
    ]
    assert links == again


def test_an_old_report_no_longer_counts_as_load():
    deployed = platform_system.PlatformSystem().build(gateways=2)
    for worker in deployed.workers.values():
        worker.behaviour.is_silent = True
    deployed.send('/unsafe/x', gateway='gateway-1', method='POST')
    deployed.world.run(0.8)
    workers = deployed.gateways['gateway-0'].services.fleet.workers.values()
    assert sum(worker.total_running for worker in workers) == 1

    deployed.gateway_hosts['gateway-1'].pause(5)
    deployed.world.run(1.6)

    assert sum(worker.total_running for worker in workers) == 0
