"""Workers of an upstream as its control process sees and orders them."""

import dataclasses

from absl import logging

from citronjunction.engines import models as engines
from citronjunction.store import models as store_models
from citronjunction.releases import mover
from citronjunction.transport import http_client

TIMEOUT_S = 2.0
FRESH_S = 3.0  # age of a report over which a worker is not counted on
OK = 200


@dataclasses.dataclass(slots=True)
class Seen:
    """Hold the last report of a worker; times are monotonic seconds."""

    host: store_models.Host
    report: engines.LoadReport | None = None
    asked_at: float = 0
    reported_at: float = 0
    ordered_at: float = 0


class Workers:
    """Ask for reports and send orders."""

    __slots__ = ('client', 'seen', 'upstream')

    def __init__(self, client: http_client.HttpClient, upstream: str) -> None:
        """Take the HTTP client and the upstream."""
        self.client = client
        self.upstream = upstream
        self.seen: dict[str, Seen] = {}

    def take_hosts(self, listed: list[store_models.Host]) -> None:
        """Take the host list."""
        own = {
            host.name: host for host in listed if host.upstream == self.upstream
        }
        for name in self.seen.keys() - own.keys():
            self.seen.pop(name)
        for name, host in own.items():
            self.seen.setdefault(name, Seen(host)).host = host

    def ask_all(self) -> None:
        """Ask every worker for a report."""
        for seen in self.seen.values():
            self._ask(seen)

    def get_views(self) -> tuple[mover.WorkerView, ...]:
        """Return the workers that reported lately."""
        now = self.client.timers.now()
        return tuple(
            mover.WorkerView(
                seen.host.name,
                seen.report.versions,
                seen.host.is_leaving,
            )
            for seen in self.seen.values()
            if seen.report is not None and now - seen.reported_at < FRESH_S
        )

    def send(self, order: mover.Order, epoch: int) -> None:
        """Send an order, unless an earlier one was not read back yet."""
        seen = self.seen[order.worker]
        if seen.ordered_at >= seen.asked_at and seen.ordered_at:
            return
        now = self.client.timers.now()
        if now - seen.reported_at > FRESH_S:
            return
        seen.ordered_at = now
        logging.info(
            'order to %s: serve %s (epoch %d)',
            order.worker,
            ','.join(order.versions),
            epoch,
        )
        call = http_client.Call(
            seen.host.address,
            'POST',
            '/orders',
            body=engines.encode_order(order.versions, epoch),
            connect_s=TIMEOUT_S,
            silence_s=TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._note_answer(order, reply),
            lambda _: None,
        )
        self.client.send(call, sink)

    def _ask(self, seen: Seen) -> None:
        asked_at = self.client.timers.now()
        call = http_client.Call(
            seen.host.address,
            'GET',
            '/load',
            connect_s=TIMEOUT_S,
            silence_s=TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._take_report(seen, reply, asked_at),
            lambda _: None,
        )
        self.client.send(call, sink)

    def _take_report(
        self,
        seen: Seen,
        reply: http_client.Reply,
        asked_at: float,
    ) -> None:
        report = engines.parse_report(reply.body)
        if report is not None and asked_at >= seen.asked_at:
            seen.report = report
            seen.asked_at = asked_at
            seen.reported_at = self.client.timers.now()

    def _note_answer(
        self,
        order: mover.Order,
        reply: http_client.Reply,
    ) -> None:
        if reply.status != OK:
            logging.warning(
                'order to %s refused with %d',
                order.worker,
                reply.status,
            )
