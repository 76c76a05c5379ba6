"""One entry at a time reports usage and orders workers."""

import pytest

from citronjunction.duties import clock, usage
from tests.support import platform_system, virtual

SCALED = {
    'name': 'llm',
    'healthPath': '/healthz',
    'maxConns': 100,
    'scaling': {
        'min': 1,
        'max': 3,
        'bootS': 4.0,
        'spotPrice': 0.2,
        'zonePrices': {'z1': 1.0, 'z2': 0.8},
    },
}


@pytest.fixture
def deployed():
    held = platform_system.PlatformSystem()
    held.configuration['services'][1] = SCALED
    return held.build(gateways=3)


def find_holder(deployed):
    now = deployed.world.now
    return [
        name
        for name, held in deployed.gateways.items()
        if deployed.gateway_hosts[name].is_alive
        and held.lease_client.lease.is_held(now)
    ]


def ask_for(deployed, seconds, gateways=('gateway-0', 'gateway-1')):
    for number in range(seconds * 2):
        gateway = gateways[number % len(gateways)]
        deployed.ask('/safe/x', gateway=gateway, run_s=0.5)


def check_reports(deployed):
    by_window = {}
    for window, reports in deployed.cloud.group_usage().items():
        by_window[window] = reports[0]
        assert all(counts == reports[0] for counts in reports)
    return by_window


def check_fences(deployed):
    seen = {}
    last = 0
    for (holder, epoch), _ in deployed.cloud.usage + deployed.cloud.orders:
        assert seen.setdefault(epoch, holder) == holder
    for (_, epoch), _ in deployed.cloud.usage:
        assert epoch >= last
        last = epoch


def test_usage_of_all_entries_is_reported_once(deployed):
    ask_for(deployed, 20)
    deployed.world.run(10)

    reports = check_reports(deployed)
    assert sum(counts['org'] for counts in reports.values()) == 40
    assert len(deployed.cloud.usage) == len(reports)
    assert len(find_holder(deployed)) == 1


def test_counts_of_an_entry_that_was_cut_off_are_waited_for(deployed):
    (holder,) = find_holder(deployed)
    cut = next(name for name in deployed.gateways if name != holder)
    ask_for(deployed, 6, gateways=(holder,))
    links = deployed.gateways[cut].peers.open_links.values()
    others = [
        held.peers for name, held in deployed.gateways.items() if name != cut
    ]
    for link in tuple(links):
        link.close('cut')
    hold_apart(deployed.gateways[cut].peers, others, is_apart=True)
    ask_for(deployed, 6, gateways=(cut,))
    hold_apart(deployed.gateways[cut].peers, others, is_apart=False)
    deployed.world.run(14)

    reports = check_reports(deployed)
    assert sum(counts['org'] for counts in reports.values()) == 24


def hold_apart(cut, others, is_apart):
    for node in (cut, *others):
        node.dial_targets = (lambda: []) if is_apart else node.choose_targets


def test_a_successor_goes_on_with_a_higher_fence(deployed):
    ask_for(deployed, 8, gateways=('gateway-0',))
    (first,) = find_holder(deployed)
    deployed.gateway_hosts[first].kill()
    deployed.world.run(1)
    rest = [name for name in deployed.gateways if name != first]
    ask_for(deployed, 20, gateways=rest)
    deployed.world.run(8)

    (second,) = find_holder(deployed)
    assert second != first
    check_fences(deployed)
    check_reports(deployed)
    holders = {holder for (holder, _), _ in deployed.cloud.usage}
    assert second in holders


def test_a_successor_does_not_wait_for_what_it_was_told(deployed):
    ask_for(deployed, 8, gateways=('gateway-0',))
    # Some time after a renewal, so that it was told.
    deployed.world.run(0.75)
    (first,) = find_holder(deployed)
    deployed.gateway_hosts[first].kill()
    lease_s = deployed.gateways[first].settings.duties.lease_s
    lost_s = deployed.gateways[first].settings.membership.lost_after_s
    deployed.world.run(max(lease_s, lost_s) + 1.0)

    (second,) = find_holder(deployed)
    assert second != first


