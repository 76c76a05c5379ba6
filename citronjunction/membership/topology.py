"""Choice of the peers that a node links to."""

import dataclasses
from collections import abc

import xxhash


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """Describe a node that links may go to."""

    name: str
    peer_address: str
    zone: str


def choose_peers(
    own: Node,
    nodes: abc.Iterable[Node],
    count: int,
) -> list[Node]:
    """Choose which nodes to dial.

    The successor on a ring of all nodes keeps the graph connected, the
    others are alternately of other data centres and of the own one.
    """
    others = [node for node in nodes if node.name != own.name]
    if not others:
        return []
    chosen = [_find_successor(own, others)]
    ranked = sorted(
        others,
        key=lambda node: compute_weight(own.name, node.name),
        reverse=True,
    )
    near = [node for node in ranked if node.zone == own.zone]
    far = [node for node in ranked if node.zone != own.zone]
    pools = (far, near)
    turn = 0
    while len(chosen) < min(count, len(others)):
        pool = pools[turn % len(pools)] or pools[(turn + 1) % len(pools)]
        turn += 1
        node = pool.pop(0)
        if node not in chosen:
            chosen.append(node)
    return chosen


def choose_serving_peer(own: Node, serving: abc.Iterable[Node]) -> Node:
    """Choose the serving node that a node which stands by links to.

    One of its own data centre if there is any; the choices of all nodes
    spread evenly.
    """
    nodes = list(serving)
    near = [node for node in nodes if node.zone == own.zone]
    return max(
        near or nodes, key=lambda node: compute_weight(own.name, node.name)
    )


def is_watcher(
    own: Node,
    nodes: abc.Iterable[Node],
    count: int,
) -> bool:
    """Tell whether the node watches the store for its data centre."""
    zone = [node.name for node in nodes if node.zone == own.zone]
    ranked = sorted({*zone, own.name}, key=hash_name)
    return own.name in ranked[:count]


def _find_successor(own: Node, others: list[Node]) -> Node:
    start = hash_name(own.name)
    return min(
        others,
        key=lambda node: (hash_name(node.name) - start) % (1 << 64),
    )


def compute_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key, alike everywhere."""
    return hash_name(f'{key} {name}')


def hash_name(name: str) -> int:
    """Return a hash of a name, alike everywhere."""
    return xxhash.xxh3_64_intdigest(name.encode())
