"""Data centres are evacuated and taken back while entries, links and store fail."""

import pytest

from citronjunction.verdicts import http
from tests.support import broken, platform_system

BOUND_S = 5.0  # from the store's acknowledgement until nothing more arrives
ZONES = ('z1', 'z2', 'z3')
PATHS = ('/safe/x', '/unsafe/x', '/stream/x')
KIND = 'evacuations'
PER_S = 40


class Deployed(platform_system.LinkedSystem):
    """Workers and entries in three data centres that may be evacuated."""

    serving = 8

    def configure_settings(self, settings):
        super().configure_settings(settings)
        settings.membership.serving = self.serving
        if hasattr(settings, 'evacuations'):  # not in older builds
            settings.evacuations.is_followed = True
            settings.evacuations.zones = ','.join(ZONES)

    def build(self, gateways=7):
        """Start two workers of each upstream a data centre, and entries."""
        self.zones = {}
        self.store.put('config', 'main', self.configuration)
        for number in range(6):
            for service in ('app', 'llm'):
                zone = ZONES[number % len(ZONES)]
                self.zones[f'{service}-{number}'] = zone
                self.add_worker(f'{service}-{number}', service, zone)
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            self.add_gateway(f'gateway-{number}', zone)
        self.world.run(6)
        return self

    def evacuate(self, zone, spec=None):
        self.store.put(KIND, zone, {} if spec is None else spec)
        return self.world.now

    def take_back(self, zone):
        self.store.remove(KIND, zone)

    def load(self, seconds, names=None):
        """Send requests of all routes to entries in turn."""
        answers = []
        names = names or list(self.gateways)
        for number in range(round(seconds * PER_S)):
            path = PATHS[number % len(PATHS)]
            name = names[number // len(PATHS) % len(names)]
            answers.append(self.send(path, name, method='POST'))
            self.world.run(1 / PER_S)
        self.world.run(0.5)
        return answers

    def count_arrivals(self, zone, since):
        return sum(
            at > since
            for name, worker in self.workers.items()
            if self.zones[name] == zone
            for at in worker.arrived_at
        )

    def list_closed(self, name):
        return set(self.gateways[name].services.fleet.evacuations.by_zone)


@pytest.fixture
def deployed():
    return Deployed().build()


# Breaks EVAC: without the decision, requests go on in the data centre.
def test_nothing_more_is_sent_to_an_evacuated_data_centre(deployed):
    at = deployed.evacuate('z1')
    answers = deployed.load(12)
    deployed.world.run(2)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0
    assert {answer.status for answer in answers} == {200}


def test_a_data_centre_that_is_taken_back_is_used_again(deployed):
    deployed.evacuate('z1')
    deployed.load(3)
    deployed.take_back('z1')
    at = deployed.world.now
    deployed.load(3)

    assert deployed.count_arrivals('z1', at) > 0


def test_standbys_hear_of_an_evacuation(deployed):
    fleet = Deployed()
    fleet.serving = 4
    fleet.build(gateways=12).world.run(6)
    standbys = [
        name
        for name, gateway in fleet.gateways.items()
        if gateway.peers.roles.stands_by
    ]
    at = fleet.evacuate('z2')
    fleet.load(8, standbys)

    assert len(standbys) == 6
    assert fleet.count_arrivals('z2', at + BOUND_S) == 0


def test_an_entry_without_the_store_hears_of_it_from_peers(deployed):
    deployed.world.partition(['gateway-3'], ['platform'])
    deployed.world.run(3)
    at = deployed.evacuate('z1')
    deployed.load(8, ['gateway-3'])

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_entries_that_start_during_an_evacuation_send_nothing_there(deployed):
    deployed.evacuate('z1')
    deployed.world.run(BOUND_S)
    at = deployed.world.now
    for name in ('gateway-1', 'gateway-2'):
        deployed.gateway_hosts[name].kill()
        deployed.start_again(name)
    answers = deployed.load(6, ['gateway-1', 'gateway-2'])

    assert deployed.count_arrivals('z1', at) == 0
    assert answers[-1].status == 200


def test_what_is_known_holds_while_the_store_is_down(deployed):
    at = deployed.evacuate('z1')
    deployed.world.run(1)
    deployed.store.is_down = True
    deployed.load(12)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_entries_that_start_without_the_store_ask_peers(deployed):
    at = deployed.evacuate('z1')
    deployed.world.run(1)
    deployed.store.is_down = True
    deployed.gateway_hosts['gateway-2'].kill()
    deployed.start_again('gateway-2')
    answers = deployed.load(12, ['gateway-2'])

    assert deployed.count_arrivals('z1', at + 2) == 0
    assert answers[-1].status == 200


def test_an_evacuation_that_a_restored_store_lacks_is_written_again(deployed):
    copied = deployed.store.copy()
    at = deployed.evacuate('z1')
    deployed.world.run(BOUND_S)
    deployed.store.restore(copied)
    deployed.load(3)
    deployed.evacuate('z1')
    deployed.load(8)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_one_that_is_not_written_again_ends(deployed):
    copied = deployed.store.copy()
    deployed.evacuate('z1')
    deployed.world.run(BOUND_S)
    deployed.store.restore(copied)
    deployed.world.run(8)
    at = deployed.world.now
    deployed.load(2)

    assert deployed.count_arrivals('z1', at) > 0


def test_changes_that_the_history_lacks_are_seen(deployed):
    deployed.evacuate('z1')
    deployed.world.run(1)
    deployed.store.cut_watches()
    deployed.take_back('z1')
    at = deployed.evacuate('z2')
    deployed.store.compact()
    deployed.load(8)

    assert deployed.count_arrivals('z2', at + BOUND_S) == 0
    assert deployed.count_arrivals('z1', at + BOUND_S) > 0


def test_two_data_centres_one_after_the_other(deployed):
    first = deployed.evacuate('z1')
    deployed.load(2)
    second = deployed.evacuate('z2')
    answers = deployed.load(7)
    deployed.take_back('z1')
    deployed.load(1)

    assert deployed.count_arrivals('z2', second + BOUND_S) == 0
    assert {answer.status for answer in answers} == {200}
    assert deployed.count_arrivals('z1', first + BOUND_S) > 0


@pytest.mark.parametrize('path', PATHS)
def test_requests_are_rejected_at_once_while_all_are_evacuated(deployed, path):
    for zone in ZONES:
        deployed.evacuate(zone)
    deployed.world.run(3)
    runs = deployed.count_runs()
    answer = deployed.ask(path, method='POST')

    assert answer.status == 503
    assert answer.duration_s < 0.1
    assert http.is_not_run(answer.headers)
    assert 0.5 <= float(answer.headers['retry-after']) <= 8
    assert deployed.count_runs() == runs


def test_runs_in_progress_go_on(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 15
        worker.behaviour.event_interval_s = 0.1
    answers = [
        deployed.send('/stream/x', method='POST', deadline_ms=9000)
        for _ in range(12)
    ]
    deployed.world.run(0.5)
    for zone in ZONES:
        deployed.evacuate(zone)
    deployed.world.run(8)

    assert all(answer.is_complete for answer in answers)
    assert all(b't15' in answer.body for answer in answers)


def test_a_stopped_stream_does_not_go_on_in_an_evacuated_data_centre():
    system = Deployed()
    engine = {'slots': 64, 'kvCapacity': 700000, 'moves': True}
    system.configuration['services'][1]['engine'] = engine
    system.configuration['routes'][2].update(timeoutMs=15000, attempts=1)
    system.build(gateways=1)
    for worker in system.workers.values():
        worker.behaviour.event_count = 50
        worker.behaviour.event_interval_s = 0.1
        worker.move_status = 503  # the copy stays at the source
    answer = system.send('/stream/x', method='POST', deadline_ms=15000)
    system.world.run(0.5)
    source = answer.headers['signature'].removeprefix('sig.')
    at = system.evacuate(system.zones[source])
    system.world.run(0.5)
    system.workers[source].leaves_at = system.world.now + 2.4
    system.set_state(source, 'draining')
    system.world.run(6)

    assert system.workers[source].moves
    assert system.count_arrivals(system.zones[source], at) == 0
    assert not answer.is_complete


def test_retries_go_elsewhere(deployed):
    for name, worker in deployed.workers.items():
        if deployed.zones[name] == 'z2':
            worker.behaviour.refusals_left = 1000
    at = deployed.evacuate('z1')
    deployed.load(8)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_an_evacuation_beside_a_rollout_and_a_reclaim(deployed):
    deployed.store.put(
        'rollouts', 'app', {'service': 'app', 'target': 'v2', 'durationS': 10}
    )
    for zone in ZONES:
        deployed.zones[f'new-{zone}'] = zone
        deployed.add_worker(f'new-{zone}', 'app', zone, version='v2')
    deployed.load(1)
    at = deployed.evacuate('z1')
    deployed.set_state('app-1', 'draining')
    deployed.load(12)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


@pytest.mark.parametrize('spec', [None, [], 'x', 7, {'zone': 'z9', 'a': [1]}])
def test_the_name_alone_decides(deployed, spec):
    at = deployed.evacuate('z1', spec)
    deployed.load(8)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_an_evacuation_ordered_twice_ends_once(deployed):
    deployed.evacuate('z1')
    deployed.evacuate('z1', {'again': 1})
    deployed.world.run(1)
    assert deployed.list_closed('gateway-0') == {'z1'}
    deployed.take_back('z1')
    deployed.world.run(1)

    assert not deployed.list_closed('gateway-0')


@pytest.mark.parametrize('form', broken.VALUES)
def test_an_undecodable_object_harms_no_other(deployed, form):
    deployed.store.raw[broken.MARK] = broken.VALUES[form]
    deployed.evacuate('z3', {'odd': broken.MARK})
    at = deployed.evacuate('z1')
    deployed.load(8)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


@pytest.mark.parametrize('name', ['', 'z9', 'z1 ', 'x' * 5000])
def test_a_name_of_no_data_centre_is_rejected(deployed, name):
    deployed.evacuate(name)
    at = deployed.evacuate('z2')
    deployed.load(8)

    assert deployed.count_arrivals('z2', at + BOUND_S) == 0
    assert deployed.count_arrivals('z1', at + BOUND_S) > 0
    for gateway in deployed.gateways.values():
        (line,) = gateway.log.find(name[:200])
        assert line['decision'] == 'object rejected'
        assert line['object_kind'] == KIND


def test_entries_that_know_no_evacuations_read_no_such_kind():
    system = platform_system.PlatformSystem().build(gateways=2)

    assert all(
        KIND not in gateway.watcher.mirrors
        for gateway in system.gateways.values()
    )


# Breaks EVAC: all watches were silent for up to their wait of 20 s.
def test_an_order_whose_watch_answers_are_all_lost_is_heard(deployed):
    deployed.store.watches.clear()
    at = deployed.evacuate('z1')
    deployed.load(8)

    assert deployed.count_arrivals('z1', at + BOUND_S) == 0


def test_standbys_make_no_calls_for_evacuations():
    fleet = Deployed()
    fleet.serving = 4
    fleet.build(gateways=12).world.run(10)
    watching = {
        name
        for name, gateway in fleet.gateways.items()
        if not gateway.peers.roles.stands_by
    }
    senders = set()
    handle = fleet.store.handle

    def record(exchange):
        address = exchange.connection.connection.peer_address
        senders.add(address.rpartition(':')[0])
        handle(exchange)

    fleet.store.handle = record
    fleet.world.run(10)

    assert senders == watching
