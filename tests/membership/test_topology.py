"""Choice of links: one connected graph, bounded links per node."""

import pytest

from citronjunction.membership import topology


def build(count, zones=5):
    return [
        topology.Node(f'n{number}', f'a{number}', f'z{number % zones}')
        for number in range(count)
    ]


@pytest.mark.parametrize('count', [1, 2, 7, 37, 370])
def test_the_graph_is_connected_with_bounded_links(count):
    nodes = build(count)
    edges = {}
    for node in nodes:
        chosen = topology.choose_peers(node, nodes, 3)
        assert len(chosen) == min(3, count - 1)
        for peer in chosen:
            edges.setdefault(node.name, set()).add(peer.name)
            edges.setdefault(peer.name, set()).add(node.name)
    reached = {'n0'}
    todo = ['n0']
    while todo:
        for peer in edges.get(todo.pop(), ()):
            if peer not in reached:
                reached.add(peer)
                todo.append(peer)
    assert len(reached) == count
    assert max(map(len, edges.values()), default=0) <= 16


def test_every_data_centre_has_its_watchers():
    nodes = build(37)
    chosen = [node for node in nodes if topology.is_watcher(node, nodes, 2)]
    zones = [node.zone for node in chosen]
    assert all(zones.count(f'z{number}') == 2 for number in range(5))
