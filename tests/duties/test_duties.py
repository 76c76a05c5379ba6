"""Duties: one entry at a time reports usage and orders workers."""

import pytest

from citronjunction.duties import clock, usage
from tests.support import platform_system, virtual

SCALED = platform_system.make_scaled_upstream({'z1': 1.0, 'z2': 0.8})


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.configuration['services'][1] = SCALED
    system.build(gateways=3)
    # The first lease is acquired a lease's duration after the first answer.
    system.world.run(1)
    return system


def find_holder(deployed):
    now = deployed.world.now
    return [
        name
        for name, gateway in deployed.gateways.items()
        if deployed.gateway_hosts[name].is_alive
        and gateway.lease_client.lease.is_held(now)
    ]


def send_requests(deployed, seconds, gateways=('gateway-0', 'gateway-1')):
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
    send_requests(deployed, 20)
    deployed.world.run(10)

    reports = check_reports(deployed)
    assert sum(counts['org'] for counts in reports.values()) == 40
    assert len(deployed.cloud.usage) == len(reports)
    assert len(find_holder(deployed)) == 1


def test_report_waits_for_the_counts_of_a_partitioned_entry(deployed):
    (holder,) = find_holder(deployed)
    partitioned = next(name for name in deployed.gateways if name != holder)
    send_requests(deployed, 6, gateways=(holder,))
    links = deployed.gateways[partitioned].peers.open_links.values()
    others = [
        gateway.peers
        for name, gateway in deployed.gateways.items()
        if name != partitioned
    ]
    for link in tuple(links):
        link.close('cut')
    set_partition(
        deployed.gateways[partitioned].peers, others, is_partitioned=True
    )
    send_requests(deployed, 6, gateways=(partitioned,))
    set_partition(
        deployed.gateways[partitioned].peers, others, is_partitioned=False
    )
    deployed.world.run(14)

    reports = check_reports(deployed)
    assert sum(counts['org'] for counts in reports.values()) == 24


def set_partition(partitioned, others, is_partitioned):
    for node in (partitioned, *others):
        node.dial_targets = (
            (lambda: []) if is_partitioned else node.choose_targets
        )


def test_new_holder_continues_with_a_higher_epoch(deployed):
    send_requests(deployed, 8, gateways=('gateway-0',))
    (first,) = find_holder(deployed)
    deployed.gateway_hosts[first].kill()
    deployed.world.run(1)
    survivors = [name for name in deployed.gateways if name != first]
    send_requests(deployed, 20, gateways=survivors)
    deployed.world.run(8)

    (second,) = find_holder(deployed)
    assert second != first
    check_fences(deployed)
    check_reports(deployed)
    holders = {holder for (holder, _), _ in deployed.cloud.usage}
    assert second in holders


def test_reported_version_lets_a_new_holder_take_over_on_time(deployed):
    send_requests(deployed, 8, gateways=('gateway-0',))
    # Long enough after a renewal for peers to have received the version.
    deployed.world.run(0.75)
    (first,) = find_holder(deployed)
    deployed.gateway_hosts[first].kill()
    lease_s = deployed.gateways[first].settings.duties.lease_s
    lost_s = deployed.gateways[first].settings.membership.lost_after_s
    deployed.world.run(max(lease_s, lost_s) + 1.0)

    (second,) = find_holder(deployed)
    assert second != first


def test_paused_holder_sends_nothing_after_its_lease_expired(deployed):
    send_requests(deployed, 8)
    (first,) = find_holder(deployed)
    survivors = [name for name in deployed.gateways if name != first]
    deployed.gateway_hosts[first].pause(9)
    send_requests(deployed, 8, gateways=survivors)
    deployed.world.run(15)

    check_fences(deployed)
    check_reports(deployed)


def test_lost_answers_of_the_store_do_not_change_a_report(deployed):
    for _ in range(8):
        deployed.store.lost_answers = 2
        send_requests(deployed, 3)
    deployed.store.lost_answers = 0
    deployed.world.run(12)

    check_reports(deployed)
    check_fences(deployed)
    assert deployed.cloud.usage


def test_reports_are_sent_once_the_cloud_is_back(deployed):
    deployed.cloud.is_down = True
    send_requests(deployed, 10)
    deployed.cloud.is_down = False
    deployed.world.run(8)

    assert check_reports(deployed)


def test_workers_are_ordered_for_each_data_centre(deployed):
    send_requests(deployed, 3)

    ordered = {
        (order['zone'], order.get('spot', False))
        for _, order in deployed.cloud.orders
    }
    assert ('z1', True) in ordered
    assert ('z2', True) in ordered


class FakeClocks:
    def __init__(self):
        self.at = 50.0
        self.jump = 0.0

    def boot_time(self):
        return self.at

    def wall_time(self):
        return virtual.WALL_TIME_OFFSET_S + self.at + self.jump


def test_a_jump_of_the_clock_does_not_move_windows():
    clocks = FakeClocks()
    steady = clock.SteadyClock(clocks)
    clocks.jump = 2.0
    clocks.at += 10

    assert steady.now() == pytest.approx(virtual.WALL_TIME_OFFSET_S + 60)


def test_a_start_during_a_jump_is_corrected_by_peers():
    clocks = FakeClocks()
    clocks.jump = -2.0
    steady = clock.SteadyClock(clocks)
    for name in ('one', 'two', 'three'):
        steady.compare_with_peer(name, virtual.WALL_TIME_OFFSET_S + 50.01)

    assert steady.now() == pytest.approx(virtual.WALL_TIME_OFFSET_S + 50.01)


def test_counts_of_a_restarted_peer_add_up():
    ledger = usage.UsageLedger(5.0, 'own', 1)
    ledger.record_request('org', 1000.0)
    ledger.merge_report('peer', 1, {'200': {'org': 3}})
    ledger.merge_report('peer', 2, {'200': {'org': 2}})
    ledger.merge_report('peer', 2, {'200': {'org': 2}})

    assert ledger.get_total(200) == {'org': 6}


def test_counts_survive_the_end_of_all_entries(deployed):
    send_requests(deployed, 4)
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


def test_checkpoint_does_not_count_a_live_entry_twice():
    ledger = usage.UsageLedger(5.0, 'own', 1)
    ledger.record_request('org', 1000.0)
    ledger.merge_report('peer', 1, {'200': {'org': 3}})
    saved = ledger.export()
    ledger.merge_report('peer', 1, {'200': {'org': 4}})
    ledger.restore(saved)

    assert ledger.get_total(200) == {'org': 5}


def test_stopping_holder_releases_the_duties_and_keeps_off_them(deployed):
    send_requests(deployed, 8)
    (first,) = find_holder(deployed)
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 1.4
    deployed.send('/unsafe/x', gateway=first, method='POST')
    deployed.gateway_hosts[first].on_stop()
    deployed.world.run(2.4)

    assert deployed.gateway_hosts[first].is_alive
    (second,) = find_holder(deployed)
    assert second != first
    check_fences(deployed)


def test_restarted_holder_resumes_its_duties_without_a_wait(deployed):
    (first,) = find_holder(deployed)
    epoch = deployed.gateways[first].lease_client.lease.epoch
    for name in deployed.gateways:
        deployed.gateway_hosts[name].kill()
    deployed.world.run(0.5)
    for name in tuple(deployed.gateways):
        deployed.start_again(name)
    deployed.world.run(2)

    assert find_holder(deployed) == [first]
    assert deployed.gateways[first].lease_client.lease.epoch == epoch + 1
    check_fences(deployed)
