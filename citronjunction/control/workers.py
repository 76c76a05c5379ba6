"""Load reports of an upstream's workers, and orders to them."""

import dataclasses

from absl import logging

from citronjunction.engines import models as engines
from citronjunction.store import models as store_models
from citronjunction.releases import mover
from citronjunction.transport import http_client

TIMEOUT_S = 2.0
MAX_REPORT_AGE_S = 3.0  # older reports are ignored
HTTP_OK = 200


@dataclasses.dataclass(slots=True)
class WorkerState:
    """Last report of a worker and time of the last order to it.

    Times are monotonic seconds. ``requested_at`` is when the report was
    requested.
    """

    host: store_models.Host
    report: engines.LoadReport | None = None
    requested_at: float = 0
    reported_at: float = 0
    ordered_at: float = 0


class Workers:
    """Request load reports from an upstream's workers and send orders."""

    __slots__ = ('client', 'states', 'upstream')

    def __init__(self, client: http_client.HttpClient, upstream: str) -> None:
        self.client = client
        self.upstream = upstream
        self.states: dict[str, WorkerState] = {}

    def update_hosts(self, listed: list[store_models.Host]) -> None:
        """Update the workers from the host list."""
        own = {
            host.name: host for host in listed if host.upstream == self.upstream
        }
        for name in self.states.keys() - own.keys():
            self.states.pop(name)
        for name, host in own.items():
            self.states.setdefault(name, WorkerState(host)).host = host

    def request_reports(self) -> None:
        """Request a load report from every worker."""
        for worker in self.states.values():
            self._request_report(worker)

    def get_views(self) -> tuple[mover.WorkerView, ...]:
        """Return the workers that have a recent report."""
        now = self.client.timers.now()
        return tuple(
            mover.WorkerView(
                worker.host.name,
                worker.report.versions,
                worker.host.is_leaving,
            )
            for worker in self.states.values()
            if worker.report is not None
            and now - worker.reported_at < MAX_REPORT_AGE_S
        )

    def send(self, order: mover.Order, epoch: int) -> None:
        """Send an order to a worker.

        Nothing is sent if the last report of the worker is too old, or if it
        was requested before the last order and cannot show its effect.
        """
        worker = self.states[order.worker]
        if worker.ordered_at >= worker.requested_at and worker.ordered_at:
            return
        now = self.client.timers.now()
        if now - worker.reported_at > MAX_REPORT_AGE_S:
            return
        worker.ordered_at = now
        logging.info(
            'ordering worker %s to serve %s (epoch %d)',
            order.worker,
            ','.join(order.versions),
            epoch,
        )
        call = http_client.Call(
            worker.host.address,
            'POST',
            '/orders',
            body=engines.encode_order(order.versions, epoch),
            connect_s=TIMEOUT_S,
            silence_s=TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._on_answer(order, reply),
            lambda _: None,
        )
        self.client.send(call, sink)

    def _request_report(self, worker: WorkerState) -> None:
        requested_at = self.client.timers.now()
        call = http_client.Call(
            worker.host.address,
            'GET',
            '/load',
            connect_s=TIMEOUT_S,
            silence_s=TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._on_report(worker, reply, requested_at),
            lambda _: None,
        )
        self.client.send(call, sink)

    def _on_report(
        self,
        worker: WorkerState,
        reply: http_client.Reply,
        requested_at: float,
    ) -> None:
        report = engines.parse_report(reply.body)
        if report is not None and requested_at >= worker.requested_at:
            worker.report = report
            worker.requested_at = requested_at
            worker.reported_at = self.client.timers.now()

    def _on_answer(
        self,
        order: mover.Order,
        reply: http_client.Reply,
    ) -> None:
        if reply.status != HTTP_OK:
            logging.warning(
                'worker %s refused an order with status %d',
                order.worker,
                reply.status,
            )
