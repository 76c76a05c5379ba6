"""Client of the Object API: reads, conditional writes and watches."""

import json
from collections import abc

from citronjunction.conf import models as conf
from citronjunction.store import models
from citronjunction.transport import http_client
from citronjunction.verdicts import models as verdicts

PREFIX = '/apis/citronjunction/v1'
JSON_HEADERS = {'Content-Type': 'application/json'}
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
REOPEN_S = 1.0  # delay before a lost watch is reopened
WATCH_SILENCE_S = 3600.0  # a watch is silent while nothing changes

OnRead = abc.Callable[[models.ReadResult], None]
OnWrite = abc.Callable[[models.WriteResult], None]
OnObject = abc.Callable[[models.StoredObject], None]


class ObjectApi:
    """Call the Object API; every result goes to a callback."""

    def __init__(
        self,
        client: http_client.HttpClient,
        settings: conf.Platform,
    ) -> None:
        self.client = client
        self.settings = settings

    def read(self, kind: str, name: str, on_result: OnRead) -> None:
        """Read one object."""
        call = self._build_call('GET', f'{PREFIX}/{kind}/{name}')
        self._send(call, lambda reply: on_result(_parse_read(reply)), on_result)

    def list_objects(
        self,
        kind: str,
        on_objects: abc.Callable[[list[models.StoredObject] | None], None],
    ) -> None:
        """Read all objects of a kind; the callback gets ``None`` on failure."""
        call = self._build_call('GET', f'{PREFIX}/{kind}')
        self._send(
            call,
            lambda reply: on_objects(_parse_list(reply)),
            lambda _: on_objects(None),
        )

    def write(
        self,
        kind: str,
        name: str,
        spec: object,
        expected: str,
        on_result: OnWrite,
    ) -> None:
        """Write an object if its version is ``expected``.

        An empty ``expected`` means that the object must not exist.
        """
        metadata = {'name': name, 'resourceVersion': expected}
        document = {'kind': kind, 'metadata': metadata, 'spec': spec}
        call = self._build_call(
            'PUT',
            f'{PREFIX}/{kind}/{name}',
            json.dumps(document).encode(),
        )
        self._send(
            call, lambda reply: on_result(_parse_write(reply)), on_result
        )

    def watch(self, kind: str, on_object: OnObject) -> None:
        """Report the objects of a kind and changes; reopen a lost watch."""
        _Watch(self, kind, on_object).open()

    def _build_call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> http_client.Call:
        return http_client.Call(
            self.settings.object_api,
            method,
            path,
            JSON_HEADERS,
            body,
            connect_s=self.settings.timeout_s,
            silence_s=self.settings.timeout_s,
        )

    def _send(
        self,
        call: http_client.Call,
        on_reply: abc.Callable[[http_client.Reply], None],
        on_failed: abc.Callable[[models.Unknown | models.NotWritten], None],
    ) -> None:
        sink = http_client.ReplyCollector(
            on_reply,
            lambda failure: on_failed(_classify_failure(call.method, failure)),
        )
        self.client.send(call, sink)


class _Watch:
    """Watch one kind; each line of the answer is an event in JSON."""

    def __init__(self, api: ObjectApi, kind: str, on_object: OnObject) -> None:
        self.api = api
        self.kind = kind
        self.on_object = on_object
        self.partial_line = bytearray()

    def open(self) -> None:
        """Open the watch."""
        self.partial_line.clear()
        settings = self.api.settings
        call = http_client.Call(
            settings.object_api,
            'GET',
            f'{PREFIX}/{self.kind}?watch=1',
            connect_s=settings.timeout_s,
            silence_s=WATCH_SILENCE_S,
            max_idle_s=http_client.NO_REUSE_S,
        )
        self.api.client.send(call, self)

    def on_head(self, head: http_client.Head) -> None:
        """Ignore the status, since an error body contains no event."""

    def on_data(self, chunk: bytes) -> None:
        """Report the objects of complete lines; a line has a largest size."""
        self.partial_line.extend(chunk)
        *lines, rest = bytes(self.partial_line).split(b'\n')
        self.partial_line = bytearray(rest)
        for line in lines:
            changed = _parse_event(line)
            if changed is not None:
                self.on_object(changed)
        if len(rest) > http_client.MAX_REPLY_BYTES:
            self.partial_line.clear()
            raise http_client.BodyTooLarge(
                f'an event exceeds {http_client.MAX_REPLY_BYTES} bytes'
            )

    def on_end(self) -> None:
        """Reopen the watch after a delay."""
        self._reopen()

    def on_failure(self, failure: verdicts.Failure) -> None:
        """Reopen the watch after a delay."""
        self._reopen()

    def _reopen(self) -> None:
        self.api.client.timers.call_later(REOPEN_S, self.open)


def _classify_failure(
    method: str,
    failure: verdicts.Failure,
) -> models.Unknown | models.NotWritten:
    is_write = method == 'PUT'
    if is_write and isinstance(failure, verdicts.NotRun):
        return models.NotWritten(failure.reason)
    return models.Unknown(failure.reason)


def _parse_read(reply: http_client.Reply) -> models.ReadResult:
    if reply.status == NOT_FOUND:
        return models.Absent()
    stored = _parse_object(reply.body) if reply.status == 200 else None
    if stored is None:
        return models.Unknown(
            f'unusable Object API answer, status {reply.status}'
        )
    return models.Stored(stored)


def _parse_write(reply: http_client.Reply) -> models.WriteResult:
    if reply.status == CONFLICT:
        return models.Conflict()
    if reply.status == TOO_MANY_REQUESTS:
        return models.NotWritten('Object API rejected the write: rate limit')
    stored = _parse_object(reply.body) if reply.status == 200 else None
    if stored is None:
        return models.Unknown(
            f'unusable Object API answer, status {reply.status}'
        )
    return models.Stored(stored)


def _parse_list(
    reply: http_client.Reply,
) -> list[models.StoredObject] | None:
    if reply.status != 200:
        return None
    try:
        documents = json.loads(reply.body)['items']
    except (ValueError, KeyError, TypeError):
        return None
    parsed = [_build_object(document) for document in documents]
    return [item for item in parsed if item is not None]


def _parse_object(body: bytes) -> models.StoredObject | None:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    return _build_object(document)


def _parse_event(line: bytes) -> models.StoredObject | None:
    try:
        document = json.loads(line)['object']
    except (ValueError, KeyError, TypeError):
        return None
    return _build_object(document)


def _build_object(document: object) -> models.StoredObject | None:
    match document:
        case {
            'kind': str(kind),
            'metadata': {'name': str(name), 'resourceVersion': str(version)},
            'spec': dict(spec),
        }:
            return models.StoredObject(kind, name, version, spec)
    return None
