"""Calls to the cloud that a partition holds up and delivers once it heals."""

import pytest

from citronjunction.duties import models
from tests.support import platform_system

CLOUD = f'{platform_system.PLATFORM}:{platform_system.CLOUD_PORT}'
LATE_IN_LEASE_S = 0.15  # before the lease counts as lost


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.build(gateways=3)
    system.world.holds_bytes = True
    system.world.run(1)
    return system


def find_holder(deployed, *, but=None):
    for name, gateway in deployed.gateways.items():
        if name != but and gateway.lease_client.get_fence() is not None:
            return name
    return None


def send_order(deployed, name):
    """Order workers as a gateway that has the lease; return the results."""
    gateway = deployed.gateways[name]
    results = []
    gateway.autoscaler.cloud.order_workers(
        models.WorkerOrder('llm', 'z1', True, 2),
        gateway.lease_client.get_fence(),
        results.append,
    )
    return results


def send_report(deployed, name):
    """Report usage as a gateway that has the lease; return the results."""
    gateway = deployed.gateways[name]
    results = []
    gateway.reporter.cloud.report_usage(
        models.UsageReport(1, {'org': 2}),
        gateway.lease_client.get_fence(),
        results.append,
    )
    return results


def wait_until_late_in_lease(deployed, name):
    """Run until a cut-off holder may act only a little longer."""
    lease = deployed.gateways[name].lease_client.lease
    end = lease.expires_at - lease.margin_s - LATE_IN_LEASE_S
    deployed.world.run(end - deployed.world.now)
    assert deployed.gateways[name].lease_client.get_fence() is not None


def cut(deployed, name):
    deployed.world.partition([name], ['platform'])


def reach_the_cloud_briefly(deployed, name):
    """Let a cut-off holder open one connection, late in its lease."""
    cut(deployed, name)
    wait_until_late_in_lease(deployed, name)
    host, accept = deployed.world.listeners[CLOUD]

    def cut_and_accept(connection):
        if connection.peer_address.startswith(name):
            cut(deployed, name)
        return accept(connection)

    deployed.world.listeners[CLOUD] = (host, cut_and_accept)
    deployed.world.partitions.clear()


def take_over(deployed, first, send):
    """Let another gateway take the lease over and call the cloud."""
    assert deployed.world.run_until(
        lambda: find_holder(deployed, but=first) is not None, limit=10
    )
    results = send(deployed, find_holder(deployed, but=first))
    deployed.world.run(0.1)
    assert results == [models.CallResult.accepted]


def heal(deployed):
    deployed.world.heal()
    deployed.world.run(8)


def check_tokens(calls):
    tokens = [token for (_, token), _ in calls]
    assert tokens
    assert tokens == sorted(tokens)


CALLS = [(send_order, 'orders'), (send_report, 'usage')]


# Guards against a former holder's call on a kept connection that is delivered
# after a call of the next holder.
@pytest.mark.parametrize(('send', 'kind'), CALLS)
def test_a_call_into_a_partition_does_not_arrive_later(deployed, send, kind):
    first = find_holder(deployed)
    assert send(deployed, first) == []
    deployed.world.run(0.1)
    cut(deployed, first)
    wait_until_late_in_lease(deployed, first)
    failed = send(deployed, first)
    take_over(deployed, first, send)
    heal(deployed)

    assert failed == [models.CallResult.unavailable]
    check_tokens(getattr(deployed.cloud, kind))


# Guards against the same where the partition begins as the connection opens.
@pytest.mark.parametrize(('send', 'kind'), CALLS)
def test_a_call_that_is_given_up_is_reset(deployed, send, kind):
    first = find_holder(deployed)
    reach_the_cloud_briefly(deployed, first)
    failed = send(deployed, first)
    take_over(deployed, first, send)
    heal(deployed)

    assert failed == [models.CallResult.unavailable]
    check_tokens(getattr(deployed.cloud, kind))


# Guards against a process that is killed while its kernel still has a call.
@pytest.mark.parametrize(('send', 'kind'), CALLS)
def test_a_call_of_a_killed_holder_is_reset(deployed, send, kind):
    first = find_holder(deployed)
    reach_the_cloud_briefly(deployed, first)
    send(deployed, first)
    deployed.world.run(0.1)
    deployed.gateway_hosts[first].kill()
    take_over(deployed, first, send)
    heal(deployed)

    check_tokens(getattr(deployed.cloud, kind))


# Guards against a call whose connection opens only after the lease has lapsed.
@pytest.mark.parametrize(('send', 'kind'), CALLS)
def test_a_call_whose_lease_lapses_meanwhile_is_not_sent(deployed, send, kind):
    first = find_holder(deployed)
    gateway = deployed.gateways[first]
    gateway.autoscaler.cloud.client.pool.idle.clear()
    calls = getattr(deployed.cloud, kind)
    failed = send(deployed, first)
    deployed.gateway_hosts[first].pause(6)
    take_over(deployed, first, send)
    count = len(calls)
    deployed.world.run(8)

    assert failed == [models.CallResult.unavailable]
    assert len(calls) >= count
    check_tokens(calls)
