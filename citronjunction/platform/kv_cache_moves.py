"""Moves of a run's KV cache between workers."""

import json
import re
from collections import abc
from urllib import parse as urls

from absl import logging

from citronjunction.documents import errors
from citronjunction.platform import names
from citronjunction.reclaims import models as reclaims
from citronjunction.reclaims import moves
from citronjunction.transport import http_client
from citronjunction.verdicts import models as verdicts

MS_PER_S = 1000
REPORT_TIMEOUT_S = 0.5  # a report is already some hundred ms old
MOVE_TIMEOUT_S = 1.5  # a copy queues behind others on the same network link
MAX_REPORT_BYTES = 1048576  # lists all runs of a worker
MAX_RESULT_BYTES = 65536
MAX_RUN_TOKENS = 1 << 30  # a larger figure is wrong
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
        on_result: abc.Callable[[moves.MoveResult], None],
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
        on_read: abc.Callable[[reclaims.TimeLeft | None], None],
    ) -> None:
        """Request when a worker ends; None if unknown."""
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


def _read_time_left(reply: http_client.Reply) -> reclaims.TimeLeft | None:
    try:
        document = json.loads(reply.body)
        left_ms = document.get('leaves_ms')
        if left_ms is None:
            return None
        return reclaims.TimeLeft(
            left_ms / MS_PER_S, tuple(_read_runs(document.get('runs')))
        )
    except errors.DECODE_ERRORS as error:
        logging.warning('worker report is malformed: %.200r', error)
        return None


def _read_runs(wire: object) -> abc.Iterator[reclaims.Run]:
    """Return the runs of a report without those that can't be read."""
    for entry in wire if isinstance(wire, list) else ():
        match entry:
            case [str() as request, int() as tokens, int() as events, *_]:
                tokens = min(max(0, tokens), MAX_RUN_TOKENS)
                yield reclaims.Run(request, tokens, events)


def _decode_result(reply: http_client.Reply) -> moves.MoveResult:
    """Return what an answer says; a 404 says that there is no such run."""
    reason = f'the worker answered {reply.status}'
    if reply.status == NOT_FOUND:
        return moves.NotMoved(reason, moves.RunState.unaffected)
    try:
        handle = _read_handle(reply)
    except errors.DECODE_ERRORS as error:
        return moves.NotMoved(f'{reason} with a malformed body: {error!r}')
    if reply.status == OK and handle:
        return moves.Moved(handle)
    if reply.status == UNAVAILABLE and handle:
        return moves.Kept(handle)
    return moves.NotMoved(reason)


def _read_handle(reply: http_client.Reply) -> str:
    """Return the handle in an answer, '' without one; raise ValueError."""
    handle = str(json.loads(reply.body or b'{}').get('handle') or '')
    if not HANDLE.fullmatch(handle):
        raise ValueError(f'{handle[:MAX_SHOWN_CHARACTERS]!r} is no handle')
    return handle


def _describe_failure(failure: verdicts.Failure) -> moves.NotMoved:
    """Return what a call without an answer may have done to the run."""
    match failure:
        case verdicts.NotRun():
            run = moves.RunState.unaffected
        case verdicts.MayHaveRun(code='timeout'):
            run = moves.RunState.unanswered
        case verdicts.MayHaveRun():
            run = moves.RunState.unknown
    return moves.NotMoved(failure.reason, run)
