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

if TYPE_CHECKING:
    from citronjunction.gateway import node


def build_services(
    owner: 'node.GatewayNode', codec: ports.Codec
) -> context.Services:
    """Build the services of a gateway, which gets what they report."""
    settings = owner.settings
    timers = owner.loop.timers
    source = owner.loop.random
    workers = fleet.Fleet()
    reach = reachability.Reachability()
    return context.Services(
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


def _build_forwarder(
    owner: 'node.GatewayNode', reach: reachability.Reachability
) -> forwarding.Forwarder:
    settings = owner.settings
    return forwarding.Forwarder(
        forwarding.Signer(owner.name, settings.membership.secret),
        reach,
        settings.process.zone,
        lambda: owner.peers.liveness.select_live(owner.loop.timers.now()),
        lambda name: owner.sharing.count_running(name),
    )
