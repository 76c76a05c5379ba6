"""Detection of worker crashes, which make the running requests suspect."""

from collections import abc

from citronjunction.gateway import context, fleet
from citronjunction.membership import facts
from citronjunction.peering import node
from citronjunction.transport import sockets

CONNECT_S = 0.5  # a running worker accepts within milliseconds
CHECK_DELAY_S = 0.1  # a worker that ends closes its listener a bit later


class CrashCheck:
    """Test by a connection whether a worker crashed.

    A crashed worker refuses the connection; one that only lost an answer
    accepts it.
    """

    __slots__ = ('connection', 'on_down', 'owner')

    def __init__(
        self,
        owner: sockets.Sockets,
        on_down: abc.Callable[[], None],
    ) -> None:
        """Call ``on_down`` if the worker does not accept."""
        self.owner = owner
        self.on_down = on_down
        self.connection: sockets.Connection | None = None

    def start(self, address: str) -> None:
        """Schedule the connection to an address."""
        self.owner.timers.call_later(
            CHECK_DELAY_S,
            lambda: self._dial(address),
        )

    def on_open(self) -> None:
        """Close the connection to a worker that runs."""
        self.owner.close(self.connection, 'the worker accepts connections')

    def on_bytes(self, chunk: bytes) -> None:
        """Ignore bytes, because nothing was requested."""

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report a worker that did not accept the connection."""
        if not was_open:
            self.on_down()

    def _dial(self, address: str) -> None:
        self.connection = self.owner.dial(address, self, CONNECT_S)


class CrashReporter:
    """Publish the requests that were running when a worker crashed."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
    ) -> None:
        self.services = services
        self.peers = peers

    def check(self, fingerprint: int, worker: fleet.Worker) -> None:
        """Check whether a worker that lost a request has crashed."""
        check = CrashCheck(
            self.peers.loop.sockets,
            lambda: self._report(fingerprint, worker.registration.name),
        )
        check.start(worker.registration.address)

    def _report(self, fingerprint: int, worker: str) -> None:
        self.services.log.write(
            'suspect request',
            str(fingerprint),
            worker=worker,
        )
        now = self.services.timers.wall_time()
        self.peers.publish(facts.SuspectRequest(fingerprint, (worker,), now))
