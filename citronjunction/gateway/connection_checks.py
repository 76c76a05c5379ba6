"""Checks by a connection whether something listens at an address."""

import enum
from collections import abc

from citronjunction.transport import sockets


class Result(enum.Enum):
    """Result of a check."""

    accepted = 'accepted'
    refused = 'refused'
    silent = 'silent'


class ConnectionCheck:
    """Connect to an address once and close the connection."""

    __slots__ = ('connection', 'on_result', 'owner', 'timeout_s')

    def __init__(
        self,
        owner: sockets.Sockets,
        timeout_s: float,
        on_result: abc.Callable[[Result], None],
    ) -> None:
        """Call ``on_result`` once; timeouts are in seconds."""
        self.owner = owner
        self.timeout_s = timeout_s
        self.on_result = on_result
        self.connection: sockets.Connection | None = None

    def start(self, address: str, delay_s: float = 0) -> None:
        """Schedule the connection to an address."""
        self.owner.timers.call_later(delay_s, lambda: self._dial(address))

    def on_open(self) -> None:
        """Close the connection, which was accepted."""
        self.owner.close(self.connection, 'the address accepts connections')

    def on_bytes(self, chunk: bytes) -> None:
        """Ignore bytes, because nothing was requested."""

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report the result."""
        if was_open:
            self.on_result(Result.accepted)
        elif reason == sockets.CONNECT_TIMED_OUT:
            self.on_result(Result.silent)
        else:
            self.on_result(Result.refused)

    def _dial(self, address: str) -> None:
        self.connection = self.owner.dial(address, self, self.timeout_s)
