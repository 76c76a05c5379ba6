"""All that a gateway exchanges with its peers."""

from citronjunction.duties import usage
from citronjunction.gateway import (
    context,
    copying,
    sharing,
    suspecting,
    trials,
    watching,
)
from citronjunction.membership import facts, messages
from citronjunction.peering import node
from citronjunction.transport import links


class PeerExchange:
    """Join load, evidence and copies of stored objects."""

    def __init__(
        self,
        services: context.Services,
        watcher: watching.Watcher,
        peers: node.PeerNode,
        ledger: usage.UsageLedger,
        incarnation: int,
    ) -> None:
        """Take what is told and where news of the peers go."""
        self.services = services
        self.watcher = watcher
        self.copying = copying.Copying(services, watcher, peers)
        self.suspecting = suspecting.CrashReporter(services, peers)
        self.trials = trials.Trials(services, peers, incarnation)
        self.sharing = sharing.Sharing(
            services,
            peers,
            ledger,
            incarnation,
        )

    def start(self) -> None:
        """Start all timers."""
        self.sharing.start()
        self.copying.start()
        self.trials.start()

    def on_fact(self, fact: facts.Fact) -> None:
        """Take a fact that is not about an entry's place."""
        match fact:
            case facts.LoadState():
                self.sharing.merge(fact)
            case facts.WithdrawnVersion():
                self.trials.apply_withdrawal(fact)
            case facts.SuspectRequest():
                self.services.suspects.record_crash(
                    fact.fingerprint,
                    frozenset(fact.workers),
                    self.services.timers.now(),
                )

    def on_message(
        self,
        link: links.Link,
        message: messages.Message,
    ) -> None:
        """Take a message about stored objects."""
        self.copying.on_message(link, message)

    def on_peer_version(self, version: int) -> None:
        """Learn which configuration a peer has."""
        known = self.services.configuration
        if known is None or version <= known.version:
            return
        kind = self.watcher.decoder.configuration_kind
        self.watcher.refresh(kind)
        self.copying.ask_for(kind)
