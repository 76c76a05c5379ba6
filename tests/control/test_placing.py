"""Placement at work: hosts follow load, waves and refusals."""

from citronjunction.standins import batch
from tests.support import system

ZONES = ('z1', 'z2', 'z3')
SLOTS = 4


class Cloud:
    """Start the engines that the control process orders."""

    def __init__(self):
        self.system = system.System()
        self.cloud = self.system.cloud
        self.cloud.offers = [
            {'zone': zone, 'kind': kind, 'price': price}
            for zone in ZONES
            for kind, price in (('reclaimable', 0.3), ('on-demand', 1.0))
        ]
        self.cloud.on_start = self.start
        self.wishes = []
        for number in range(2):
            self.system.add_entry(f'entry-{number}', ZONES[number])
        note = '[note]\nid = one\n[upstream llm]\nworkers = 2\n'
        self.system.apply(note + self.system.organisation_note('org'))

    def start(self, wish):
        self.wishes.append(wish)
        name = f'llm-{len(self.wishes)}'
        timers = self.system.platform_host.timers
        timers.call_later(10, lambda: self.serve(name, wish))

    def serve(self, name, wish):
        speed = batch.Speed(slots=SLOTS)
        self.system.add_engine(name, 'llm', wish['zone'], speed=speed)
        machine = self.cloud.machines[name]
        machine.kind = wish['kind']
        machine.price = 0.3 if wish['kind'] == 'reclaimable' else 1.0

    def count(self):
        return sum(
            held.upstream == 'llm' and not held.is_leaving
            for held in self.cloud.machines.values()
        )

    def load(self, requests, tokens):
        for number in range(requests):
            self.system.complete(
                f'entry-{number % 2}', 'llm', f'p {number}', tokens
            )


def test_hosts_are_ordered_cheaply_over_zones_and_once():
    held = Cloud()
    held.system.world.run(60)
    assert held.count() == len(held.wishes) == 2
    assert {wish['kind'] for wish in held.wishes} == {'reclaimable'}
    assert len({wish['zone'] for wish in held.wishes}) == 2


def test_refused_starts_go_elsewhere_and_are_not_hammered():
    held = Cloud()
    held.cloud.refusals = 3
    held.system.world.run(60)
    assert held.count() == 2
    assert len(held.wishes) == 2
    assert held.cloud.refusals == 0


def test_hosts_follow_load_up_and_down():
    held = Cloud()
    held.system.world.run(40)
    held.load(20, 4000)
    held.system.world.run(40)
    high = held.count()
    held.system.world.run(400)
    assert high >= 4
    assert held.count() == 2


def test_a_reclaimed_zone_is_replaced():
    held = Cloud()
    held.system.world.run(40)
    zone = held.wishes[0]['zone']
    for machine in held.cloud.machines.values():
        if machine.zone == zone and machine.upstream:
            machine.is_leaving = True
            machine.leaves_in_s = 5
    held.system.world.run(40)
    assert held.count() == 2


def test_another_holder_goes_on_when_the_first_dies():
    held = Cloud()
    held.system.world.run(8)
    for control in held.system.controls.values():
        if control.placer.lease_client.is_held():
            control.loop.kill()
            break
    held.system.world.run(80)
    assert held.count() == 2
