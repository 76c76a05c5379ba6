"""HTTP route that serves a gateway's metrics."""

import functools

from citronjunction.gateway import counting
from citronjunction.transport import http_server, routes

PATH = '/metrics'
CONTENT_TYPE = 'text/plain; version=1.0.0; charset=utf-8'


def build_routes(counts: counting.Counts) -> routes.Routes:
    """Return the route that renders the counts in the Prometheus format."""
    render = functools.partial(_render, counts)
    return routes.Routes([routes.Route('GET', PATH, render)])


def _render(
    counts: counting.Counts,
    exchange: http_server.Exchange,
    _: str,
) -> None:
    headers = {'Content-Type': CONTENT_TYPE}
    exchange.respond(200, headers, counts.render())
