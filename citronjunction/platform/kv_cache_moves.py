"""Moves of a run's KV cache between workers."""

import json
import re
from collections import abc
from urllib import parse as urls

from absl import logging

from citronjunction.documents import errors
from citronjunction.gateway import relocation
from citronjunction.platform import names
from citronjunction.transport import http_client
from citronjunction.verdicts import models as verdicts

MS_PER_S = 1000
REPORT_TIMEOUT_S = 0.5  # a report is already some hundred ms old
MOVE_TIMEOUT_S = 1.5  # a copy queues behind others on the same network link
MAX_REPORT_BYTES = 1048576  # lists all runs of a worker
MAX_RESULT_BYTES = 65536
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
# What can be sent as a part of a header.
HANDLE = re.compile(r'[\x21-\x7e]{0,256}')
MAX_SHOWN_CHARACTERS = 40  # of a handle that can't be sent
JSON_HEADERS = {'Content-Type': 'application/json'}


class KvCacheMover:
    """Ask workers to stop runs and to copy their KV caches."""

    __slots__ = ('client',)

    def __init__(self, client: http_client.HttpClient) -> None:
        self.client = client

    def move(
        self,
        source: str,
        request: str,
        target: str,
        on_result: abc.Callable[[relocation.MoveResult], None],
    ) -> None:
        """Stop a run at the source and copy its KV cache to the target."""
        document = {'id': request, 'target': target, 'last': True}
        call = http_client.Call(
            source,
            'POST',
            names.KV_CACHE_MOVE,
            JSON_HEADERS,
            json.dumps(document).encode(),
            connect_s=MOVE_TIMEOUT_S / 3,
            silence_s=MOVE_TIMEOUT_S,
            limit_s=MOVE_TIMEOUT_S * 2,
            checks_end=False,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_result(_decode_result(reply)),
            lambda failure: on_result(_describe_failure(failure)),
            MAX_RESULT_BYTES,
        )
        self.client.send(call, sink)

    def release(self, source: str, handle: str) -> None:
        """Free what a handle holds; the workers do it themselves in the end."""
        call = http_client.Call(
            source,
            'DELETE',
            names.KV_CACHE_HANDLE.format(urls.quote(handle, safe='')),
            connect_s=MOVE_TIMEOUT_S / 3,
            silence_s=MOVE_TIMEOUT_S,
            limit_s=MOVE_TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(
            lambda reply: _log_release(source, f'status {reply.status}'),
            lambda failure: _log_release(source, failure.reason),
            MAX_RESULT_BYTES,
        )
        self.client.send(call, sink)

    def read_time_left(
        self,
        source: str,
        on_read: abc.Callable[[float | None], None],
    ) -> None:
        """Request the seconds until a worker ends; None if unknown."""
        call = http_client.Call(
            source,
            'GET',
            names.REPORT,
            connect_s=REPORT_TIMEOUT_S,
            silence_s=REPORT_TIMEOUT_S,
            limit_s=REPORT_TIMEOUT_S * 2,
        )
        sink = http_client.ReplyCollector(
            lambda reply: on_read(_read_time_left(reply)),
            lambda _: on_read(None),
            MAX_REPORT_BYTES,
        )
        self.client.send(call, sink)


def _log_release(source: str, outcome: str) -> None:
    logging.info('release of a copy at %s: %s', source, outcome)


def _read_time_left(reply: http_client.Reply) -> float | None:
    try:
        left_ms = json.loads(reply.body).get('leaves_ms')
        return None if left_ms is None else left_ms / MS_PER_S
    except errors.DECODE_ERRORS as error:
        logging.warning('worker report is malformed: %.200r', error)
        return None


def _decode_result(reply: http_client.Reply) -> relocation.MoveResult:
    """Return what an answer says; a 404 says that there is no such run."""
    reason = f'the worker answered {reply.status}'
    if reply.status == NOT_FOUND:
        return relocation.NotMoved(reason, relocation.RunState.unaffected)
    try:
        handle = _read_handle(reply)
    except errors.DECODE_ERRORS as error:
        return relocation.NotMoved(f'{reason} with a malformed body: {error!r}')
    if reply.status == OK and handle:
        return relocation.Moved(handle)
    if reply.status == UNAVAILABLE and handle:
        return relocation.Kept(handle)
    return relocation.NotMoved(reason)


def _read_handle(reply: http_client.Reply) -> str:
    """Return the handle in an answer, '' without one; raise ValueError."""
    handle = str(json.loads(reply.body or b'{}').get('handle') or '')
    if not HANDLE.fullmatch(handle):
        raise ValueError(f'{handle[:MAX_SHOWN_CHARACTERS]!r} is no handle')
    return handle


def _describe_failure(failure: verdicts.Failure) -> relocation.NotMoved:
    """Return what a call without an answer may have done to the run."""
    match failure:
        case verdicts.NotRun():
            run = relocation.RunState.unaffected
        case verdicts.MayHaveRun(code='timeout'):
            run = relocation.RunState.unanswered
        case verdicts.MayHaveRun():
            run = relocation.RunState.unknown
    return relocation.NotMoved(failure.reason, run)
