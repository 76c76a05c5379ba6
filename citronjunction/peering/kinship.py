"""Links among entries of one dialect in a fleet of several builds.

Facts that other builds don't read, and therefore don't relay, reach all
entries that read them over these links.
"""

from collections import abc

from citronjunction.membership import dialects, facts, messages, topology
from citronjunction.peering import roles


def choose_kin(
    own: topology.Node,
    usable: abc.Iterable[topology.Node],
    live: abc.Collection[facts.EntryState],
    own_roles: roles.Roles,
    count: int,
) -> list[topology.Node]:
    """Return the entries of the own dialect to dial; none if all are."""
    kin_names = {
        state.name
        for state in live
        if dialects.get_number(state) == messages.OWN_NUMBER
    }
    if all(state.name in kin_names | {own.name} for state in live):
        return []
    kin = [node for node in usable if node.name in kin_names - {own.name}]
    serving = [node for node in kin if node.name in own_roles.serving]
    if not own_roles.has_standby() or not serving:
        return topology.choose_peers(own, kin, count)
    if own_roles.stands_by:
        return [topology.choose_serving_peer(own, serving)]
    return serving
