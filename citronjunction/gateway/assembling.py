"""Construction of the collaborators that all requests of a gateway share."""

from typing import TYPE_CHECKING

from citronjunction.attempts import suspect_parts, suspects
from citronjunction.gateway import (
    choosing,
    context,
    counting,
    fleet,
    forwarding,
    ports,
    quotas,
    reachability,
    rollouts,
)
from citronjunction.membership import facts

if TYPE_CHECKING:
    from citronjunction.gateway import node
    from citronjunction.peering import node as peering


def build_services(
    owner: 'node.GatewayNode', codec: ports.Codec
) -> context.Services:
    """Build the services of a gateway, which gets what they report."""
    settings = owner.settings
    timers = owner.loop.timers
    source = owner.loop.random
    workers = fleet.Fleet()
    reach = reachability.Reachability()
    services = context.Services(
        settings,
        timers,
        owner.loop.client,
        source,
        codec,
        workers,
        choosing.Chooser(workers, settings.process.zone, source),
        quotas.Quotas(settings.quotas.window_s, timers.now()),
        rollouts.Rollouts(source, settings.control.significance),
        suspects.Suspects(settings.attempts),
        suspect_parts.SuspectParts(
            settings.attempts,
            lambda part: owner.peers.roles.owns(str(part)),
        ),
        reach,
        _build_forwarder(owner, reach),
        owner.log,
        counting.Counts(owner.name),
        owner.events,
    )
    services.chooser.rooms.count_entries = services.count_budget_entries
    return services


def _build_forwarder(
    owner: 'node.GatewayNode', reach: reachability.Reachability
) -> forwarding.Forwarder:
    settings = owner.settings
    return forwarding.Forwarder(
        forwarding.Signer(owner.name, settings.membership.secret),
        reach,
        settings.process.zone,
        lambda: _select_forwarding(owner.peers, owner.loop.timers.now()),
        lambda name: owner.sharing.count_running(name),
    )


def _select_forwarding(
    peers: 'peering.PeerNode', now: float
) -> list[facts.EntryState]:
    """Return the live entries that read the marks of forwarded requests.

    Builds that report lost upstreams do; an older one would count a forwarded
    request as another one of the caller.
    """
    return [
        state
        for state in peers.liveness.select_live(now)
        if peers.is_read_by(state, facts.LOST_UPSTREAMS)
    ]
