"""Stand-in of the weight store, which serves downloads one at a time."""

from citronjunction.transport import http_server, routes, runtime

BYTES_PER_S = 1e9
VERSION_BYTES = 1e8


class WeightStore:
    """Serve downloads one after another at ``BYTES_PER_S``."""

    def __init__(self, loop: runtime.Runtime) -> None:
        """Create an idle store."""
        self.loop = loop
        self.free_at: float = 0
        self.downloads = 0
        self.routes = routes.Routes(
            (routes.Route('GET', '/weights/', self.download, is_exact=False),)
        )

    def download(self, exchange: http_server.Exchange, version: str) -> None:
        """Respond when the simulated download is complete."""
        now = self.loop.timers.now()
        self.downloads += 1
        self.free_at = max(now, self.free_at) + VERSION_BYTES / BYTES_PER_S
        document = {'version': version, 'number': self.downloads}
        self.loop.timers.call_later(
            self.free_at - now,
            lambda: routes.respond_json(exchange, 200, document),
        )
