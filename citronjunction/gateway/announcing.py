"""What an entry announces about itself and lists for callers."""

from typing import TYPE_CHECKING

from citronjunction.membership import facts

if TYPE_CHECKING:
    from citronjunction.gateway import node


class Announcer:
    """Publish the entry's state and role; ``sequence`` orders its states."""

    def __init__(self, owner: 'node.GatewayNode') -> None:
        self.owner = owner
        self.sequence = 0
        self.announced_at: float = 0

    def announce(self) -> None:
        """Publish the state of this entry; revision 0 means not ready."""
        owner = self.owner
        self.sequence += 1
        self.announced_at = owner.loop.timers.now()
        process = owner.settings.process
        configuration = owner.services.configuration
        is_ready = owner.is_ready()
        roles = owner.peers.roles
        owner.peers.publish(
            facts.EntryState(
                owner.name,
                owner.incarnation,
                self.sequence,
                owner.settings.listeners.front,
                owner.settings.listeners.control,
                process.zone,
                process.region,
                owner.clock.now(),
                owner.stopper.is_stopping,
                configuration.version if configuration and is_ready else 0,
                len(owner.services.flows),
                cores=process.cores,
                period_s=roles.get_own_period_s(),
                stands_by=roles.stands_by,
                store_era=owner.eras.current,
            ),
        )

    def send_heartbeat(self) -> None:
        """Announce a changed role, and the state when it is due."""
        self._review_role()
        peers = self.owner.peers
        period_s = peers.roles.get_own_period_s()
        period_s = period_s or peers.liveness.get_heartbeat_period_s()
        if self.owner.loop.timers.now() - self.announced_at >= period_s:
            self.announce()

    def list_addresses(self) -> list[str]:
        """Return the addresses of entries that serve callers, shuffled.

        Entries that reach no worker are only listed if there are no others.
        """
        owner = self.owner
        owner.peers.update_roles()
        roles = owner.peers.roles
        reach = owner.services.reach
        is_cut_off = {
            state.address: reach.is_peer_cut_off(state)
            for state in roles.serving.values()
            if state.name != owner.name and state.revision
        }
        if owner.is_ready() and not (roles.stands_by and is_cut_off):
            own_address = owner.settings.listeners.front
            checker = owner.peer_exchange.reach_checker
            is_cut_off[own_address] = checker.is_cut_off()
        reaching = [
            address for address, is_cut in is_cut_off.items() if not is_cut
        ]
        listed = sorted(reaching or is_cut_off)
        owner.loop.random.shuffle(listed)
        return listed

    def _review_role(self) -> None:
        owner = self.owner
        roles = owner.peers.roles
        stands_by = roles.stands_by
        is_divided = roles.has_standby() and not stands_by
        owner.services.serving_count = len(roles.serving) * is_divided
        if stands_by is owner.watcher.is_following:
            return
        owner.log.write(
            'role',
            owner.name,
            stands_by=stands_by,
            serving=len(roles.serving),
            live=roles.live_count,
        )
        owner.watcher.set_following(is_following=stands_by)
        owner.sharing.apply_role()
        self.announce()
