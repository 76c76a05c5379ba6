"""Measure the bytes and the spread of facts between N peer nodes.

Run as ``python -m tests.measure_spread N``. The nodes run over the virtual
network of the tests, since one host can't run as many processes.
"""

import sys

from citronjunction.conf import models as conf
from citronjunction.membership import facts, topology
from citronjunction.peering import node
from tests.support import virtual

WARM_S = 30
MEASURE_S = 30


class FactListener:
    def __init__(self):
        self.received_at = None
        self.world = None

    def on_fact(self, fact):
        if isinstance(fact, facts.ConfigurationState):
            self.received_at = self.world.now

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
        listener = FactListener()
        listener.world = world
        peer = node.PeerNode(host, settings, f'n{number}', listener)
        peer.listen(f'10.0.{number // 250}.{number % 250}', 8081)
        peer.start()
        peers.append(peer)
    listed = {
        f'n{number}': topology.Node(
            f'n{number}',
            f'10.0.{number // 250}.{number % 250}:8081',
            f'z{number % 5}',
        )
        for number in range(size)
    }
    for number, peer in enumerate(peers):
        peer.listed_nodes = listed
        Heartbeat(peer, listed[f'n{number}']).publish()
    return world, peers


class Heartbeat:
    """Publish the heartbeats of a node as an entry does."""

    def __init__(self, peer, own):
        self.peer = peer
        self.own = own
        self.sequence = 0

    def publish(self):
        timers = self.peer.loop.timers
        self.sequence += 1
        usage = {f'organisation-{n}|atelier-llm': 1e6 + n for n in range(5)}
        state = facts.EntryState(
            self.own.name, 1, self.sequence, '10.0.0.1:8080',
            self.own.peer_address, self.own.zone, 'r1', timers.wall_time(),
            usage=usage,
        )  # fmt: skip
        self.peer.publish(state)
        timers.call_later(
            self.peer.liveness.get_heartbeat_period_s(), self.publish
        )


def main():
    size = int(sys.argv[1])
    world, peers = build(size)
    world.run(WARM_S)
    before = sum(peer.count_sent_bytes() for peer in peers)
    world.run(MEASURE_S)
    sent = sum(peer.count_sent_bytes() for peer in peers) - before
    start = world.now
    peers[0].publish(facts.ConfigurationState(9, {}))
    world.run(20)
    received = [peer.listener.received_at for peer in peers]
    missing = sum(at is None for at in received)
    spread_s = max((at or start + 99) for at in received) - start
    live = min(len(peer.liveness.select_live(world.now)) for peer in peers)
    print(
        f'nodes {size}: {sent / size / MEASURE_S:.0f} bytes/s a node, '
        f'spread {spread_s:.3f} s, missing {missing}, live {live}, '
        f'period {peers[0].liveness.get_heartbeat_period_s():.1f} s'
    )


if __name__ == '__main__':
    main()
