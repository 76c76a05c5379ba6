"""Stand-in of a server that sends bytes without end until it is closed."""

import math

INTERVAL_S = 0.01
UNITS_PER_INTERVAL = 10


class EndlessServer:
    """Answer each connection with a prefix and then a unit again and again.

    It stops after ``most`` units, and keeps the connection open.
    """

    def __init__(self, host, address, prefix, unit, most=math.inf):
        self.host = host
        self.prefix = prefix
        self.unit = unit
        self.most = most
        self.sent = 0
        self.requests = 0
        self.open_connections = 0
        ip, _, port = address.rpartition(':')
        self.port = host.sockets.listen(ip, int(port), self.accept)

    def accept(self, connection):
        self.open_connections += 1
        return EndlessConnection(self, connection)


class EndlessConnection:
    def __init__(self, server, connection):
        self.server = server
        self.connection = connection
        self.has_begun = False
        self.units = 0

    def on_open(self):
        """Do nothing: accepted connections are open."""

    def on_bytes(self, chunk):
        if not self.has_begun:
            self.has_begun = True
            self.server.requests += 1
            self._send(self.server.prefix)
            self._go_on()

    def on_close(self, reason, was_open):
        self.server.open_connections -= 1

    def _go_on(self):
        if self.connection.is_closed:
            return
        if not self.connection.unsent:
            count = min(UNITS_PER_INTERVAL, self.server.most - self.units)
            self.units += count
            self._send(self.server.unit * count)
        self.server.host.timers.call_later(INTERVAL_S, self._go_on)

    def _send(self, chunk):
        self.server.sent += len(chunk)
        self.server.host.sockets.send(self.connection, chunk)
