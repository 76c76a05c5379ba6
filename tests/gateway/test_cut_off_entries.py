"""Entries that reach no worker serve their callers through their peers."""

import enum

import pytest

from tests.support import platform_system

STABLE_S = 3.0
FIRST_TRY_SHARE = 2 / 3  # of the share served at the entries that are not cut
USER_TIMEOUT_S = 2.0


class Cut(enum.Enum):
    """How the links to the workers fail."""

    silent = 'silent'
    refused = 'refused'


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem().build(workers=3, gateways=4)
    system.world.user_timeout_s = USER_TIMEOUT_S
    return system


def cut(deployed, how, *names):
    """Cut entries off from all workers."""
    match how:
        case Cut.silent:
            deployed.world.partition(names, deployed.workers)
        case Cut.refused:
            deployed.world.refuse(names, deployed.workers)


def press(deployed, seconds, *names, path='/safe/x', per_s=20):
    return deployed.press(names, seconds, per_s, path)


def measure_served(answers):
    served = [answer for answer in answers if answer.status == 200]
    return len(served) / len(answers)


def list_addresses(deployed, name):
    gateway = deployed.gateways[name]
    return set(gateway.list_addresses())


def get_front(deployed, name):
    return deployed.gateways[name].settings.listeners.front


# Guards against RECOVER: callers of entries that reach no worker are refused.
@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('count', [1, 3])
def test_callers_of_cut_off_entries_are_served(deployed, how, path, count):
    every = list(deployed.gateways)
    press(deployed, 2, *every, path=path)
    cut(deployed, how, *every[:count])
    press(deployed, STABLE_S, *every, path=path)
    first_tries = press(deployed, 6, *every[:count], path=path)
    others = press(deployed, 2, *every[count:], path=path)
    deployed.world.run(2)

    expected = measure_served(others) * FIRST_TRY_SHARE
    assert measure_served(first_tries) >= expected


# Guards against RECOVER: requests wait on open connections that a cut silenced.
@pytest.mark.parametrize('path', ['/safe/x', '/stream/r/x'])
def test_silent_open_connections_are_noticed_before_they_time_out(
    deployed, path
):
    deployed.world.user_timeout_s = 30
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 0.4
    press(deployed, 2, 'gateway-0', path=path, per_s=60)
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 0.02
    deployed.world.run(1)
    cut(deployed, Cut.silent, 'gateway-0')
    early = press(deployed, STABLE_S, 'gateway-0', path=path, per_s=4)
    late = press(deployed, 3, 'gateway-0', path=path, per_s=4)
    deployed.world.run(1)

    assert measure_served(late) == 1
    assert measure_served(early) == 1


@pytest.mark.parametrize('how', list(Cut))
def test_a_request_of_a_cut_off_entry_runs_once(deployed, how):
    cut(deployed, how, 'gateway-0')
    press(deployed, STABLE_S, 'gateway-0')
    before = deployed.count_runs()
    answers = press(deployed, 2, 'gateway-0', path='/unsafe/x')
    deployed.world.run(2)

    assert measure_served(answers) == 1
    assert deployed.count_runs() - before == len(answers)


def test_an_answer_through_a_peer_is_the_workers(deployed):
    cut(deployed, Cut.refused, 'gateway-0')
    press(deployed, STABLE_S, 'gateway-0', path='/stream/x')
    answer = deployed.ask('/stream/x', method='POST')

    assert answer.is_complete
    assert answer.body.startswith(b'id: 1\ndata: t1\n\n')
    assert answer.headers['signature'].startswith('sig.llm-')
    name = answer.call.call.headers['Attempt-Id']
    assert answer.headers['attempt-id'] == name


def test_cut_off_entries_are_not_listed_for_callers_until_they_return(deployed):
    front = get_front(deployed, 'gateway-0')
    cut(deployed, Cut.silent, 'gateway-0')
    press(deployed, 2, 'gateway-0')

    for name in deployed.gateways:
        assert front not in list_addresses(deployed, name)
        assert len(list_addresses(deployed, name)) == 3
    deployed.world.heal()
    press(deployed, 2, 'gateway-0')

    for name in deployed.gateways:
        assert front in list_addresses(deployed, name)


