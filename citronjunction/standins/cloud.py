"""Cloud API and host list: hosts, prices, refused starts, reclaim notices."""

import dataclasses
from collections import abc

from citronjunction.transport import http_server, routes, runtime

RELEASE_S = 30.0  # time that a released host has to finish
FIRST_S = 0.1  # delay of the first copy of the host list


@dataclasses.dataclass(slots=True)
class Host:
    """Describe a host as the cloud and the host list show it."""

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
    """Offer hosts and send reclaim notices."""

    def __init__(self, loop: runtime.Runtime) -> None:
        """Start without hosts."""
        self.loop = loop
        self.hosts: dict[str, Host] = {}
        self.refusals_left = 0
        self.started = 0
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
        """List hosts with their notices."""
        hosts = [dataclasses.asdict(held) for held in self.hosts.values()]
        routes.respond_json(exchange, 200, {'hosts': hosts})

    def start_host(self, exchange: http_server.Exchange, _: str) -> None:
        """Accept or refuse an order for a host."""
        if self.refusals_left > 0:
            self.refusals_left -= 1
            error = {'error': {'message': 'no capacity in this zone'}}
            routes.respond_json(exchange, 503, error, {'Retry-After': '2'})
            return
        self.started += 1
        if self.on_start is not None:
            self.on_start(routes.read_json(exchange) or {})
        routes.respond_json(exchange, 202, {'number': self.started})

    def show_offers(self, exchange: http_server.Exchange, _: str) -> None:
        """List kinds of hosts with their prices."""
        routes.respond_json(exchange, 200, {'offers': self.offers})

    def release(self, exchange: http_server.Exchange, _: str) -> None:
        """Take a host back after it had time to finish."""
        name = str((routes.read_json(exchange) or {}).get('name'))
        host = self.hosts.get(name)
        if host is not None:
            host.is_leaving = True
            host.leaves_in_s = RELEASE_S
            self.loop.timers.call_later(
                RELEASE_S,
                lambda: self.hosts.pop(name, None),
            )
        routes.respond_json(exchange, 200, {})

    def register(self, exchange: http_server.Exchange, _: str) -> None:
        """Add a host that has started."""
        host = Host(**routes.read_json(exchange))
        self.hosts[host.name] = host
        routes.respond_json(exchange, 200, {})

    def reclaim(self, exchange: http_server.Exchange, _: str) -> None:
        """Give notice to hosts by name or zone."""
        notice = routes.read_json(exchange) or {}
        for host in self.hosts.values():
            if notice.get('zone') == host.zone or (
                host.name in notice.get('names', ())
            ):
                host.is_leaving = True
                host.leaves_in_s = float(notice.get('leaves_in_s', 5))
        routes.respond_json(exchange, 200, {})

    def refuse(self, exchange: http_server.Exchange, _: str) -> None:
        """Refuse the next starts."""
        document = routes.read_json(exchange) or {}
        self.refusals_left = int(document.get('count', 1))
        routes.respond_json(exchange, 200, {})


class HostList:
    """Show the hosts of the cloud with a lag."""

    def __init__(
        self,
        loop: runtime.Runtime,
        cloud: Cloud,
        lag_s: float,
    ) -> None:
        """Take the cloud and the lag in seconds."""
        self.cloud = cloud
        self.lag_s = lag_s
        self.copy: list[dict[str, object]] = []
        self.routes = routes.Routes(
            (routes.Route('GET', '/hosts', self.show_hosts),)
        )
        loop.timers.call_later(FIRST_S, self.refresh)
        loop.timers.call_every(max(lag_s, FIRST_S), self.refresh)

    def refresh(self) -> None:
        """Copy the hosts of the cloud."""
        hosts = self.cloud.hosts.values()
        self.copy = [dataclasses.asdict(held) for held in hosts]

    def show_hosts(self, exchange: http_server.Exchange, _: str) -> None:
        """List live and leaving hosts as of the last copy."""
        routes.respond_json(exchange, 200, {'hosts': self.copy})
