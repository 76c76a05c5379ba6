"""Placement: host numbers follow load, reclaims and refusals."""

from citronjunction.standins import batch
from tests.support import system

ZONES = ('z1', 'z2', 'z3')
SLOTS = 4


class PlacementSystem:
    """A system whose cloud starts the engines that are ordered."""

    def __init__(self):
        self.system = system.System()
        self.cloud = self.system.cloud
        self.cloud.offers = [
            {'zone': zone, 'kind': kind, 'price': price}
            for zone in ZONES
            for kind, price in (('reclaimable', 0.3), ('on-demand', 1.0))
        ]
        self.cloud.on_start = self.start
        self.orders = []
        for number in range(2):
            self.system.add_entry(f'entry-{number}', ZONES[number])
        note = '[note]\nid = one\n[upstream llm]\nworkers = 2\n'
        self.system.apply(note + self.system.make_organisation_note('org'))

    def start(self, order):
        self.orders.append(order)
        name = f'llm-{len(self.orders)}'
        timers = self.system.platform_host.timers
        timers.call_later(10, lambda: self.serve(name, order))

    def serve(self, name, order):
        batch_options = batch.BatchOptions(slots=SLOTS)
        self.system.add_engine(
            name, 'llm', order['zone'], batch_options=batch_options
        )
        host = self.cloud.hosts[name]
        host.kind = order['kind']
        host.price = 0.3 if order['kind'] == 'reclaimable' else 1.0

    def count(self):
        return sum(
            host.upstream == 'llm' and not host.is_leaving
            for host in self.cloud.hosts.values()
        )

    def load(self, requests, tokens):
        for number in range(requests):
            self.system.complete(
                f'entry-{number % 2}', 'llm', f'p {number}', tokens
            )


def test_cheap_hosts_are_ordered_once_and_spread_over_zones():
    placement = PlacementSystem()
    placement.system.world.run(60)
    assert placement.count() == len(placement.orders) == 2
    assert {order['kind'] for order in placement.orders} == {'reclaimable'}
    assert len({order['zone'] for order in placement.orders}) == 2


def test_refused_starts_are_retried_without_excess_orders():
    placement = PlacementSystem()
    placement.cloud.refusals_left = 3
    placement.system.world.run(60)
    assert placement.count() == 2
    assert len(placement.orders) == 2
    assert placement.cloud.refusals_left == 0


def test_hosts_follow_load_up_and_down():
    placement = PlacementSystem()
    placement.system.world.run(40)
    placement.load(20, 4000)
    placement.system.world.run(40)
    high = placement.count()
    placement.system.world.run(400)
    assert high >= 4
    assert placement.count() == 2


def test_hosts_reclaimed_in_a_zone_are_replaced():
    placement = PlacementSystem()
    placement.system.world.run(40)
    zone = placement.orders[0]['zone']
    for host in placement.cloud.hosts.values():
        if host.zone == zone and host.upstream:
            host.is_leaving = True
            host.leaves_in_s = 5
    placement.system.world.run(40)
    assert placement.count() == 2


def test_another_holder_takes_over_after_the_first_is_killed():
    placement = PlacementSystem()
    placement.system.world.run(8)
    for control in placement.system.controls.values():
        if control.placer.lease_client.is_held():
            control.loop.kill()
            break
    placement.system.world.run(80)
    assert placement.count() == 2
