"""Moves of a run's memory between workers."""

import json
from collections import abc

from absl import logging

from citronjunction.gateway import relocation
from citronjunction.platform import names
from citronjunction.transport import http_client

MS_PER_S = 1000
REPORT_S = 0.5  # a report is of some hundred ms ago anyway
CALL_S = 1.5  # a copy waits for others on the same links
OK = 200
UNAVAILABLE = 503
JSON_HEADERS = {'Content-Type': 'application/json'}


class KvCacheMover:
    """Call workers to stop and copy runs."""

    __slots__ = ('client',)

    def __init__(self, client: http_client.HttpClient) -> None:
        """Take the HTTP client."""
        self.client = client

    def move(
        self,
        source: str,
        request: str,
        target: str,
        on_result: abc.Callable[[relocation.MoveResult], None],
    ) -> None:
        """Stop a run and copy its memory."""
        document = {'id': request, 'target': target, 'last': True}
        call = http_client.Call(
            source,
            'POST',
            names.MEMORY_MOVE,
            JSON_HEADERS,
            json.dumps(document).encode(),
            connect_s=CALL_S / 3,
            silence_s=CALL_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_result(_read_result(reply)),
            lambda failure: on_result(relocation.NotMoved(failure.reason)),
        )
        self.client.send(call, sink)

    def read_time_left(
        self,
        source: str,
        on_read: abc.Callable[[float | None], None],
    ) -> None:
        """Ask a worker in how many seconds it goes, if it knows."""
        call = http_client.Call(
            source,
            'GET',
            names.REPORT,
            connect_s=REPORT_S,
            silence_s=REPORT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_read(_read_time_left(reply)),
            lambda _: on_read(None),
        )
        self.client.send(call, sink)


def _read_time_left(reply: http_client.Reply) -> float | None:
    try:
        left_ms = json.loads(reply.body).get('leaves_ms')
    except (ValueError, AttributeError) as error:
        logging.warning('a worker report is malformed: %s', error)
        return None
    return left_ms / MS_PER_S if isinstance(left_ms, int | float) else None


def _read_result(reply: http_client.Reply) -> relocation.MoveResult:
    reason = f'the worker answered {reply.status}'
    try:
        handle = str(json.loads(reply.body or b'{}').get('handle') or '')
    except (ValueError, AttributeError) as error:
        return relocation.NotMoved(f'{reason} with a malformed body: {error}')
    if reply.status == OK and handle:
        return relocation.Moved(handle)
    if reply.status == UNAVAILABLE and handle:
        return relocation.Kept(handle)
    return relocation.NotMoved(reason)
