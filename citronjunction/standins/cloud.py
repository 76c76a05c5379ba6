"""Stand-ins of the cloud API and of the host list."""

import dataclasses
from collections import abc

from citronjunction.transport import http_server, routes, runtime

RELEASE_GRACE_S = 30.0  # from the release of a host to its removal
FIRST_SNAPSHOT_S = 0.1  # also the shortest interval between snapshots


@dataclasses.dataclass(slots=True)
class Host:
    """Describe a host as the cloud API and the host list return it."""

    name: str
    address: str
    upstream: str
    zone: str
    kind: str = 'reclaimable'
    price: float = 1.0
    is_leaving: bool = False
    leaves_in_s: float = 0
    peer_address: str = ''


class Cloud:
    """Start, list, release and reclaim hosts.

    ``refusals_left`` is the number of starts still to be refused.
    """

    def __init__(self, loop: runtime.Runtime) -> None:
        """Create a cloud without hosts or offers."""
        self.loop = loop
        self.hosts: dict[str, Host] = {}
        self.refusals_left = 0
        self.start_count = 0
        self.offers: list[dict[str, object]] = []
        self.on_start: abc.Callable[[dict[str, object]], None] | None = None
        self.routes = routes.Routes(
            (
                routes.Route('GET', '/hosts', self.show_hosts),
                routes.Route('POST', '/hosts', self.start_host),
                routes.Route('GET', '/offers', self.show_offers),
                routes.Route('POST', '/release', self.release),
                routes.Route('POST', '/register', self.register),
                routes.Route('POST', '/reclaim', self.reclaim),
                routes.Route('POST', '/refuse', self.refuse),
            )
        )

    def show_hosts(self, exchange: http_server.Exchange, _: str) -> None:
        """Return all hosts with their reclaim notices."""
        hosts = [dataclasses.asdict(host) for host in self.hosts.values()]
        routes.respond_json(exchange, 200, {'hosts': hosts})

    def start_host(self, exchange: http_server.Exchange, _: str) -> None:
        """Accept a request to start a host, or refuse it with 503."""
        if self.refusals_left > 0:
            self.refusals_left -= 1
            error = {'error': {'message': 'no capacity in this zone'}}
            routes.respond_json(exchange, 503, error, {'Retry-After': '2'})
            return
        self.start_count += 1
        if self.on_start is not None:
            self.on_start(routes.read_json(exchange) or {})
        routes.respond_json(exchange, 202, {'number': self.start_count})

    def show_offers(self, exchange: http_server.Exchange, _: str) -> None:
        """Return the host kinds on offer, with zones and prices."""
        routes.respond_json(exchange, 200, {'offers': self.offers})

    def release(self, exchange: http_server.Exchange, _: str) -> None:
        """Mark a host as leaving and remove it after the grace period."""
        name = str((routes.read_json(exchange) or {}).get('name'))
        host = self.hosts.get(name)
        if host is not None:
            host.is_leaving = True
            host.leaves_in_s = RELEASE_GRACE_S
            self.loop.timers.call_later(
                RELEASE_GRACE_S,
                lambda: self.hosts.pop(name, None),
            )
        routes.respond_json(exchange, 200, {})

    def register(self, exchange: http_server.Exchange, _: str) -> None:
        """Add a host that registers itself after its start."""
        host = Host(**routes.read_json(exchange))
        self.hosts[host.name] = host
        routes.respond_json(exchange, 200, {})

    def reclaim(self, exchange: http_server.Exchange, _: str) -> None:
        """Send reclaim notices to hosts by name or zone."""
        notice = routes.read_json(exchange) or {}
        for host in self.hosts.values():
            if notice.get('zone') == host.zone or (
                host.name in notice.get('names', ())
            ):
                host.is_leaving = True
                host.leaves_in_s = float(notice.get('leaves_in_s', 5))
        routes.respond_json(exchange, 200, {})

    def refuse(self, exchange: http_server.Exchange, _: str) -> None:
        """Set how many of the next starts are refused."""
        document = routes.read_json(exchange) or {}
        self.refusals_left = int(document.get('count', 1))
        routes.respond_json(exchange, 200, {})


class HostList:
    """Serve the hosts of the cloud from a snapshot taken every ``lag_s``."""

    def __init__(
        self,
        loop: runtime.Runtime,
        cloud: Cloud,
        lag_s: float,
    ) -> None:
        """Schedule the snapshots."""
        self.cloud = cloud
        self.lag_s = lag_s
        self.snapshot: list[dict[str, object]] = []
        self.routes = routes.Routes(
            (routes.Route('GET', '/hosts', self.show_hosts),)
        )
        loop.timers.call_later(FIRST_SNAPSHOT_S, self.refresh)
        loop.timers.call_every(max(lag_s, FIRST_SNAPSHOT_S), self.refresh)

    def refresh(self) -> None:
        """Replace the snapshot by the current hosts of the cloud."""
        hosts = self.cloud.hosts.values()
        self.snapshot = [dataclasses.asdict(host) for host in hosts]

    def show_hosts(self, exchange: http_server.Exchange, _: str) -> None:
        """Return live and leaving hosts as of the last snapshot."""
        routes.respond_json(exchange, 200, {'hosts': self.snapshot})
