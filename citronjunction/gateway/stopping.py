"""Graceful shutdown of a gateway."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.gateway import node

REFUSE_AFTER_S = 2.6  # callers have read the new list of addresses by then
# Share of the grace period after which the process ends, before it is killed.
# Requests that still run then are cut off.
GRACE_SHARE = 0.94
IDLE_CHECK_S = 0.1
SETTLE_S = 0.4  # time after the last request for answers in transit


class Stopper:
    """Leave the directory, drain running requests, then end the process."""

    def __init__(self, owner: 'node.GatewayNode') -> None:
        self.owner = owner
        self.is_stopping = False
        self.stopped_at: float = 0
        self.busy_at: float = 0

    def stop(self) -> None:
        """Begin the shutdown; further calls are ignored."""
        if self.is_stopping:
            return
        self.is_stopping = True
        owner = self.owner
        self.stopped_at = owner.loop.timers.now()
        self.busy_at = self.stopped_at
        owner.log.write('stop', owner.name, flows=len(owner.services.flows))
        owner.http_server.is_closing = True
        owner.lease_client.release()
        owner.announcer.announce()
        owner.sharing.publish()
        owner.loop.timers.call_every(IDLE_CHECK_S, self._check)

    def _check(self) -> None:
        owner = self.owner
        now = owner.loop.timers.now()
        waited_s = now - self.stopped_at
        unsent = owner.http_server.count_unsent()
        if owner.services.flows or unsent:
            self.busy_at = now
        if waited_s >= REFUSE_AFTER_S:
            owner.services.is_leaving = True
        is_quiet = now - self.busy_at > SETTLE_S
        is_late = waited_s > owner.settings.gateway.grace_s * GRACE_SHARE
        if is_late or (owner.services.is_leaving and is_quiet):
            owner.log.write(
                'stopped',
                owner.name,
                cut=len(owner.services.flows),
                unsent=unsent,
            )
            owner.loop.stop_loop()
