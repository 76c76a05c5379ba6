"""Choice of the peers that a node links to."""

import dataclasses
from collections import abc

import xxhash


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """Node to which links can be opened."""

    name: str
    peer_address: str
    zone: str


def choose_peers(
    own: Node,
    nodes: abc.Iterable[Node],
    count: int,
) -> list[Node]:
    """Return the nodes to dial.

    The successor on a hash ring of all nodes keeps the graph connected. The
    others alternate between other data centres and the own one.
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
    local_nodes = [node for node in ranked if node.zone == own.zone]
    remote_nodes = [node for node in ranked if node.zone != own.zone]
    pools = (remote_nodes, local_nodes)
    index = 0
    while len(chosen) < min(count, len(others)):
        pool = pools[index % len(pools)] or pools[(index + 1) % len(pools)]
        index += 1
        node = pool.pop(0)
        if node not in chosen:
            chosen.append(node)
    return chosen


def choose_serving_peer(own: Node, serving: abc.Iterable[Node]) -> Node:
    """Return the serving node to which a standby opens its link.

    Prefer the own data centre. Rendezvous hashing distributes the standbys
    evenly over the serving nodes.
    """
    nodes = list(serving)
    local_nodes = [node for node in nodes if node.zone == own.zone]
    return max(
        local_nodes or nodes,
        key=lambda node: compute_weight(own.name, node.name),
    )


def is_watcher(
    own: Node,
    nodes: abc.Iterable[Node],
    count: int,
) -> bool:
    """Return whether the node watches the store for its data centre."""
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
    """Return the rendezvous weight of a name for a key, same at all nodes."""
    return hash_name(f'{key} {name}')


def hash_name(name: str) -> int:
    """Return a hash of a name, the same at all nodes."""
    return xxhash.xxh3_64_intdigest(name.encode())