def test_all_entries_are_listed_while_all_are_cut_off(deployed):
    cut(deployed, Cut.refused, *deployed.gateways)
    press(deployed, 4, *deployed.gateways)

    for name in deployed.gateways:
        assert len(list_addresses(deployed, name)) == 4


def test_requests_are_rejected_at_once_while_all_entries_are_cut_off(deployed):
    cut(deployed, Cut.refused, *deployed.gateways)
    press(deployed, 4, *deployed.gateways)
    answers = press(deployed, 1, *deployed.gateways)
    deployed.world.run(1)

    for answer in answers:
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert answer.duration_s < 0.3


def test_an_entry_uses_its_own_links_again_soon_after_they_return(deployed):
    cut(deployed, Cut.silent, 'gateway-0')
    press(deployed, 4, 'gateway-0')
    deployed.world.heal()
    press(deployed, 2, 'gateway-0')
    peers = [name for name in deployed.gateways if name != 'gateway-0']
    deployed.world.refuse(peers, deployed.workers)
    answers = press(deployed, 0.5, 'gateway-0')
    deployed.world.run(1)

    assert measure_served(answers) == 1


def test_a_service_without_workers_takes_no_entry_off_the_list(deployed):
    for name, host in deployed.worker_hosts.items():
        if name.startswith('app-'):
            host.kill()
    press(deployed, 4, 'gateway-0', 'gateway-1')

    for name in deployed.gateways:
        assert len(list_addresses(deployed, name)) == 4


def test_the_use_of_a_request_through_a_peer_counts_once(deployed):
    cut(deployed, Cut.refused, 'gateway-0')
    press(deployed, STABLE_S, 'gateway-0')
    quotas = [gateway.services.quotas for gateway in deployed.gateways.values()]
    before = sum(known.used.get('org', 0) for known in quotas)
    runs = deployed.count_runs()
    answers = press(deployed, 2, 'gateway-0')
    deployed.world.run(1)

    used = sum(known.used.get('org', 0) for known in quotas) - before
    assert used == len(answers)
    assert deployed.count_runs() - runs == len(answers)


def test_a_caller_that_leaves_ends_the_run_at_the_worker(deployed):
    cut(deployed, Cut.refused, 'gateway-0')
    press(deployed, STABLE_S, 'gateway-0')
    for worker in deployed.workers.values():
        worker.behaviour.service_time_s = 1.0
    answer = deployed.send('/safe/x', 'gateway-0', method='POST')
    deployed.world.run(0.2)
    answer.call.cancel()
    deployed.world.run(0.2)

    assert sum(len(worker.cancelled) for worker in deployed.workers.values())


def test_a_forged_mark_does_not_spare_a_caller_its_quota(deployed):
    before = deployed.gateways['gateway-0'].services.quotas.used.get('org', 0)
    answer = deployed.ask('/safe/x', citron_forwarded='gateway-1 2 00')

    assert answer.status == 200
    used = deployed.gateways['gateway-0'].services.quotas.used['org']
    assert used == before + 1
    for worker in deployed.workers.values():
        for request in worker.arrivals:
            assert 'citron-forwarded' not in request.headers


def test_a_request_with_an_unknown_key_is_not_passed_to_a_peer(deployed):
    cut(deployed, Cut.refused, 'gateway-0')
    press(deployed, STABLE_S, 'gateway-0')
    answer = deployed.ask('/safe/x', organisation='nobody')

    assert answer.status == 401


# Guards against a chain of probes for each time that an upstream was lost.
def test_a_link_that_fails_again_and_again_is_probed_at_one_rate(deployed):
    checker = deployed.gateways['gateway-0'].peer_exchange.reach_checker
    probes = []
    probe = checker._probe
    checker._probe = lambda: (probes.append(deployed.world.now), probe())
    for _ in range(5):
        checker._lose('app', is_silent=False)
        checker.on_connected('app')
    checker._lose('app', is_silent=False)
    cut(deployed, Cut.refused, 'gateway-0')
    deployed.world.run(3)

    assert 5 <= len(probes) <= 6
