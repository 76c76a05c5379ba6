"""Dispatch of a gateway's peer messages to the parts that use them."""

from citronjunction.duties import clock, usage
from citronjunction.gateway import (
    constraint_sharing,
    context,
    copying,
    crash_reporting,
    easing,
    pace_keeping,
    reach_checking,
    sharing,
    sources,
    trials,
    watching,
)
from citronjunction.membership import facts, messages
from citronjunction.peering import node
from citronjunction.transport import links

# Time after which a peer's newer configuration must have come from the store.
MAX_LAG_S = 1.0


class PeerExchange:
    """Exchange load, evidence and copies of stored objects with peers."""

    def __init__(
        self,
        services: context.Services,
        watcher: watching.Watcher,
        peers: node.PeerNode,
        ledger: usage.UsageLedger,
        steady_clock: clock.SteadyClock,
        incarnation: int,
    ) -> None:
        self.services = services
        self.watcher = watcher
        self.lagging_version = 0
        self.lagging_since: float = 0
        self.copying = copying.Copying(services, watcher, peers)
        self.sources = sources.Sources(services, watcher, peers, self.copying)
        self.crash_reporter = crash_reporting.CrashReporter(
            services, peers, steady_clock
        )
        self.constraint_sharing = constraint_sharing.ConstraintSharing(
            services, peers, steady_clock, incarnation
        )
        peers.gossip.adapt = easing.Easing(services.fleet, peers.own_name).adapt
        self.reach_checker = reach_checking.ReachChecker(
            services, peers, steady_clock, incarnation
        )
        self.pace_keeper = pace_keeping.PaceKeeper(
            services.fleet.pacer, peers, services.log
        )
        self.trial_assessor = trials.TrialAssessor(services, peers, incarnation)
        self.sharing = sharing.Sharing(
            services,
            peers,
            ledger,
            incarnation,
        )

    def start(self) -> None:
        """Start the timers of all parts."""
        self.sharing.start()
        self.copying.start()
        self.sources.start()
        self.trial_assessor.start()
        self.reach_checker.start()
        self.services.timers.call_every(
            pace_keeping.INTERVAL_S, self.pace_keeper.step
        )

    def on_fact(self, fact: facts.Fact) -> None:
        """Process a fact other than an entry's state."""
        match fact:
            case facts.LoadState():
                self.sharing.merge(fact)
            case facts.WithdrawnVersion():
                self.trial_assessor.apply_withdrawal(fact)
            case facts.SuspectRequest():
                self.services.suspects.record_crash(
                    fact.fingerprint,
                    frozenset(fact.workers),
                    self.services.timers.now(),
                )
            case facts.SuspectPart():
                self.crash_reporter.apply_part(fact)
            case facts.LostUpstreams():
                self.reach_checker.apply_report(fact)
            case _:
                self.constraint_sharing.on_fact(fact)

    def on_message(
        self,
        link: links.Link,
        message: messages.Message,
    ) -> None:
        """Process a message about stored objects."""
        self.copying.on_message(link, message)

    def on_peer_version(self, version: int) -> None:
        """Fetch the configuration if a peer has a newer version."""
        known = self.services.configuration
        if known is None or version <= known.version:
            return
        kind = self.watcher.decoder.configuration_kind
        self.watcher.refresh(kind)
        now = self.services.timers.now()
        if version != self.lagging_version:
            self.lagging_version = version
            self.lagging_since = now
        if now - self.lagging_since < MAX_LAG_S:
            self.copying.ask_for(kind)
            return
        # The store seems to lack this version, as after a restore.
        self.lagging_since = now
        self.copying.ask_for_any(kind)
