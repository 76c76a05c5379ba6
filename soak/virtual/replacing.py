"""Replacement of an old build's gateways by present ones during a run."""

from soak.virtual import history
from tests.support import mixed_system

POLL_S = 0.1


def schedule(
    deployed: mixed_system.MixedSystem,
    record: history.History,
    seconds: float,
) -> None:
    """Stop one gateway after the other and start the present build there.

    The steps are spread evenly over so many seconds.
    """
    names = list(deployed.gateways)
    for number, name in enumerate(names):
        replacement = Replacement(deployed, record, name)
        deployed.caller_host.timers.call_later(
            seconds * (number + 0.5) / len(names), replacement.begin
        )


class Replacement:
    """Stop a gateway and start it with the present build once it has ended."""

    def __init__(
        self,
        deployed: mixed_system.MixedSystem,
        record: history.History,
        name: str,
    ) -> None:
        self.deployed = deployed
        self.record = record
        self.name = name
        self.host = deployed.gateway_hosts[name]

    def begin(self) -> None:
        """Tell the gateway to stop."""
        self.host = self.deployed.gateway_hosts[self.name]
        # Whoever starts it again, starts the present build.
        self.deployed.old_names.discard(self.name)
        if self.host.is_alive:
            self.deployed.stop(self.name)
        self._continue()

    def _continue(self) -> None:
        now = self.deployed.world.now
        self.record.disturbances.append(
            history.Span(frozenset((self.name,)), now, now + POLL_S)
        )
        if self.host.is_alive:
            self.deployed.caller_host.timers.call_later(POLL_S, self._continue)
        else:
            self.deployed.start_again(self.name)
