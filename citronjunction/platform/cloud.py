"""Cloud API calls that only the holder of the duties lease makes."""

import json
from collections import abc

from citronjunction.duties import models
from citronjunction.platform import names
from citronjunction.transport import http_client

CONNECT_TIMEOUT_S = 0.5
# Below the margin of the lease, which is checked again as a connection opens:
# no call is still being sent when another holder can have the lease.
REPLY_TIMEOUT_S = 0.5
MAX_REPLY_BYTES = 65536  # only the status is used
CONFLICT = 409
FIRST_ERROR_STATUS = 300


class Cloud:
    """Send usage reports and worker orders with a fencing token.

    The platform doesn't compare the tokens: no call may arrive after one of the
    next holder.
    """

    __slots__ = ('address', 'client')

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        """Send calls to the cloud API at ``address`` (``IP:PORT``)."""
        self.client = client
        self.address = address

    def report_usage(
        self,
        report: models.UsageReport,
        fence: models.Fence,
        on_result: models.OnResult,
    ) -> None:
        """Send the request counts of one window, by organisation."""
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
            names.FENCING_TOKEN: str(fence.token),
        }
        call = http_client.Call(
            self.address,
            'POST',
            path,
            headers,
            json.dumps(document).encode(),
            connect_s=CONNECT_TIMEOUT_S,
            silence_s=REPLY_TIMEOUT_S,
            limit_s=REPLY_TIMEOUT_S,
            max_idle_s=http_client.NO_REUSE_S,
            has_expired=lambda: not fence.is_held(),
            checks_end=False,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_result(_classify_status(reply.status)),
            lambda failure: on_result(models.CallResult.unavailable),
            MAX_REPLY_BYTES,
        )
        self.client.send(call, sink)


def _classify_status(status: int) -> models.CallResult:
    if status < FIRST_ERROR_STATUS:
        return models.CallResult.accepted
    if status == CONFLICT:
        return models.CallResult.unobtainable
    return models.CallResult.unavailable
