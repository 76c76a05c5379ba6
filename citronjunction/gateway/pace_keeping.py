"""Connection of the pacer with configuration, settings and peers."""

from citronjunction.conf import models as conf
from citronjunction.gateway import models
from citronjunction.observability import decisions
from citronjunction.pacing import models as pacing, pacer, roster
from citronjunction.peering import node

INTERVAL_S = 0.25  # between updates of what is known of the peers
LOG_INTERVAL_S = 1.0
# After the last state of an entry that leaves, until it is no longer known.
LEFT_S = 10.0


def build_pacer(settings: conf.Settings, now: float) -> pacer.Pacer:
    """Return the pacer of a process that has just started."""
    seeds = _list_seeds(settings)
    return pacer.Pacer(
        roster.Roster(settings.process.name, now, has_seeds=bool(seeds))
    )


class PaceKeeper:
    """Tell the pacer the bounds and what is known of the peers."""

    __slots__ = (
        'cold_starts',
        'log',
        'logged_at',
        'logged_version',
        'pacer',
        'peers',
        'seeds',
    )

    def __init__(
        self,
        worker_pacer: pacer.Pacer,
        peers: node.PeerNode,
        log: decisions.DecisionLog,
    ) -> None:
        self.pacer = worker_pacer
        self.peers = peers
        self.log = log
        # The last usable figures of each upstream.
        self.cold_starts: dict[str, models.ColdStart] = {}
        self.seeds = _list_seeds(peers.settings)
        self.logged_at: float = 0
        self.logged_version = worker_pacer.roster.version

    def apply(self, configuration: models.Configuration) -> None:
        """Apply the figures of a configuration.

        The last ones stay in force in place of those that can't be used.
        """
        last = self.cold_starts
        self.cold_starts = {
            name: policy.cold_start or last.get(name, models.NO_COLD_START)
            for name, policy in configuration.upstreams.items()
        }
        for name, cold_start in self.cold_starts.items():
            if last.get(name, models.NO_COLD_START) != cold_start:
                self._log_bound(name, cold_start)
        self.pacer.apply(
            {
                name: self._build_bound(cold_start)
                for name, cold_start in self.cold_starts.items()
                if cold_start.per_s
            }
        )

    def step(self) -> None:
        """Update the pacer if any upstream is paced."""
        if not self.pacer.bounds:
            return
        now = self.peers.loop.timers.now()
        self.pacer.step(now)
        self.pacer.roster.update(self._collect(now), now)
        self._log_change(now)

    def _build_bound(self, cold_start: models.ColdStart) -> pacing.Bound:
        settings = self.peers.settings.pacing
        return pacing.build_bound(
            cold_start.per_s,
            cold_start.cold_s,
            settings.cold_overrun,
            settings.cold_slack,
        )

    def _log_bound(self, name: str, cold_start: models.ColdStart) -> None:
        bound = self._build_bound(cold_start)
        self.log.write(
            'pace bound',
            name,
            per_s=cold_start.per_s,
            cold_s=cold_start.cold_s,
            pooled=bound.pooled,
            reserved=bound.reserved,
            cold=bound.cold,
        )

    def _collect(self, now: float) -> roster.Peers:
        liveness = self.peers.liveness
        known = [
            observed.state
            for observed in liveness.observed_entries.values()
            if not observed.state.is_leaving or now - observed.seen_at < LEFT_S
        ]
        addresses = {state.peer_address for state in known}
        return roster.Peers(
            [state.name for state in known],
            [state.name for state in liveness.select_live(now)],
            list(self.peers.roles.serving),
            self.seeds <= addresses,
        )

    def _log_change(self, now: float) -> None:
        entries = self.pacer.roster
        is_due = now - self.logged_at >= LOG_INTERVAL_S
        if entries.version == self.logged_version or not is_due:
            return
        self.logged_version = entries.version
        self.logged_at = now
        self.log.write(
            'pace view',
            entries.own_name,
            known=len(entries.view.known),
            heard=len(entries.view.heard),
            delegates=len(entries.view.delegates),
            has_share=self.pacer.has_share(),
        )


def _list_seeds(settings: conf.Settings) -> frozenset[str]:
    """Return the addresses of the seeds other than this process."""
    seeds = settings.membership.seeds.split(',')
    addresses = frozenset(seed.strip() for seed in seeds if seed.strip())
    return addresses - {settings.listeners.control}
