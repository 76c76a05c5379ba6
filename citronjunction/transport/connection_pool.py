"""Open connections to servers that no call uses at present."""

from typing import TYPE_CHECKING

from citronjunction.transport import keep_alive, sockets, timer_queue

if TYPE_CHECKING:
    from citronjunction.transport import http_client

MAX_IDLE_PER_ADDRESS = 32  # connections

# Address of the server, and whether its responses are matched to the calls.
# Calls that match none would leave responses that later calls can't tell apart.
Key = tuple[str, bool]


class ConnectionPool:
    """Keep the connections of completed calls for later ones."""

    __slots__ = ('idle', 'sockets', 'timers')

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        timers: timer_queue.TimerQueue,
    ) -> None:
        self.sockets = process_sockets
        self.timers = timers
        self.idle: dict[Key, list[http_client.Exchange]] = {}

    def acquire(
        self, call: 'http_client.Call'
    ) -> 'http_client.Exchange | None':
        """Return a connection that a call may use, if there is one."""
        idle = self.idle.get(call.pool_key)
        now = self.timers.now()
        while idle:
            exchange = idle.pop()
            silent_s = now - exchange.connection.active_at
            if silent_s < exchange.idle_s:
                if silent_s <= call.max_idle_s:
                    return exchange
                idle.append(exchange)
                return None
            self.sockets.close(exchange.connection, 'idle for too long')
        return None

    def keep(self, exchange: 'http_client.Exchange') -> None:
        """Take the connection of a completed call."""
        exchange.idle_s = keep_alive.get_idle_s(exchange.reader.headers)
        idle = self.idle.setdefault(exchange.call.pool_key, [])
        if len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(exchange)
        else:
            self.sockets.close(exchange.connection, 'pool is full')

    def discard(self, exchange: 'http_client.Exchange') -> None:
        """Remove a closed connection."""
        idle = self.idle.get(exchange.call.pool_key)
        if idle and exchange in idle:
            idle.remove(exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to a server."""
        for is_matched in (False, True):
            for exchange in self.idle.pop((address, is_matched), ()):
                self.sockets.close(exchange.connection, 'no longer needed')
