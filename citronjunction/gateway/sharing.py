"""What a gateway tells its peers and hears from them."""

from citronjunction.duties import usage
from citronjunction.gateway import context, outcomes, quotas
from citronjunction.membership import facts
from citronjunction.peering import node

REPORT_INTERVAL_S = 0.25  # between reports; quotas overshoot by this much use
# Each report reaches every entry, so the interval grows with those that have
# something to tell beyond this number, for the same bytes an entry.
SMALL_FLEET = 8
MIN_REPORT_INTERVAL_S = (
    0.05  # between reports in a flood, which bounds their number
)
STANDBY_INTERVAL_S = (
    0.06  # between reports of an entry that stands by, for each entry
)
# Prompts are read within tenths of a second, so that an older report tells
# nothing of who waits now.
MAX_LOAD_AGE_S = 0.75
LOST_INTERVALS = 4  # without a report until a peer's load is dropped


class Sharing:
    """Publish this entry's load and merge that of its peers."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        ledger: usage.UsageLedger,
        incarnation: int,
    ) -> None:
        """Take what is reported and where peers' reports go."""
        self.services = services
        self.peers = peers
        self.ledger = ledger
        self.incarnation = incarnation
        self.sequence = 0
        self.loads: dict[str, facts.LoadState] = {}
        self.received_at: dict[str, float] = {}
        # Empty unless this entry holds the duties.
        self.lease_version = ''
        self.published_at = float('-inf')
        self.was_running = False
        # Peers count this entry as silent by this period.
        self.reported_period_s: float = 0
        services.quotas.on_unreported_use = self._publish_early

    def start(self) -> None:
        """Start to publish."""
        self._publish_again()

    def get_interval_s(self) -> float:
        """Return the time between reports at the present fleet size."""
        busy = 1 + sum(bool(load.running) for load in self.loads.values())
        return REPORT_INTERVAL_S * max(1, busy / SMALL_FLEET)

    def publish(self) -> None:
        """Tell the load of this entry; it is also its sign of life."""
        self.sequence += 1
        services = self.services
        self.published_at = services.timers.now()
        services.quotas.clear_unreported()
        running = services.fleet.measure_load()
        self.was_running = bool(running)
        self.reported_period_s = self._get_period_s()
        self.peers.publish_now(
            facts.LoadState(
                self.peers.own_name,
                self.incarnation,
                self.sequence,
                running,
                {
                    name: round(used)
                    for name, used in services.quotas.used.items()
                },
                dict(services.offered),
                self.ledger.select_recent(),
                services.fleet.measure_outcomes(self.published_at),
                self.lease_version,
                period_s=self.reported_period_s,
            ),
        )

    def _publish_early(self) -> None:
        waited_s = self.services.timers.now() - self.published_at
        if waited_s >= MIN_REPORT_INTERVAL_S:
            self.publish()

    def _get_period_s(self) -> float:
        """Return the longest time to the next report."""
        interval_s = self.get_interval_s()
        if self.lease_version or not self.peers.roles.stands_by:
            return interval_s
        return max(interval_s, STANDBY_INTERVAL_S * self.peers.roles.live_count)

    def _publish_again(self) -> None:
        waited_s = self.services.timers.now() - self.published_at
        is_busy = self.was_running or self.services.flows
        if is_busy or waited_s >= self.reported_period_s:
            self.publish()
        self.services.timers.call_later(
            self.get_interval_s(),
            self._publish_again,
        )

    def merge(self, fact: facts.LoadState) -> None:
        """Merge a peer's report."""
        if fact.name == self.peers.own_name:
            return
        now = self.services.timers.now()
        self.loads[fact.name] = fact
        self.received_at[fact.name] = now
        self.services.quotas.record_report(
            fact.name,
            fact.incarnation,
            fact.used,
            now,
            self._get_peer_period_s(fact),
        )
        self.ledger.take_report(fact.name, fact.incarnation, fact.windows)
        self._merge_loads(now)

    def _get_peer_period_s(self, fact: facts.LoadState) -> float:
        """Return when the next report of a peer arrives at the latest."""
        roles = self.peers.roles
        if not roles.stands_by:
            return fact.period_s
        if fact.name in roles.serving:
            return max(fact.period_s, node.STANDBY_LOADS_S)
        # Entries that stand by hear of each other by anti-entropy alone.
        return quotas.SILENT_PEER_RESERVE_S

    def apply_role(self) -> None:
        """Expect reports of the peers as fits the new role."""
        roles = self.peers.roles
        for name, peer in self.services.quotas.peers.items():
            if roles.stands_by and name not in roles.serving:
                peer.period_s = quotas.SILENT_PEER_RESERVE_S

    def publish_lease(self, version: str) -> None:
        """Tell at once that the lease was renewed or, if empty, is not held."""
        if version != self.lease_version:
            self.lease_version = version
            self.publish()

    def get_offered(self, upstream: str) -> float:
        """Return the prompt tokens offered to all live entries so far."""
        own = self.services.offered.get(upstream, 0)
        peers = (load.offered.get(upstream, 0) for load in self.loads.values())
        return own + sum(peers)

    def is_peer_holder(self) -> bool:
        """Tell whether a live peer says that it holds the duties."""
        now = self.services.timers.now()
        return any(
            load.lease_version and self._is_live(name, now)
            for name, load in self.loads.items()
        )

    def expire(self) -> None:
        """Forget peers that are silent for long."""
        now = self.services.timers.now()
        for name in tuple(self.loads):
            if not self._is_live(name, now):
                self.loads.pop(name)
        self.services.quotas.expire(now)
        self._merge_loads(now)

    def _is_live(self, name: str, now: float) -> bool:
        limit_s = max(
            self.services.settings.membership.lost_after_s,
            LOST_INTERVALS * self.loads[name].period_s,
        )
        return now - self.received_at.get(name, 0) <= limit_s

    def _merge_loads(self, now: float) -> None:
        fresh = [
            load
            for name, load in self.loads.items()
            if now - self.received_at[name] <= MAX_LOAD_AGE_S
        ]
        self.services.fleet.set_peer_loads(load.running for load in fresh)
        outcomes.set_peer_outcomes(
            self.services,
            (load.outcomes for load in fresh),
        )
