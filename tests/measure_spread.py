"""Bytes and spread of facts at any fleet size: python -m tests.measure_spread N.

The real peer nodes run over the virtual network of the tests, since as many
processes do not fit one machine.
"""

import sys

from citronjunction.conf import models as conf
from citronjunction.membership import facts, topology
from citronjunction.peering import node
from tests.support import virtual

WARM_S = 30
MEASURE_S = 30


class Quiet:
    def __init__(self):
        self.heard_at = None
        self.world = None

    def on_fact(self, fact):
        if isinstance(fact, facts.ConfigurationState):
            self.heard_at = self.world.now

    def on_message(self, link, message):
        """Ignore messages that are not facts."""


def build(size):
    world = virtual.World()
    peers = []
    for number in range(size):
        settings = conf.Settings()
        settings.membership.secret = 'a-secret-for-measurements'
        settings.process.zone = f'z{number % 5}'
        host = world.add_host(f'n{number}')
        listener = Quiet()
        listener.world = world
        held = node.PeerNode(host, settings, f'n{number}', listener)
        held.listen(f'10.0.{number // 250}.{number % 250}', 8081)
        held.start()
        peers.append(held)
    listed = {
        f'n{number}': topology.Node(
            f'n{number}',
            f'10.0.{number // 250}.{number % 250}:8081',
            f'z{number % 5}',
        )
        for number in range(size)
    }
    for number, held in enumerate(peers):
        held.listed_nodes = listed
        Beat(held, listed[f'n{number}']).beat()
    return world, peers


class Beat:
    """Announce a node as an entry does."""

    def __init__(self, held, own):
        self.held = held
        self.own = own
        self.sequence = 0

    def beat(self):
        timers = self.held.loop.timers
        self.sequence += 1
        usage = {f'organisation-{n}|atelier-llm': 1e6 + n for n in range(5)}
        state = facts.EntryState(
            self.own.name, 1, self.sequence, '10.0.0.1:8080',
            self.own.peer_address, self.own.zone, 'r1', timers.wall_time(),
            usage=usage,
        )  # fmt: skip
        self.held.publish(state)
        timers.call_later(
            self.held.liveness.get_heartbeat_period_s(), self.beat
        )


def main():
    size = int(sys.argv[1])
    world, peers = build(size)
    world.run(WARM_S)
    before = sum(held.count_sent_bytes() for held in peers)
    world.run(MEASURE_S)
    sent = sum(held.count_sent_bytes() for held in peers) - before
    start = world.now
    peers[0].publish(facts.ConfigurationState(9, {}))
    world.run(20)
    heard = [held.listener.heard_at for held in peers]
    missing = sum(at is None for at in heard)
    spread_s = max((at or start + 99) for at in heard) - start
    live = min(len(held.liveness.select_live(world.now)) for held in peers)
    print(
        f'nodes {size}: {sent / size / MEASURE_S:.0f} bytes/s a node, '
        f'spread {spread_s:.3f} s, missing {missing}, live {live}, '
        f'period {peers[0].liveness.get_heartbeat_period_s():.1f} s'
    )


if __name__ == '__main__':
    main()
