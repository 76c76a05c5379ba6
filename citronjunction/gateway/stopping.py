"""Graceful shutdown of a gateway."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronjunction.gateway import node

REFUSE_AFTER_S = 2.6  # callers have read the new list of addresses by then
# Shares of the grace period, at whose end the process is killed.
REFUSE_SHARE = 1 / 3  # of a short one: earlier requests have the rest to end
END_SHARE = 0.94  # requests that still run are answered as failed
EXIT_SHARE = 0.97  # answers that callers have not read by then are cut off
IDLE_CHECK_S = 0.1
SETTLE_S = 0.4  # time after the last request for answers in transit


class Stopper:
    """Leave the directory, drain running requests, then end the process."""

    def __init__(self, owner: 'node.GatewayNode') -> None:
        self.owner = owner
        self.is_stopping = False
        self.busy_at: float = 0
        self.ended_requests = 0

    def stop(self) -> None:
        """Begin the shutdown; further calls are ignored."""
        if self.is_stopping:
            return
        self.is_stopping = True
        owner = self.owner
        timers = owner.loop.timers
        self.busy_at = timers.now()
        owner.log.write('stop', owner.name, flows=len(owner.services.flows))
        owner.http_server.is_closing = True
        owner.lease_client.release()
        owner.announcer.announce()
        owner.sharing.publish()
        grace_s = owner.settings.gateway.grace_s
        timers.call_later(
            min(REFUSE_AFTER_S, grace_s * REFUSE_SHARE), self._refuse_requests
        )
        timers.call_later(grace_s * END_SHARE, self._end_requests)
        timers.call_later(grace_s * EXIT_SHARE, self._exit)
        timers.call_every(IDLE_CHECK_S, self._check)

    def _refuse_requests(self) -> None:
        self.owner.services.is_leaving = True

    def _end_requests(self) -> None:
        """Answer the requests that can't complete before the kill."""
        flows = tuple(self.owner.services.flows)
        self.ended_requests = len(flows)
        for flow in flows:
            flow.expire('the entry stopped before the answer ended', 'stopping')

    def _check(self) -> None:
        owner = self.owner
        now = owner.loop.timers.now()
        if owner.services.flows or owner.http_server.count_unsent():
            self.busy_at = now
        is_quiet = now - self.busy_at > SETTLE_S
        if owner.services.is_leaving and is_quiet:
            self._exit()

    def _exit(self) -> None:
        owner = self.owner
        owner.log.write(
            'stopped',
            owner.name,
            cut=self.ended_requests,
            unsent=owner.http_server.count_unsent(),
        )
        owner.loop.stop_loop()
