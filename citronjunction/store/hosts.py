"""Clients of the host list and the cloud API."""

import json
from collections import abc

from citronjunction.conf import models as conf
from citronjunction.store import models
from citronjunction.transport import http_client

JSON_HEADERS = {'Content-Type': 'application/json'}
ACCEPTED = 202

OnHosts = abc.Callable[[list[models.Host] | None], None]
OnOffers = abc.Callable[[list[models.Offer] | None], None]
OnStart = abc.Callable[[bool], None]


class HostClient:
    """Read the host list and the cloud's notices; order hosts."""

    def __init__(
        self,
        client: http_client.HttpClient,
        settings: conf.Platform,
    ) -> None:
        """Take the HTTP client and the addresses."""
        self.client = client
        self.settings = settings

    def read_list(self, on_hosts: OnHosts) -> None:
        """Read the lagging host list; nothing on failure."""
        self._read(self.settings.host_list, on_hosts)

    def read_notices(self, on_hosts: OnHosts) -> None:
        """Read hosts with their reclaim notices; nothing on failure."""
        self._read(self.settings.cloud_api, on_hosts)

    def order(self, wish: dict[str, object], on_start: OnStart) -> None:
        """Order a host; tell whether the order was accepted."""
        call = self._build_post('/hosts', wish)
        sink = http_client.ReplyCollector(
            lambda reply: on_start(reply.status == ACCEPTED),
            lambda _: on_start(False),
        )
        self.client.send(call, sink)

    def read_offers(self, on_offers: OnOffers) -> None:
        """Read what the cloud sells; nothing on failure."""
        call = self._build_get(self.settings.cloud_api, '/offers')
        sink = http_client.ReplyCollector(
            lambda reply: on_offers(_parse_offers(reply)),
            lambda _: on_offers(None),
        )
        self.client.send(call, sink)

    def release(self, name: str) -> None:
        """Give a host back; the host list shows it as leaving."""
        self.client.send(
            self._build_post('/release', {'name': name}),
            http_client.ReplyCollector(lambda _: None, lambda _: None),
        )

    def _read(self, address: str, on_hosts: OnHosts) -> None:
        sink = http_client.ReplyCollector(
            lambda reply: on_hosts(_parse_hosts(reply)),
            lambda _: on_hosts(None),
        )
        self.client.send(self._build_get(address, '/hosts'), sink)

    def _build_get(self, address: str, path: str) -> http_client.Call:
        return http_client.Call(
            address,
            'GET',
            path,
            silence_s=self.settings.timeout_s,
        )

    def _build_post(
        self,
        path: str,
        document: dict[str, object],
    ) -> http_client.Call:
        return http_client.Call(
            self.settings.cloud_api,
            'POST',
            path,
            JSON_HEADERS,
            json.dumps(document).encode(),
            silence_s=self.settings.timeout_s,
        )


def _parse_offers(reply: http_client.Reply) -> list[models.Offer] | None:
    try:
        return models.OFFERS.validate_python(json.loads(reply.body)['offers'])
    except (ValueError, LookupError, TypeError):
        return None


def _parse_hosts(reply: http_client.Reply) -> list[models.Host] | None:
    try:
        return models.HOSTS.validate_python(json.loads(reply.body)['hosts'])
    except (ValueError, LookupError, TypeError):
        return None
