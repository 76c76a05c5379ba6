"""Load reports that a gateway exchanges with its peers."""

from citronjunction.duties import usage
from citronjunction.gateway import (
    context,
    outcomes,
    quota_logging,
    quota_peers,
)
from citronjunction.membership import facts
from citronjunction.peering import node

# Between reports; in each interval use may exceed the quotas unnoticed.
REPORT_INTERVAL_S = 0.25
# Each report reaches every entry. Above this number of reporting entries the
# interval grows in proportion, which keeps the bytes per entry constant.
SMALL_FLEET = 8
MIN_REPORT_INTERVAL_S = 0.05  # limits the number of reports in a flood
# Between reports of a standby entry, multiplied by the number of live entries.
STANDBY_INTERVAL_S = 0.06
# Prompts are prefilled within tenths of a second, so older reports do not
# describe the current queue.
MAX_LOAD_AGE_S = 0.75
LOST_INTERVALS = 4  # missed reports until a peer's load is dropped


class Sharing:
    """Publish this entry's load and merge the loads of its peers."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        ledger: usage.UsageLedger,
        incarnation: int,
    ) -> None:
        self.services = services
        self.peers = peers
        self.ledger = ledger
        self.incarnation = incarnation
        self.sequence = 0
        self.loads: dict[str, facts.LoadState] = {}
        self.received_at: dict[str, float] = {}
        # Version of the duties lease; empty unless this entry holds it.
        self.lease_version = ''
        self.published_at = float('-inf')
        self.was_running = False
        # Peers use this period to decide whether this entry is silent.
        self.reported_period_s: float = 0
        services.quotas.on_unreported_use = self._publish_early

    def start(self) -> None:
        """Start publishing at intervals."""
        self._publish_if_due()
        self.services.timers.call_repeatedly(
            self.get_interval_s, self._publish_if_due
        )

    def get_interval_s(self) -> float:
        """Return the time between reports for the number of busy entries."""
        busy = 1 + sum(bool(load.running) for load in self.loads.values())
        return REPORT_INTERVAL_S * max(1, busy / SMALL_FLEET)

    def publish(self) -> None:
        """Publish the load of this entry, which is also its heartbeat."""
        self.sequence += 1
        services = self.services
        self.published_at = services.timers.now()
        services.quotas.clear_unreported()
        running = services.fleet.measure_load(self.published_at)
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
        """Return the longest time until the next report."""
        interval_s = self.get_interval_s()
        if self.lease_version or not self.peers.roles.stands_by:
            return interval_s
        return max(interval_s, STANDBY_INTERVAL_S * self.peers.roles.live_count)

    def _publish_if_due(self) -> None:
        waited_s = self.services.timers.now() - self.published_at
        is_busy = self.was_running or self.services.flows
        if is_busy or waited_s >= self.reported_period_s:
            self.publish()
        self.services.quotas.peers.expect_activity(
            self.services.timers.now(), self.get_interval_s()
        )

    def merge(self, fact: facts.LoadState) -> None:
        """Merge a peer's report."""
        if fact.name == self.peers.own_name:
            return
        now = self.services.timers.now()
        self._log_first_report(fact, now)
        self.loads[fact.name] = fact
        self.received_at[fact.name] = now
        self.services.quotas.record_report(
            fact.name,
            quota_peers.UseReport(
                fact.incarnation,
                fact.used,
                self._get_peer_period_s(fact),
                fact.sequence,
                is_serving=self.peers.roles.is_serving(fact.name),
            ),
            now,
        )
        self.ledger.merge_report(fact.name, fact.incarnation, fact.windows)
        self.services.fleet.merge_slowdowns(fact.running, now)
        self._merge_loads(now)

    def _log_first_report(self, fact: facts.LoadState, now: float) -> None:
        """Log the use that a peer reports first after its start."""
        peers = self.services.quotas.peers
        known = peers.by_name.get(fact.name)
        if known and known.report.incarnation == fact.incarnation:
            return
        self.services.log.write(
            'first report',
            fact.name,
            incarnation=fact.incarnation,
            sequence=fact.sequence,
            is_known=known is not None,
            used=quota_logging.select_highest(fact.used),
            known_share=peers.measure_known_share(now),
        )

    def _get_peer_period_s(self, fact: facts.LoadState) -> float:
        """Return the longest time until a peer's next report arrives."""
        roles = self.peers.roles
        if not roles.stands_by:
            return fact.period_s
        if fact.name in roles.serving:
            return max(fact.period_s, node.STANDBY_LOADS_S)
        # Standby entries receive each other's reports only by anti-entropy.
        return quota_peers.SILENT_PEER_RESERVE_S

    def apply_role(self) -> None:
        """Adapt the expected report periods of the peers to the new role."""
        roles = self.peers.roles
        if roles.stands_by:
            self.services.quotas.peers.expect_silence(roles.serving)

    def publish_lease(self, version: str) -> None:
        """Publish at once that the lease was renewed.

        An empty ``version`` means that the lease is not held.
        """
        if version != self.lease_version:
            self.lease_version = version
            self.publish()

    def get_offered(self, upstream: str) -> float:
        """Return the prompt tokens offered to an upstream so far.

        The total covers this entry and all live peers.
        """
        own = self.services.offered.get(upstream, 0)
        peers = (load.offered.get(upstream, 0) for load in self.loads.values())
        return own + sum(peers)

    def count_running(self, name: str) -> int:
        """Return the number of requests that a peer last reported."""
        load = self.loads.get(name)
        if load is None:
            return 0
        return sum(counts[0] for counts in load.running.values())

    def is_peer_holder(self) -> bool:
        """Return whether a live peer reports that it holds the duties lease."""
        now = self.services.timers.now()
        return any(
            load.lease_version and self._is_live(name, now)
            for name, load in self.loads.items()
        )

    def expire(self) -> None:
        """Remove peers that have been silent for long."""
        now = self.services.timers.now()
        for name in tuple(self.loads):
            if not self._is_live(name, now):
                self.loads.pop(name)
        self.services.quotas.peers.expire(now)
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
