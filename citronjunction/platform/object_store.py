"""Client of the platform's object store."""

import json
from collections import abc
from urllib import parse as urls

from citronjunction.documents import errors, parts
from citronjunction.platform import names, stored_objects
from citronjunction.store import eras, records
from citronjunction.transport import http_client
from citronjunction.verdicts import models as verdicts

MS_PER_S = 1000
CALL_TIMEOUT_S = 1.0  # answers usually take milliseconds, slow ones 250 ms
MAX_TRANSFER_S = 10.0  # for the body of an answer
JSON_HEADERS = {'Content-Type': 'application/json'}
GONE = 410
CONFLICT = 409
NOT_FOUND = 404
FIRST_ERROR_STATUS = 300
NOT_APPLIED = frozenset((429, 503))  # statuses of requests without effect
MAX_ERA_DIGITS = 9


class ObjectStore:
    """Read, write and watch objects, with a connection per concurrent call."""

    __slots__ = ('address', 'client', 'eras')

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        store_eras: eras.Eras,
    ) -> None:
        """Send calls to the store at ``address`` (``IP:PORT``)."""
        self.client = client
        self.address = address
        self.eras = store_eras

    def list_page(
        self,
        kind: str,
        after: str,
        on_list: records.OnList,
    ) -> None:
        """List a page of a kind: the objects whose names follow ``after``."""
        query = {'after': after} if after else {}
        self._call(
            'GET', _build_path(kind, query=query), None, _PageDecoder(on_list)
        )

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        on_watch: records.OnWatch,
    ) -> None:
        """Wait up to ``wait_s`` seconds for changes after a revision."""
        query = {'watch': str(revision), 'waitMs': str(int(wait_s * MS_PER_S))}
        path = _build_path(kind, query=query)
        self._call(
            'GET',
            path,
            None,
            _ChangesDecoder(on_watch),
            wait_s + CALL_TIMEOUT_S,
        )

    def read(self, kind: str, name: str, on_read: records.OnRead) -> None:
        """Read one object."""
        self._call(
            'GET', _build_path(kind, name), None, _RecordDecoder(on_read)
        )

    def list_stale(self, kind: str, on_list: records.OnList) -> None:
        """List a page of a kind, possibly out of date, at less cost."""
        path = _build_path(kind, query={'serializable': '1'})
        self._call('GET', path, None, _PageDecoder(on_list))

    def create(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        on_write: records.OnWrite,
    ) -> None:
        """Create an object; the result is a conflict if the name exists."""
        body = {'meta': {'name': name}, 'spec': spec}
        self._call('POST', _build_path(kind), body, _RecordDecoder(on_write))

    def replace(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        revision: int,
        on_write: records.OnWrite,
    ) -> None:
        """Replace the spec of an object if it still has the revision."""
        body = {'meta': {'name': name, 'rev': revision}, 'spec': spec}
        self._call(
            'PUT', _build_path(kind, name), body, _RecordDecoder(on_write)
        )

    def replace_status(
        self,
        kind: str,
        name: str,
        status: abc.Mapping[str, object],
        revision: int,
        on_write: records.OnWrite,
    ) -> None:
        """Replace the status of an object if it still has the revision."""
        body = {'meta': {'name': name, 'rev': revision}, 'status': status}
        path = f'{_build_path(kind, name)}/status'
        self._call('PUT', path, body, _RecordDecoder(on_write))

    def _call(
        self,
        method: str,
        path: str,
        document: object,
        answer: '_ReplyDecoder',
        silence_s: float = CALL_TIMEOUT_S,
    ) -> None:
        call = http_client.Call(
            self.address,
            method,
            path,
            JSON_HEADERS,
            b'' if document is None else json.dumps(document).encode(),
            connect_s=CALL_TIMEOUT_S,
            silence_s=silence_s,
            limit_s=silence_s + MAX_TRANSFER_S,
            checks_end=False,
        )
        sink = http_client.ReplyCollector(
            lambda reply: self._receive(reply, answer),
            answer.on_failure,
        )
        self.client.send(call, sink)

    def _receive(
        self,
        reply: http_client.Reply,
        answer: '_ReplyDecoder',
    ) -> None:
        era = _read_era(reply)
        if era == eras.UNKNOWN or self.eras.observe(era):
            answer.on_reply(reply)
            return
        reason = f'answer of era {era}, which era {self.eras.current} followed'
        answer.on_result(records.Unavailable(reason, may_take_effect=True))


class _ReplyDecoder:
    """Decode the reply to one call and pass the result to its callback."""

    __slots__ = ('on_result',)

    def __init__(self, on_result: abc.Callable[[object], None]) -> None:
        self.on_result = on_result

    def on_reply(self, reply: http_client.Reply) -> None:
        """Pass on the decoded reply; a malformed one counts as unavailable."""
        try:
            result = self.decode(reply)
        except errors.DECODE_ERRORS as error:
            reason = f'status {reply.status}, malformed body: {error}'
            result = records.Unavailable(reason, may_take_effect=True)
        self.on_result(result)

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Pass on a failure; a request that was sent may take effect."""
        may_take_effect = isinstance(failure, verdicts.MayHaveRun)
        self.on_result(records.Unavailable(failure.reason, may_take_effect))

    def decode(self, reply: http_client.Reply) -> object:
        """Decode an error reply whose status has no special meaning."""
        reason = f'status {reply.status}'
        return records.Unavailable(reason, reply.status not in NOT_APPLIED)


class _PageDecoder(_ReplyDecoder):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode a page of a list."""
        if reply.status >= FIRST_ERROR_STATUS:
            return super().decode(reply)
        return stored_objects.decode_page(reply.body)


class _ChangesDecoder(_ReplyDecoder):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode the changes of a watch."""
        if reply.status == GONE:
            return records.HistoryGone()
        if reply.status >= FIRST_ERROR_STATUS:
            return super().decode(reply)
        return stored_objects.decode_changes(reply.body)


class _RecordDecoder(_ReplyDecoder):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode a stored object, or the reason why there is none."""
        if reply.status == NOT_FOUND:
            return records.Absent()
        if reply.status == CONFLICT:
            return records.Conflict(stored_objects.decode_conflict(reply.body))
        if reply.status >= FIRST_ERROR_STATUS:
            return super().decode(reply)
        return stored_objects.decode_record(parts.decode(reply.body))


def _read_era(reply: http_client.Reply) -> int:
    text = reply.headers.get(names.STORE_ERA.lower(), '')
    if text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
        return int(text)
    return eras.UNKNOWN


def _build_path(
    kind: str,
    name: str = '',
    query: abc.Mapping[str, str] | None = None,
) -> str:
    path = f'{names.OBJECTS}/{urls.quote(kind, safe="")}'
    if name:
        path = f'{path}/{urls.quote(name, safe="")}'
    return f'{path}?{urls.urlencode(query)}' if query else path
