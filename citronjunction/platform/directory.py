"""What the platform asks an entry: addresses for callers, readiness."""

import json
from collections import abc

from citronjunction.platform import names
from citronjunction.transport import http_server

OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404
MAX_ADDRESSES = 64  # callers read no more
JSON_HEADERS = {'Content-Type': 'application/json'}
PLAIN_HEADERS = {'Content-Type': 'text/plain'}


class Plain:
    """Reject requests with a line of plain text."""

    def reject(
        self,
        exchange: http_server.Exchange,
        status: int,
        reason: str,
    ) -> None:
        """Answer with an error."""
        exchange.respond(status, PLAIN_HEADERS, f'{reason}\n'.encode())


class Directory(Plain):
    """Answer which addresses callers may connect to."""

    def __init__(
        self,
        list_addresses: abc.Callable[[], list[str]],
        keep_s: float,
    ) -> None:
        """Take the source of addresses and how long callers keep them."""
        self.list_addresses = list_addresses
        self.keep_s = keep_s

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer with the addresses, or that none is known."""
        if exchange.request.path != names.ADDRESSES:
            self.reject(exchange, NOT_FOUND, 'no such resource')
            return
        addresses = self.list_addresses()[:MAX_ADDRESSES]
        status = OK if addresses else UNAVAILABLE
        document = {'addrs': addresses, 'ttlS': self.keep_s}
        exchange.respond(status, JSON_HEADERS, json.dumps(document).encode())


class Readiness(Plain):
    """Answer whether the entry takes callers' requests."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        """Take the source of the state."""
        self.is_ready = is_ready

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer 200 or 503."""
        if exchange.request.path != names.READINESS:
            self.reject(exchange, NOT_FOUND, 'no such resource')
            return
        status = OK if self.is_ready() else UNAVAILABLE
        exchange.respond(status, PLAIN_HEADERS, b'')
