"""A standby stays current when the peer that it follows can't be relied on."""

import pytest

from tests.support import platform_system

CONFIG_S = 3.0  # time within which a change must be in force
DRAIN_S = 3.0  # time within which a draining worker must be out of use
ENTRIES = 24
SERVING = 8
ZONES = 5
START_SPREAD_S = 0.3
RETURN_S = 1.2  # until a worker is registered again
CUT_OFF = [(4, 0.9), (7, 0.4)]  # seed; seconds from the cut to the change


class Fleet(platform_system.PlatformSystem):
    """A fleet of five data centres in which most entries stand by."""

    def configure_settings(self, settings):
        settings.membership.serving = SERVING
        settings.membership.links = 6

    def build(self):
        """Start entries one after another, so that their timers differ."""
        self.store.put('config', 'main', self.configuration)
        for service in ('app', 'llm'):
            self.add_worker(f'{service}-0', service)
        for number in range(ENTRIES):
            self.add_gateway(f'gateway-{number}', f'z{number % ZONES}')
            self.world.run(self.world.random.random() * START_SPREAD_S / 8)
        self.world.run(14 + self.world.random.random() * 3)
        return self

    def find_followed(self):
        """Return the peer that most standbys follow, and these standbys."""
        followers = {}
        for name, gateway in self.gateways.items():
            if gateway.peers.roles.stands_by:
                for linked in gateway.peers.open_links:
                    followers.setdefault(linked, []).append(name)
        followed = max(followers, key=lambda name: len(followers[name]))
        return followed, followers[followed]

    def silence(self, name, how):
        """Make a gateway fall silent without closing its connections."""
        others = [other for other in self.gateways if other != name]
        match how:
            case 'frozen':
                self.gateway_hosts[name].pause(30)
            case 'cut from peers':
                self.world.partition([name], others)
            case 'cut from all':
                self.world.partition([name], [*others, 'platform'])
            case 'cut from the store':
                self.world.partition([name], ['platform'])

    def cut_off(self, name):
        """Cut a gateway off from the store and from all that serve.

        Those that stand by still hear it.
        """
        serving = [
            other
            for other, gateway in self.gateways.items()
            if other != name and not gateway.peers.roles.stands_by
        ]
        self.world.partition([name], [*serving, 'platform'])

    def add_route(self):
        route = platform_system.make_route('new', '/new/', 'safe', 'app')
        self.configure(routes=[*self.configuration['routes'], route])


# Guards against CONFIG: a new route was answered 404 for over 3 s.
@pytest.mark.parametrize(
    'how, seed',
    [
        ('frozen', 1),
        ('cut from peers', 1),
        ('cut from all', 1),
        ('cut from the store', 1),
        ('frozen', 7),
        ('cut from the store', 7),
    ],
)
def test_standbys_with_a_silent_source_serve_a_new_route(how, seed):
    fleet = Fleet(seed).build()
    followed, standbys = fleet.find_followed()

    fleet.silence(followed, how)
    fleet.add_route()
    fleet.world.run(CONFIG_S)

    answers = [fleet.send('/new/x', gateway=name) for name in standbys]
    fleet.world.run(1.0)
    assert [answer.status for answer in answers] == [200] * len(standbys)


# Guards against DRAIN: a draining worker stayed in use for over 3 s.
@pytest.mark.parametrize('seed', [1, 7])
@pytest.mark.parametrize('how', ['frozen', 'cut from peers'])
def test_standbys_with_a_silent_source_spare_a_draining_worker(seed, how):
    fleet = Fleet(seed).build()
    followed, standbys = fleet.find_followed()

    fleet.silence(followed, how)
    fleet.set_state('app-0', 'draining')
    fleet.world.run(DRAIN_S)

    for name in standbys:
        workers = fleet.gateways[name].services.fleet.workers
        assert workers['app-0'].is_draining


