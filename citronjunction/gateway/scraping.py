"""Metrics of a gateway over HTTP."""

from citronjunction.gateway import counting
from citronjunction.transport import front, routes

PATH = '/metrics'
CONTENT_TYPE = 'text/plain; version=1.0.0; charset=utf-8'


class Scraping:
    """Answer scrapes in the Prometheus format."""

    def __init__(self, held: counting.Counts) -> None:
        """Take the counts of the process."""
        self.counts = held
        self.routes = routes.Routes([routes.Route('GET', PATH, self._render)])

    def handle(self, exchange: front.Exchange) -> None:
        """Answer with all metrics."""
        self.routes.handle(exchange)

    def reject(
        self,
        exchange: front.Exchange,
        status: int,
        reason: str,
    ) -> None:
        """Answer with an error."""
        self.routes.reject(exchange, status, reason)

    def _render(self, exchange: front.Exchange, _: str) -> None:
        headers = {'Content-Type': CONTENT_TYPE}
        exchange.respond(200, headers, self.counts.render())
