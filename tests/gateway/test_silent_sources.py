"""A standby stays current when the peer that it follows falls silent."""

import pytest

from tests.support import platform_system

CONFIG_S = 3.0  # time within which a change must be in force
DRAIN_S = 3.0  # time within which a draining worker must be out of use
ENTRIES = 24
SERVING = 8
ZONES = 5
START_SPREAD_S = 0.3


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
