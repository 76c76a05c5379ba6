"""Endpoints that the platform queries: callers' addresses and readiness."""

import json
from collections import abc

from citronjunction.platform import names
from citronjunction.transport import http_server

OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404
MAX_ADDRESSES = 64  # callers ignore further addresses
JSON_HEADERS = {'Content-Type': 'application/json'}
PLAIN_HEADERS = {'Content-Type': 'text/plain'}


class PlainTextErrors:
    """Reject requests with an error of one line of plain text."""

    def reject(
        self,
        exchange: http_server.Exchange,
        status: int,
        reason: str,
    ) -> None:
        """Send an error response."""
        exchange.respond(status, PLAIN_HEADERS, f'{reason}\n'.encode())


class Directory(PlainTextErrors):
    """Serve the addresses that callers may connect to."""

    def __init__(
        self,
        list_addresses: abc.Callable[[], list[str]],
        ttl_s: float,
    ) -> None:
        """Let callers keep the listed addresses for ``ttl_s`` seconds."""
        self.list_addresses = list_addresses
        self.ttl_s = ttl_s

    def handle(self, exchange: http_server.Exchange) -> None:
        """Respond with the addresses, or with 503 if there are none."""
        if exchange.request.path != names.ADDRESSES:
            self.reject(exchange, NOT_FOUND, 'no such resource')
            return
        addresses = self.list_addresses()[:MAX_ADDRESSES]
        status = OK if addresses else UNAVAILABLE
        document = {'addrs': addresses, 'ttlS': self.ttl_s}
        exchange.respond(status, JSON_HEADERS, json.dumps(document).encode())


class Readiness(PlainTextErrors):
    """Serve the readiness probe: whether callers' requests are accepted."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def handle(self, exchange: http_server.Exchange) -> None:
        """Respond with 200 if ready, else with 503."""
        if exchange.request.path != names.READINESS:
            self.reject(exchange, NOT_FOUND, 'no such resource')
            return
        status = OK if self.is_ready() else UNAVAILABLE
        exchange.respond(status, PLAIN_HEADERS, b'')
