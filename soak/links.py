"""Loopback proxy of one address, with a link that can be harmed."""

import enum

from citronjunction.transport import runtime, sockets

ADDRESS = '127.0.0.1'
CONNECT_S = 2.0
DELAY_S = 0.3  # of each chunk on a slow link


class Mode(enum.Enum):
    """Say what happens to the bytes of a link."""

    whole = 'whole'
    slow = 'slow'
    silent = 'silent'
    one_way = 'one way'
    reset = 'reset'


class Side:
    """Pass what arrives on one connection to the other."""

    def __init__(self, link: 'Link', is_caller: bool) -> None:
        """Take the link and which end of it this is."""
        self.link = link
        self.is_caller = is_caller
        self.connection: sockets.Connection | None = None
        self.other: 'Side | None' = None
        self.kept: list[bytes] = []

    def on_open(self) -> None:
        """Send what came before the connection stood."""
        for chunk in self.kept:
            self.link.loop.sockets.send(self.connection, chunk)
        self.kept.clear()

    def on_bytes(self, chunk: bytes) -> None:
        """Pass bytes on as the link's mode says."""
        match self.link.mode:
            case Mode.whole:
                self.other.send(chunk)
            case Mode.slow:
                self.link.loop.timers.call_later(
                    DELAY_S,
                    lambda: self.other.send(chunk),
                )
            case Mode.one_way if self.is_caller:
                self.other.send(chunk)
            case Mode.reset:
                self.link.loop.sockets.close(self.connection, 'reset')

    def on_close(self, reason: str, was_open: bool) -> None:
        """Close the other side too."""
        self.link.sides.discard(self)
        self.link.loop.sockets.close(self.other.connection, reason)

    def send(self, chunk: bytes) -> None:
        """Send bytes, or keep them until the connection stands."""
        if self.connection.is_open:
            self.link.loop.sockets.send(self.connection, chunk)
        elif not self.connection.is_closed:
            self.kept.append(chunk)


class Link:
    """Listen on a port of its own and connect on to a target."""

    def __init__(self, loop: runtime.Runtime, target: str) -> None:
        """Take the loop and the address that connections lead to."""
        self.loop = loop
        self.target = target
        self.mode = Mode.whole
        self.sides: set[Side] = set()
        port = loop.sockets.listen(ADDRESS, 0, self._accept)
        self.address = f'{ADDRESS}:{port}'

    def harm(self, mode: Mode) -> None:
        """Change what happens to bytes; a reset also closes connections."""
        self.mode = mode
        if mode is Mode.reset:
            for side in tuple(self.sides):
                self.loop.sockets.close(side.connection, 'reset')

    def _accept(self, connection: sockets.Connection) -> Side:
        caller = Side(self, is_caller=True)
        server = Side(self, is_caller=False)
        caller.other = server
        server.other = caller
        caller.connection = connection
        server.connection = self.loop.sockets.dial(
            self.target,
            server,
            CONNECT_S,
        )
        self.sides.update((caller, server))
        return caller
