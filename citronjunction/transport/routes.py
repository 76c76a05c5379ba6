"""Dispatch of HTTP requests by method and path prefix."""

import dataclasses
import json
from collections import abc

from citronjunction.transport import http_server

JSON_TYPE = 'application/json'
NO_HEADERS: abc.Mapping[str, str] = {}
Handler = abc.Callable[[http_server.Exchange, str], None]


def respond_json(
    exchange: http_server.Exchange,
    status: int,
    document: object,
    headers: abc.Mapping[str, str] = NO_HEADERS,
) -> None:
    """Send a complete JSON response."""
    body = json.dumps(document).encode()
    exchange.respond(status, {'Content-Type': JSON_TYPE, **headers}, body)


def read_json(exchange: http_server.Exchange) -> dict[str, object] | None:
    """Return the JSON object in the body, or None if it is not one."""
    try:
        document = json.loads(exchange.request.body or b'{}')
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Bind a method and a path prefix to a handler.

    With ``is_exact`` a path must equal the prefix.
    """

    method: str
    prefix: str
    handler: Handler
    is_exact: bool = True

    def matches(self, path: str) -> bool:
        """Return whether the path belongs to the route."""
        if self.is_exact:
            return path == self.prefix
        return path.startswith(self.prefix)


class Routes:
    """Dispatch requests through a table of routes."""

    def __init__(self, routes: abc.Iterable[Route]) -> None:
        """Use the first route that fits the path and method of a request."""
        self.routes = tuple(routes)

    def handle(self, exchange: http_server.Exchange) -> None:
        """Call the route's handler with the path after its prefix."""
        request = exchange.request
        matching = [
            route for route in self.routes if route.matches(request.path)
        ]
        for route in matching:
            if request.method in {route.method, 'HEAD'}:
                route.handler(exchange, request.path[len(route.prefix) :])
                return
        if matching:
            reason = f'{request.path} does not support {request.method}'
            self.reject(exchange, 405, reason)
        else:
            self.reject(exchange, 404, f'no resource at {request.path}')

    def reject(
        self, exchange: http_server.Exchange, status: int, reason: str
    ) -> None:
        """Send an error response."""
        respond_json(exchange, status, {'error': {'message': reason}})
