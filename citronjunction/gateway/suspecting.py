"""Tells a worker's crash from a lost answer."""

from collections import abc

from citronjunction.gateway import context, fleet
from citronjunction.membership import facts
from citronjunction.peering import node
from citronjunction.transport import sockets

CONNECT_S = 0.5  # a living worker accepts within milliseconds
CHECK_DELAY_S = 0.1  # a worker that ends closes its listener a little later


class CrashCheck:
    """Connect to a worker that lost a request; a crashed one refuses."""

    __slots__ = ('connection', 'on_down', 'owner')

    def __init__(
        self,
        owner: sockets.Sockets,
        on_down: abc.Callable[[], None],
    ) -> None:
        """Take the sockets and who learns of a crash."""
        self.owner = owner
        self.on_down = on_down
        self.connection: sockets.Connection | None = None

    def start(self, address: str) -> None:
        """Check soon."""
        self.owner.timers.call_later(
            CHECK_DELAY_S,
            lambda: self._dial(address),
        )

    def on_open(self) -> None:
        """Leave a living worker alone."""
        self.owner.close(self.connection, 'the worker accepts connections')

    def on_bytes(self, chunk: bytes) -> None:
        """Ignore bytes that nobody asked for."""

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report a worker that did not accept."""
        if not was_open:
            self.on_down()

    def _dial(self, address: str) -> None:
        self.connection = self.owner.dial(address, self, CONNECT_S)


class CrashReporter:
    """Tell peers which requests were running when a worker crashed."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
    ) -> None:
        """Take the peers and the log."""
        self.services = services
        self.peers = peers

    def check(self, fingerprint: int, worker: fleet.Worker) -> None:
        """Find out whether a worker that lost a request has crashed."""
        check = CrashCheck(
            self.peers.loop.sockets,
            lambda: self._report(fingerprint, worker.entry.name),
        )
        check.start(worker.entry.address)

    def _report(self, fingerprint: int, worker: str) -> None:
        self.services.log.write(
            'suspect request',
            str(fingerprint),
            worker=worker,
        )
        now = self.services.timers.wall()
        self.peers.publish(facts.SuspectRequest(fingerprint, (worker,), now))
