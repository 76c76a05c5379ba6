"""Gossip over unreliable links: facts reach all nodes and never revert."""

import random

from hypothesis import settings, stateful
from hypothesis import strategies as st

from citronjunction.membership import facts, gossip, messages, table

SIZE = 4
NOW_S = 1000.0


class Node:
    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.restart()

    def restart(self):
        self.table = table.FactTable()
        self.gossip = gossip.GossipProtocol(self.table, random.Random(1))


class Spreading(stateful.RuleBasedStateMachine):
    """Links open, close, lose, repeat and reorder messages; nodes restart."""

    def __init__(self):
        super().__init__()
        self.nodes = {
            f'n{number}': Node(f'n{number}') for number in range(SIZE)
        }
        self.links = set()
        self.wires = {}
        self.revision = 0
        self.highest = dict.fromkeys(self.nodes, 0)
        for number in range(SIZE):
            self.open_link(number, (number + 1) % SIZE)
        self.settle()

    def settle(self):
        for _ in range(8):
            for name, node in self.nodes.items():
                self.post(name, node.gossip.flush())
            self.deliver_all()

    def deliver_all(self):
        for (sender, receiver), queue in list(self.wires.items()):
            while queue:
                self.deliver(sender, receiver, queue.pop(0))

    def post(self, sender, outgoing):
        for item in outgoing:
            encoded = messages.encode(item.message)
            self.wires.setdefault((sender, item.link), []).append(encoded)

    def deliver(self, sender, receiver, encoded):
        protocol = self.nodes[receiver].gossip
        match messages.decode(encoded):
            case messages.Facts() as message:
                protocol.receive_facts(sender, message, NOW_S)
            case messages.Digest() as message:
                self.post(receiver, protocol.receive_digest(sender, message))
            case messages.Want() as message:
                protocol.receive_want(sender, message)

    @stateful.rule(a=st.integers(0, SIZE - 1), b=st.integers(0, SIZE - 1))
    def open_link(self, a, b):
        one, other = f'n{a}', f'n{b}'
        if one == other or frozenset((one, other)) in self.links:
            return
        self.links.add(frozenset((one, other)))
        self.post(one, self.nodes[one].gossip.open_link(other))
        self.post(other, self.nodes[other].gossip.open_link(one))

    @stateful.precondition(lambda self: self.links)
    @stateful.rule(pick=st.integers(0, 20))
    def close_link(self, pick):
        one, other = sorted(
            sorted(map(sorted, self.links))[pick % len(self.links)]
        )
        self.links.discard(frozenset((one, other)))
        for sender, receiver in ((one, other), (other, one)):
            self.nodes[sender].gossip.close_link(receiver)
            self.wires.pop((sender, receiver), None)

    @stateful.rule(pick=st.integers(0, SIZE - 1))
    def publish(self, pick):
        self.revision += 1
        fact = facts.ConfigurationState(self.revision, {'r': self.revision})
        self.nodes[f'n{pick}'].gossip.publish(fact, NOW_S)
        self.flush(pick, True)

    @stateful.rule(pick=st.integers(0, SIZE - 1), worker=st.sampled_from('abc'))
    def suspect(self, pick, worker):
        fact = facts.SuspectRequest(5, (worker,), NOW_S)
        self.nodes[f'n{pick}'].gossip.publish(fact, NOW_S)

    @stateful.rule(pick=st.integers(0, SIZE - 1), urgent=st.booleans())
    def flush(self, pick, urgent):
        name = f'n{pick}'
        flushed = self.nodes[name].gossip.flush(only_urgent=urgent)
        self.post(name, flushed)

    @stateful.rule(pick=st.integers(0, SIZE - 1))
    def synchronise(self, pick):
        name = f'n{pick}'
        self.post(name, self.nodes[name].gossip.synchronise())

    @stateful.rule(
        pick=st.integers(0, 99),
        how=st.sampled_from(['first', 'last', 'lose', 'repeat']),
    )
    def receive(self, pick, how):
        busy = sorted(key for key, queue in self.wires.items() if queue)
        if not busy:
            return
        sender, receiver = busy[pick % len(busy)]
        queue = self.wires[(sender, receiver)]
        encoded = queue.pop(-1 if how == 'last' else 0)
        if how != 'lose':
            self.deliver(sender, receiver, encoded)
        if how == 'repeat':
            self.deliver(sender, receiver, encoded)

    @stateful.rule()
    def lose_all(self):
        self.wires.clear()

    @stateful.rule(pick=st.integers(0, SIZE - 1))
    def restart(self, pick):
        name = f'n{pick}'
        for link in [pair for pair in self.links if name in pair]:
            one, other = link
            self.links.discard(link)
            self.nodes[one].gossip.close_link(other)
            self.nodes[other].gossip.close_link(one)
            self.wires.pop((one, other), None)
            self.wires.pop((other, one), None)
        self.nodes[name].restart()
        self.highest[name] = 0

    @stateful.invariant()
    def configuration_never_reverts(self):
        for name, node in self.nodes.items():
            fact = node.table.facts_by_key.get('configuration')
            revision = fact.revision if fact else 0
            assert revision >= self.highest[name]
            self.highest[name] = revision

    def teardown(self):
        """Check that all nodes have the same facts once links are restored."""
        for a in range(SIZE):
            self.open_link(a, (a + 1) % SIZE)
        for _ in range(30):
            for name, node in self.nodes.items():
                self.post(name, node.gossip.synchronise())
            self.settle()
        tables = [node.table.facts_by_key for node in self.nodes.values()]
        assert all(facts_by_key == tables[0] for facts_by_key in tables)


TestSpreading = Spreading.TestCase
TestSpreading.settings = settings(
    max_examples=120, stateful_step_count=50, derandomize=True, deadline=None
)


def test_a_fact_is_sent_about_once_per_link():
    names = [f'n{number}' for number in range(8)]
    nodes = {name: Node(name) for name in names}
    for index, name in enumerate(names):
        for step in (1, 3):
            peer = names[(index + step) % 8]
            nodes[name].gossip.open_link(peer)
            nodes[peer].gossip.open_link(name)
    fact = facts.ConfigurationState(1, {})
    nodes['n0'].gossip.publish(fact, NOW_S)
    sent = 0
    for _ in range(8):
        for name, node in nodes.items():
            for item in node.gossip.flush():
                sent += 1
                peer = nodes[item.link].gossip
                peer.receive_facts(name, item.message, NOW_S)
    assert all(
        'configuration' in node.table.facts_by_key for node in nodes.values()
    )
    assert sent <= 16 + 8
