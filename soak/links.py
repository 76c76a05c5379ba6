"""Loopback TCP proxies that delay, drop or reset traffic."""

import enum

from citronjunction.transport import runtime, sockets

ADDRESS = '127.0.0.1'
CONNECT_TIMEOUT_S = 2.0
SLOW_DELAY_S = 0.3  # added to each chunk


class Mode(enum.Enum):
    """Select how a link treats its bytes.

    ``silent`` drops the bytes of both directions, ``one_way`` those to the
    caller; connections stay open in both modes.
    """

    forward = 'forward'
    slow = 'slow'
    silent = 'silent'
    one_way = 'one way'
    reset = 'reset'


class Side:
    """Forward the bytes of one connection of a proxied pair to the other."""

    def __init__(self, link: 'Link', is_caller: bool) -> None:
        self.link = link
        self.is_caller = is_caller
        self.connection: sockets.Connection | None = None
        self.other: 'Side | None' = None
        self.unsent: list[bytes] = []

    def on_open(self) -> None:
        """Send the bytes that arrived before the connection was open."""
        for chunk in self.unsent:
            self.link.loop.sockets.send(self.connection, chunk)
        self.unsent.clear()

    def on_bytes(self, chunk: bytes) -> None:
        """Forward, delay or drop bytes, as the link's mode requires."""
        match self.link.mode:
            case Mode.forward:
                self.other.send(chunk)
            case Mode.slow:
                self.link.loop.timers.call_later(
                    SLOW_DELAY_S,
                    lambda: self.other.send(chunk),
                )
            case Mode.one_way if self.is_caller:
                self.other.send(chunk)
            case Mode.reset:
                self.link.loop.sockets.close(self.connection, 'reset')

    def on_close(self, reason: str, was_open: bool) -> None:
        """Close the other connection of the pair."""
        self.link.sides.discard(self)
        self.link.loop.sockets.close(self.other.connection, reason)

    def send(self, chunk: bytes) -> None:
        """Send bytes, or buffer them until the connection is open."""
        if self.connection.is_open:
            self.link.loop.sockets.send(self.connection, chunk)
        elif not self.connection.is_closed:
            self.unsent.append(chunk)


class Link:
    """Listen on a loopback port and forward connections to a target."""

    def __init__(self, loop: runtime.Runtime, target: str) -> None:
        self.loop = loop
        self.target = target
        self.mode = Mode.forward
        self.sides: set[Side] = set()
        port = loop.sockets.listen(ADDRESS, 0, self._accept)
        self.address = f'{ADDRESS}:{port}'

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; a reset also closes all open connections."""
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
            CONNECT_TIMEOUT_S,
        )
        self.sides.update((caller, server))
        return caller
