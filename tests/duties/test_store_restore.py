"""The store comes back from an older copy: lease, fence and usage reports."""

import pytest

from citronjunction.duties import usage
from tests.support import platform_system

SCALED = platform_system.make_scaled_upstream({'z1': 1.0})


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.configuration['services'][1] = SCALED
    system.build(gateways=3)
    system.world.run(1)
    return system


def find_holder(deployed):
    (holder,) = list_holders(deployed)
    return holder


def send_requests(deployed, seconds, gateways):
    for number in range(seconds * 2):
        gateway = gateways[number % len(gateways)]
        deployed.ask('/safe/x', gateway=gateway, run_s=0.5)


def check_calls(deployed):
    calls = [*deployed.cloud.usage, *deployed.cloud.orders]
    holders = {}
    for (holder, token), _ in calls:
        assert holders.setdefault(token, holder) == holder
    for duty in (deployed.cloud.usage, deployed.cloud.orders):
        tokens = [token for (_, token), _ in duty]
        assert tokens == sorted(tokens)
    for reports in deployed.cloud.group_usage().values():
        assert all(counts == reports[0] for counts in reports)


@pytest.mark.parametrize('age_s', [0.5, 3.0, 9.0])
def test_a_restore_keeps_one_holder_whose_tokens_rise(deployed, age_s):
    send_requests(deployed, 8, ('gateway-0', 'gateway-1'))
    copied = deployed.store.copy()
    deployed.world.run(age_s)
    before = find_holder(deployed)
    token = deployed.gateways[before].lease_client.get_fence().token
    deployed.store.restore(copied)
    for _ in range(40):
        deployed.world.run(0.25)
        assert len(list_holders(deployed)) <= 1

    after = find_holder(deployed)
    assert deployed.gateways[after].lease_client.get_fence().token > token
    send_requests(deployed, 6, ('gateway-0', 'gateway-1'))
    check_calls(deployed)


def list_holders(deployed):
    return [
        name
        for name, gateway in deployed.gateways.items()
        if deployed.gateway_hosts[name].is_alive
        and gateway.lease_client.get_fence()
    ]


def test_a_released_lease_in_the_copy_is_not_taken_from_its_later_holder():
    deployed = platform_system.PlatformSystem().build(gateways=2)
    deployed.world.run(1)
    first = find_holder(deployed)
    deployed.gateway_hosts[first].on_stop()
    deployed.world.run(0.01)
    copied = deployed.store.copy()
    deployed.world.run(3)
    second = find_holder(deployed)
    deployed.world.partition(['platform'], [second])
    deployed.store.restore(copied)
    deployed.add_gateway('gateway-2')
    for _ in range(40):
        deployed.world.run(0.1)
        assert len(list_holders(deployed)) <= 1


def test_a_holder_cut_off_across_a_restore_gets_no_lower_token(deployed):
    send_requests(deployed, 8, ('gateway-0', 'gateway-1'))
    holder = find_holder(deployed)
    copied = deployed.store.copy()
    deployed.world.run(2)
    deployed.gateway_hosts[holder].pause(2.0)
    deployed.store.restore(copied)
    others = [name for name in deployed.gateways if name != holder]
    send_requests(deployed, 12, others)

    check_calls(deployed)
    assert len(list_holders(deployed)) == 1


@pytest.mark.parametrize('is_known', [True, False])
def test_a_window_is_not_reported_again_with_other_counts(deployed, is_known):
    holder = find_holder(deployed)
    others = [name for name in deployed.gateways if name != holder]
    copied = deployed.store.copy()
    send_requests(deployed, 8, others)
    assert deployed.cloud.usage
    if not is_known:
        for name in others:
            deployed.gateways[name].reporter.stored.clear()
    # A late count would change a report that is made again.
    for name in others:
        ledger = deployed.gateways[name].ledger
        now = deployed.gateways[name].clock.now()
        ledger.record_request('org', now - 7)
    deployed.gateway_hosts[holder].kill()
    deployed.store.restore(copied)
    send_requests(deployed, 20, others)

    check_calls(deployed)


def test_the_holder_stores_its_reports_again(deployed):
    copied = deployed.store.copy()
    send_requests(deployed, 12, ('gateway-0', 'gateway-1'))
    stored = {
        name: item['spec']
        for (kind, name), item in deployed.store.objects.items()
        if kind == 'citron-usage'
    }
    deployed.store.restore(copied)
    deployed.world.run(3)

    newest = max(stored, key=int)
    again = deployed.store.objects[('citron-usage', newest)]['spec']
    assert again == stored[newest]
    check_calls(deployed)


def test_reports_go_on_after_a_restore(deployed):
    send_requests(deployed, 8, ('gateway-0',))
    copied = deployed.store.copy()
    deployed.world.run(2)
    deployed.store.restore(copied)
    reported = len(deployed.cloud.group_usage())
    send_requests(deployed, 15, ('gateway-0',))
    deployed.world.run(5)

    assert len(deployed.cloud.group_usage()) >= reported + 3
    check_calls(deployed)


def test_counts_survive_the_end_of_all_entries_with_a_whole_checkpoint(
    deployed,
):
    send_requests(deployed, 4, ('gateway-0', 'gateway-1'))
    deployed.world.run(1.5)
    for host in tuple(deployed.gateway_hosts.values()):
        host.kill()
    deployed.world.run(0.7)
    for number in range(3, 6):
        deployed.add_gateway(f'gateway-{number}')
    deployed.world.run(16)

    total = sum(
        reports[0]['org'] for reports in deployed.cloud.group_usage().values()
    )
    assert total == 8


def test_an_old_checkpoint_leaves_the_past_use_of_quotas_unknown():
    deployed = platform_system.PlatformSystem().build(gateways=1)
    deployed.ask('/safe/x')
    deployed.world.run(4)
    copied = deployed.store.copy()
    deployed.world.run(1)
    deployed.store.restore(copied)
    deployed.gateway_hosts['gateway-0'].kill()
    gateway = deployed.add_gateway('gateway-1')
    deployed.world.run(0.5)

    assert not gateway.services.quotas.is_past_use_known


def test_a_ledger_keeps_the_higher_count_of_an_older_checkpoint():
    ledger = usage.UsageLedger(5.0, 'own', 1)
    ledger.merge_report('peer', 1, {'200': {'org': 3}})
    ledger.restore({'peer/1': {'200': {'org': 2}}})

    assert ledger.get_total(200) == {'org': 3}
