"""In a large fleet some entries serve and the others stand by."""

import json

import pytest

from tests.support import platform_system

ENTRIES = 12
SERVING = 4


class Fleet(platform_system.PlatformSystem):
    """A fleet in which four entries serve."""

    def configure_settings(self, settings):
        settings.membership.serving = SERVING

    def select_serving(self):
        return {
            name
            for name, gateway in self.gateways.items()
            if not gateway.peers.roles.stands_by
        }

    def list_addresses(self, name):
        answer = platform_system.Answer(self.world)
        call = platform_system.make_directory_call(
            self.gateways[name].settings.listeners.directory,
        )
        self.caller_host.client.send(call, answer)
        self.world.run(0.2)
        return set(json.loads(answer.body)['addrs'])

    def get_fronts(self, names):
        return {self.gateways[name].settings.listeners.front for name in names}


@pytest.fixture
def fleet():
    system = Fleet().build(gateways=ENTRIES)
    system.world.run(6)
    return system


def test_all_entries_list_the_same_serving_entries(fleet):
    serving = fleet.select_serving()

    assert len(serving) == SERVING
    for name in fleet.gateways:
        assert fleet.list_addresses(name) == fleet.get_fronts(serving)


@pytest.mark.parametrize('kind', ['config', 'rollouts', 'servers'])
def test_only_serving_entries_watch_the_store(fleet, kind):
    watching = {
        name
        for name, gateway in fleet.gateways.items()
        if not gateway.watcher.mirrors[kind].is_following
    }

    assert watching == fleet.select_serving()


def test_a_standby_serves_callers_that_connect(fleet):
    standby = min(set(fleet.gateways) - fleet.select_serving())

    assert fleet.ask('/safe/x', gateway=standby).status == 200


def test_a_standby_receives_a_draining_worker_from_its_peers(fleet):
    standby = min(set(fleet.gateways) - fleet.select_serving())
    fleet.set_state('app-0', 'draining')
    fleet.world.run(2.0)

    assert fleet.gateways[standby].services.fleet.workers['app-0'].is_draining


def test_a_new_configuration_takes_effect_at_a_standby(fleet):
    standby = min(set(fleet.gateways) - fleet.select_serving())
    fleet.configure(
        routes=[platform_system.make_route('new', '/new/', 'safe', 'app')],
    )
    fleet.world.run(0.5)

    assert fleet.ask('/new/x', gateway=standby).status == 200


def test_a_configuration_reaches_a_standby_without_the_store(fleet):
    standby = min(set(fleet.gateways) - fleet.select_serving())
    fleet.world.partition(['platform'], [standby])
    fleet.configure(
        routes=[platform_system.make_route('new', '/new/', 'safe', 'app')],
    )
    fleet.world.run(2.0)

    assert fleet.ask('/new/x', gateway=standby).status == 200


def test_an_entry_that_becomes_standby_in_an_outage_follows_changes(fleet):
    standby = min(set(fleet.gateways) - fleet.select_serving())
    watcher = fleet.gateways[standby].watcher
    fleet.gateways[standby].announcer._review_role = lambda: None
    watcher.set_following(is_following=False)
    fleet.world.run(0.5)
    fleet.store.is_down = True
    fleet.world.run(5)
    assert watcher.is_suspended
    watcher.set_following(is_following=True)
    fleet.store.is_down = False
    fleet.configure(
        routes=[platform_system.make_route('new', '/new/', 'safe', 'app')],
    )
    fleet.world.run(3)

    assert fleet.ask('/new/x', gateway=standby).status == 200


def test_standbys_replace_lost_entries(fleet):
    before = fleet.select_serving()
    for name in sorted(before)[:3]:
        fleet.gateway_hosts[name].pause(30)
    fleet.world.run(8)
    alive = set(fleet.gateways) - set(sorted(before)[:3])
    after = fleet.select_serving() & alive

    assert len(after) == SERVING
    for name in alive:
        assert fleet.list_addresses(name) == fleet.get_fronts(after)
    fleet.set_state('app-0', 'draining')
    fleet.world.run(0.5)
    for name in after:
        gateway = fleet.gateways[name]
        assert gateway.services.fleet.workers['app-0'].is_draining


