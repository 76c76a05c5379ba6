"""Calls to the platform that are the duty of one entry at a time."""

import json
from collections import abc

from citronjunction.duties import models
from citronjunction.platform import names
from citronjunction.transport import http_client

CALL_S = 1.0  # bounds how long after the last check of the lease a call lands
CONFLICT = 409
FIRST_ERROR = 300


class Cloud:
    """Send usage reports and orders for workers."""

    __slots__ = ('address', 'client')

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        """Take the HTTP client and the ``IP:PORT`` of the API."""
        self.client = client
        self.address = address

    def report_usage(
        self,
        report: models.UsageReport,
        fence: models.Fence,
        on_result: models.OnResult,
    ) -> None:
        """Send the counts of one window."""
        body = {'windowId': report.window, 'counts': dict(report.counts)}
        self._send(names.USAGE, body, fence, on_result)

    def order_workers(
        self,
        order: models.WorkerOrder,
        fence: models.Fence,
        on_result: models.OnResult,
    ) -> None:
        """Order an absolute number of workers of one kind."""
        body: dict[str, object] = {
            'service': order.upstream,
            'zone': order.zone,
            'desired': order.count,
        }
        if order.is_reclaimable:
            body['spot'] = True
        self._send(names.SCALE, body, fence, on_result)

    def _send(
        self,
        path: str,
        document: abc.Mapping[str, object],
        fence: models.Fence,
        on_result: models.OnResult,
    ) -> None:
        headers = {
            'Content-Type': 'application/json',
            names.HOLDER: fence.holder,
            names.FENCE: str(fence.epoch),
        }
        call = http_client.Call(
            self.address,
            'POST',
            path,
            headers,
            json.dumps(document).encode(),
            connect_s=CALL_S / 2,
            silence_s=CALL_S / 2,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_result(_read_result(reply.status)),
            lambda failure: on_result(models.CallResult.unavailable),
        )
        self.client.send(call, sink)


def _read_result(status: int) -> models.CallResult:
    if status < FIRST_ERROR:
        return models.CallResult.accepted
    if status == CONFLICT:
        return models.CallResult.unobtainable
    return models.CallResult.unavailable
