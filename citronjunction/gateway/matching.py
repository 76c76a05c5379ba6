"""Lookup of the route of a request."""

from collections import abc

from citronjunction.gateway import models


class RouteTable:
    """Table of routes by host and path prefix."""

    __slots__ = ('hosts',)

    def __init__(self, routes: abc.Iterable[models.Route]) -> None:
        """Index the routes, whose prefixes begin and end with a slash."""
        self.hosts: dict[str, dict[str, models.Route]] = {}
        for route in routes:
            host = self.hosts.setdefault(route.host.lower(), {})
            host[route.prefix] = route

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest prefix of the path, if any."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