def test_a_standby_that_loses_all_peers_watches_the_store(fleet):
    alone = min(set(fleet.gateways) - fleet.select_serving())
    for name, host in fleet.gateway_hosts.items():
        if name != alone:
            host.pause(60)
    fleet.world.run(12)
    fleet.set_state('app-0', 'draining')
    fleet.world.run(0.5)

    gateway = fleet.gateways[alone]
    assert not gateway.peers.roles.stands_by
    assert gateway.services.fleet.workers['app-0'].is_draining


def test_an_idle_fleet_makes_few_calls_to_the_store(fleet):
    before = fleet.store.calls
    fleet.world.run(10)

    # Probes by serving entries, watches that end after their wait, lease calls.
    probes = SERVING * 10
    watches = SERVING * 3
    lease = 2 * 10
    assert fleet.store.calls - before <= probes + watches + lease


def test_an_entry_linked_only_to_another_standby_receives_changes(fleet):
    standbys = sorted(set(fleet.gateways) - fleet.select_serving())
    first, second = (fleet.gateways[name] for name in standbys[:2])
    home = second.settings.listeners.control
    first.peers.dial_targets = lambda: [home]
    fleet.world.run(10)

    assert list(first.peers.open_links) == [second.name]
    assert first.peers.roles.live_count == ENTRIES
    fleet.set_state('app-0', 'draining')
    fleet.world.run(3.0)
    assert first.services.fleet.workers['app-0'].is_draining


def test_a_standby_does_not_refuse_requests_within_the_quota():
    fleet = Fleet()
    tenant = {'name': 'org', 'apiKeys': ['key-org'], 'ratePerS': 5, 'burst': 0}
    fleet.configuration['tenants'] = [tenant]
    fleet.build(gateways=ENTRIES).world.run(6)
    serving = sorted(fleet.select_serving())
    for number in range(20):
        fleet.ask('/safe/x', gateway=serving[number % SERVING], run_s=0.25)
    standby = min(set(fleet.gateways) - set(serving))

    answers = [fleet.ask('/safe/x', gateway=standby, run_s=0.1) for _ in '123']
    assert [answer.status for answer in answers] == [200, 200, 200]


def test_peers_of_an_idle_fleet_never_count_as_silent(fleet):
    sync_s = fleet.gateways['gateway-0'].settings.membership.sync_s
    for _ in range(round(2.5 * sync_s / 0.25)):
        fleet.world.run(0.25)
        silent = {
            name
            for name, gateway in fleet.gateways.items()
            if gateway.services.quotas.peers.has_silent(fleet.world.now)
        }
        assert not silent


def test_a_store_that_answers_watches_is_not_probed(fleet):
    fleet.world.run(2)
    reads = fleet.store.reads
    for number in range(20):
        fleet.set_state('app-0', 'ready', seq=number + 2)
        fleet.world.run(0.5)

    # The lease and the checkpoint are read; a probe a second would make it 40.
    assert fleet.store.reads - reads <= 15


def test_an_entry_sends_few_bytes_to_its_peers():
    large = Fleet().build(gateways=30)
    large.world.run(6)
    before = {
        name: gateway.peers.count_sent_bytes()
        for name, gateway in large.gateways.items()
    }
    large.world.run(10)

    for name, gateway in large.gateways.items():
        rate = (gateway.peers.count_sent_bytes() - before[name]) / 10
        assert rate < 21_000


def test_serving_entries_know_each_other_s_requests(fleet):
    for worker in fleet.workers.values():
        worker.behaviour.is_silent = True
    serving = sorted(fleet.select_serving())
    fleet.send('/unsafe/x', gateway=serving[0], method='POST')
    fleet.world.run(0.8)

    for name in serving:
        workers = fleet.gateways[name].services.fleet.workers.values()
        assert sum(worker.total_running for worker in workers) == 1
