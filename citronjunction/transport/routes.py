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
    """Send a whole JSON response."""
    body = json.dumps(document).encode()
    exchange.respond(status, {'Content-Type': JSON_TYPE, **headers}, body)


def read_json(exchange: http_server.Exchange) -> dict[str, object] | None:
    """Return the JSON object of the body, or nothing if it is not one."""
    try:
        document = json.loads(exchange.request.body or b'{}')
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Bind a method and a path prefix to a handler."""

    method: str
    prefix: str
    handler: Handler
    is_exact: bool = True

    def accepts(self, path: str) -> bool:
        """Tell whether the path belongs to the route."""
        if self.is_exact:
            return path == self.prefix
        return path.startswith(self.prefix)


class Routes:
    """Answer requests through a table of routes."""

    def __init__(self, routes: abc.Iterable[Route]) -> None:
        """Take the routes; the first that fits is used."""
        self.routes = tuple(routes)

    def handle(self, exchange: http_server.Exchange) -> None:
        """Call the handler of the route with the rest of the path."""
        request = exchange.request
        fitting = [rt for rt in self.routes if rt.accepts(request.path)]
        for route in fitting:
            if request.method in {route.method, 'HEAD'}:
                route.handler(exchange, request.path[len(route.prefix) :])
                return
        if fitting:
            reason = f'{request.path} does not take {request.method}'
            self.reject(exchange, 405, reason)
        else:
            self.reject(exchange, 404, f'no resource at {request.path}')

    def reject(
        self, exchange: http_server.Exchange, status: int, reason: str
    ) -> None:
        """Answer with an error."""
        respond_json(exchange, status, {'error': {'message': reason}})
