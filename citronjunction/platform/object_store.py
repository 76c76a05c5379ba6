"""Client of the platform's store of objects."""

import json
from collections import abc
from urllib import parse as urls

from citronjunction.platform import names
from citronjunction.store import records
from citronjunction.transport import http_client
from citronjunction.verdicts import models as verdicts

MS_PER_S = 1000
CALL_S = 1.0  # the store answers in milliseconds, slow ones in a quarter second
JSON_HEADERS = {'Content-Type': 'application/json'}
GONE = 410
CONFLICT = 409
NOT_FOUND = 404
FIRST_ERROR = 300
NOT_DONE = frozenset((429, 503))
DECODE_ERRORS = (ValueError, LookupError, TypeError, AttributeError)


class ObjectStore:
    """Call the store; one connection a concurrent call."""

    __slots__ = ('address', 'client')

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        """Take the HTTP client and the store's ``IP:PORT``."""
        self.client = client
        self.address = address

    def list_page(
        self,
        kind: str,
        after: str,
        on_list: records.OnList,
    ) -> None:
        """List the objects of a kind whose names come after one."""
        query = {'after': after} if after else {}
        self._call('GET', _path(kind, query=query), None, _List(on_list))

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        on_watch: records.OnWatch,
    ) -> None:
        """Wait for changes of a kind since a revision."""
        query = {'watch': str(revision), 'waitMs': str(int(wait_s * MS_PER_S))}
        path = _path(kind, query=query)
        self._call('GET', path, None, _Watch(on_watch), wait_s + CALL_S)

    def read(self, kind: str, name: str, on_read: records.OnRead) -> None:
        """Read one object."""
        self._call('GET', _path(kind, name), None, _Object(on_read))

    def read_stale(
        self,
        kind: str,
        name: str,
        on_read: records.OnRead,
    ) -> None:
        """Read one object as it was at most seconds ago, at less cost."""
        path = _path(kind, name, {'serializable': '1'})
        self._call('GET', path, None, _Object(on_read))

    def create(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        on_write: records.OnWrite,
    ) -> None:
        """Create an object unless the name is taken."""
        body = {'meta': {'name': name}, 'spec': spec}
        self._call('POST', _path(kind), body, _Object(on_write))

    def replace(
        self,
        kind: str,
        name: str,
        spec: abc.Mapping[str, object],
        revision: int,
        on_write: records.OnWrite,
    ) -> None:
        """Replace the spec of an object that is at the revision."""
        body = {'meta': {'name': name, 'rev': revision}, 'spec': spec}
        self._call('PUT', _path(kind, name), body, _Object(on_write))

    def replace_status(
        self,
        kind: str,
        name: str,
        status: abc.Mapping[str, object],
        revision: int,
        on_write: records.OnWrite,
    ) -> None:
        """Replace the status of an object that is at the revision."""
        body = {'meta': {'name': name, 'rev': revision}, 'status': status}
        path = f'{_path(kind, name)}/status'
        self._call('PUT', path, body, _Object(on_write))

    def _call(
        self,
        method: str,
        path: str,
        document: object,
        answer: '_Answer',
        silence_s: float = CALL_S,
    ) -> None:
        call = http_client.Call(
            self.address,
            method,
            path,
            JSON_HEADERS,
            b'' if document is None else json.dumps(document).encode(),
            connect_s=CALL_S,
            silence_s=silence_s,
        )
        sink = http_client.ReplyCollector(
            answer.take_reply, answer.take_failure
        )
        self.client.send(call, sink)


class _Answer:
    """Turn a reply into the result of one call."""

    __slots__ = ('on_result',)

    def __init__(self, on_result: abc.Callable[[object], None]) -> None:
        """Take the call that gets the result."""
        self.on_result = on_result

    def take_reply(self, reply: http_client.Reply) -> None:
        """Pass the result on."""
        try:
            result = self.decode(reply)
        except DECODE_ERRORS as error:
            reason = f'status {reply.status}, malformed body: {error}'
            result = records.Unavailable(reason, may_take_effect=True)
        self.on_result(result)

    def take_failure(self, failure: verdicts.Failure) -> None:
        """Pass a failure on; only unsent calls surely have no effect."""
        may_take_effect = isinstance(failure, verdicts.MayHaveRun)
        self.on_result(records.Unavailable(failure.reason, may_take_effect))

    def decode(self, reply: http_client.Reply) -> object:
        """Decode a reply with a status that all calls share."""
        reason = f'status {reply.status}'
        return records.Unavailable(reason, reply.status not in NOT_DONE)


class _List(_Answer):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode a page."""
        if reply.status >= FIRST_ERROR:
            return super().decode(reply)
        page = json.loads(reply.body)
        found = tuple(_decode_record(entry) for entry in page['entries'])
        more = bool(page.get('hasMore')) and bool(found)
        return records.Page(found, page['asOf'], found[-1].name if more else '')


class _Watch(_Answer):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode changes."""
        if reply.status == GONE:
            return records.HistoryGone()
        if reply.status >= FIRST_ERROR:
            return super().decode(reply)
        document = json.loads(reply.body)
        changes = tuple(
            records.Change(
                _decode_record(event['object']),
                bool(event.get('tombstone')),
            )
            for event in document.get('events') or ()
        )
        return records.Changes(changes, document['asOf'])


class _Object(_Answer):
    __slots__ = ()

    def decode(self, reply: http_client.Reply) -> object:
        """Decode an object, or why there is none."""
        if reply.status == NOT_FOUND:
            return records.Absent()
        if reply.status == CONFLICT:
            return records.Conflict(_decode_conflict(reply.body))
        if reply.status >= FIRST_ERROR:
            return super().decode(reply)
        return _decode_record(json.loads(reply.body))


def _decode_record(entry: dict[str, object]) -> records.Record:
    meta = entry['meta']
    return records.Record(
        meta['name'],
        int(meta['rev']),
        entry.get('spec') or {},
        entry.get('status') or {},
    )


def _decode_conflict(body: bytes) -> records.Record | None:
    document = json.loads(body or b'{}')
    held = document.get('object', document)
    return _decode_record(held) if 'meta' in held else None


def _path(
    kind: str,
    name: str = '',
    query: abc.Mapping[str, str] | None = None,
) -> str:
    path = f'{names.OBJECTS}/{urls.quote(kind, safe="")}'
    if name:
        path = f'{path}/{urls.quote(name, safe="")}'
    return f'{path}?{urls.urlencode(query)}' if query else path