def cut_off_source(seed, delay_s):
    """Return a fleet some time after a source was cut off, and its standbys."""
    fleet = Fleet(seed).build()
    followed, standbys = fleet.find_followed()
    fleet.cut_off(followed)
    fleet.world.run(delay_s)
    return fleet, standbys


# Guards against CONFIG: a source that is heard but lacks the store was trusted.
@pytest.mark.parametrize('seed, delay_s', CUT_OFF)
def test_standbys_of_a_cut_off_source_serve_a_new_route(seed, delay_s):
    fleet, standbys = cut_off_source(seed, delay_s)
    fleet.add_route()
    fleet.world.run(CONFIG_S)

    answers = [fleet.send('/new/x', gateway=name) for name in standbys]
    fleet.world.run(1.0)
    assert [answer.status for answer in answers] == [200] * len(standbys)


# Guards against DRAIN: a worker that left stayed in use for over 3 s.
@pytest.mark.parametrize('how', ['draining', 'gone'])
@pytest.mark.parametrize('seed, delay_s', CUT_OFF)
def test_standbys_of_a_cut_off_source_spare_a_worker_that_leaves(
    seed, delay_s, how
):
    fleet, standbys = cut_off_source(seed, delay_s)
    if how == 'draining':
        fleet.set_state('app-0', 'draining')
    else:
        fleet.store.remove('servers', 'app-0')
    fleet.world.run(DRAIN_S)

    for name in standbys:
        worker = fleet.gateways[name].services.fleet.workers.get('app-0')
        assert worker is None or worker.is_draining


# Guards against DRAIN: the grace of a removed worker began when it was noticed.
@pytest.mark.parametrize('seed', [1, 4, 7])
def test_standbys_of_a_source_in_several_troubles_spare_a_removed_worker(seed):
    fleet = Fleet(seed).build()
    followed, standbys = fleet.find_followed()
    fleet.cut_off(followed)
    fleet.store.remove('servers', 'app-0')
    fleet.world.run(0.8)
    fleet.silence(followed, 'frozen')
    fleet.world.run(DRAIN_S - 0.8)

    for name in standbys:
        assert 'app-0' not in fleet.gateways[name].services.fleet.workers


# Guards against fleets without workers after an outage of the store.
@pytest.mark.parametrize('seed', [1, 4])
def test_standbys_keep_workers_whose_registrations_lapse_in_an_outage(seed):
    fleet = Fleet(seed).build()
    _, standbys = fleet.find_followed()
    fleet.store.is_down = True
    fleet.store.cut_watches()
    fleet.world.run(5.0)
    fleet.store.remove('servers', 'app-0')
    fleet.store.is_down = False
    fleet.world.run(RETURN_S)

    for name in standbys:
        assert 'app-0' in fleet.gateways[name].services.fleet.workers


# Guards against a load on the store that grows with the fleet.
def test_sources_that_reach_the_store_are_not_doubted():
    fleet = Fleet(1).build()
    fleet.add_route()
    fleet.store.cut_watches()
    fleet.world.run(12)

    doubted_at = {
        gateway.peer_exchange.sources.doubted_at
        for gateway in fleet.gateways.values()
    }
    assert doubted_at == {float('-inf')}


# Guards against CONFIG and DRAIN: a dead watch waits like a live one.
@pytest.mark.parametrize('kind', ['config', 'servers'])
def test_an_entry_whose_watch_is_silent_gets_changes_of_peers(kind):
    system = platform_system.LinkedSystem().build(gateways=3)
    system.world.run(5)
    store = system.store
    store.watches = [
        watch
        for watch in store.watches
        if not watch[0].connection.connection.peer_address.startswith(
            'gateway-0:'
        )
    ]
    route = platform_system.make_route('new', '/new/', 'safe', 'app')
    system.configure(routes=[*system.configuration['routes'], route])
    system.set_state('app-0', 'draining')
    system.world.run(2.0)

    workers = system.gateways['gateway-0'].services.fleet.workers
    match kind:
        case 'config':
            assert system.ask('/new/x').status == 200
        case 'servers':
            assert workers['app-0'].is_draining