def test_a_paused_holder_sends_nothing_after_its_lease(deployed):
    ask_for(deployed, 8)
    (first,) = find_holder(deployed)
    rest = [name for name in deployed.gateways if name != first]
    deployed.gateway_hosts[first].pause(9)
    ask_for(deployed, 8, gateways=rest)
    deployed.world.run(15)

    check_fences(deployed)
    check_reports(deployed)


def test_lost_answers_of_the_store_do_not_change_a_report(deployed):
    for _ in range(8):
        deployed.store.lost_answers = 2
        ask_for(deployed, 3)
    deployed.store.lost_answers = 0
    deployed.world.run(12)

    check_reports(deployed)
    check_fences(deployed)
    assert deployed.cloud.usage


def test_a_cloud_that_is_down_is_asked_again(deployed):
    deployed.cloud.is_down = True
    ask_for(deployed, 10)
    deployed.cloud.is_down = False
    deployed.world.run(8)

    assert check_reports(deployed)


def test_workers_are_ordered_for_each_data_centre(deployed):
    ask_for(deployed, 3)

    ordered = {
        (order['zone'], order.get('spot', False))
        for _, order in deployed.cloud.orders
    }
    assert ('z1', True) in ordered
    assert ('z2', True) in ordered


class Clocks:
    def __init__(self):
        self.at = 50.0
        self.jump = 0.0

    def boot_time(self):
        return self.at

    def wall_time(self):
        return virtual.EPOCH + self.at + self.jump


def test_a_jump_of_the_clock_does_not_move_windows():
    clocks = Clocks()
    steady = clock.SteadyClock(clocks)
    clocks.jump = 2.0
    clocks.at += 10

    assert steady.now() == pytest.approx(virtual.EPOCH + 60)


def test_a_start_during_a_jump_is_corrected_by_peers():
    clocks = Clocks()
    clocks.jump = -2.0
    steady = clock.SteadyClock(clocks)
    for name in ('one', 'two', 'three'):
        steady.compare_with_peer(name, virtual.EPOCH + 50.01)

    assert steady.now() == pytest.approx(virtual.EPOCH + 50.01)


def test_counts_of_a_restarted_peer_add_up():
    ledger = usage.UsageLedger(5.0, 'own', 1)
    ledger.record_request('org', 1000.0)
    ledger.merge_report('peer', 1, {'200': {'org': 3}})
    ledger.merge_report('peer', 2, {'200': {'org': 2}})
    ledger.merge_report('peer', 2, {'200': {'org': 2}})

    assert ledger.get_total(200) == {'org': 6}


def test_counts_outlive_the_end_of_all_entries(deployed):
    ask_for(deployed, 4)
    deployed.world.run(1.5)
    for host in tuple(deployed.gateway_hosts.values()):
        host.kill()
    deployed.world.run(0.7)
    for number in range(3, 6):
        deployed.add_gateway(f'gateway-{number}')
    deployed.world.run(14)

    reports = check_reports(deployed)
    check_fences(deployed)
    assert sum(counts['org'] for counts in reports.values()) == 8


def test_a_checkpoint_does_not_count_a_living_entry_twice():
    ledger = usage.UsageLedger(5.0, 'own', 1)
    ledger.record_request('org', 1000.0)
    ledger.merge_report('peer', 1, {'200': {'org': 3}})
    saved = ledger.export()
    ledger.merge_report('peer', 1, {'200': {'org': 4}})
    ledger.restore(saved)

    assert ledger.get_total(200) == {'org': 5}


def test_a_stopping_holder_gives_the_duties_away_for_good(deployed):
    ask_for(deployed, 8)
    (first,) = find_holder(deployed)
    for held in deployed.workers.values():
        held.behaviour.service_s = 1.4
    deployed.send('/unsafe/x', gateway=first, method='POST')
    deployed.gateway_hosts[first].on_stop()
    deployed.world.run(2.4)

    assert deployed.gateway_hosts[first].is_alive
    (second,) = find_holder(deployed)
    assert second != first
    check_fences(deployed)
