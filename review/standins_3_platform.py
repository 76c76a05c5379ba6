"""The platform's store and its API for duties, as PROTOCOL.md describes them."""

import asyncio
import json

import standins_3_web as web

LONGEST_WAIT_S = 30.0


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Create or replace an object, as the operator or a worker does."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        meta = {
            'name': name,
            'rev': self.revision,
            'createdRev': known['meta']['createdRev']
            if known
            else self.revision,
            'finalizers': [],
            'deleting': False,
        }
        status = known['status'] if known else None
        stored = {'meta': meta, 'spec': spec, 'status': status}
        self._commit(kind, name, stored, is_removed=False)
        return stored

    def remove(self, kind, name):
        """Remove an object."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            gone = {**known, 'meta': {**known['meta'], 'rev': self.revision}}
            self._commit(kind, name, gone, is_removed=True)

    def _commit(self, kind, name, stored, *, is_removed):
        if not is_removed:
            self.objects[(kind, name)] = stored
        event = {'tombstone': is_removed, 'object': stored}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, peer):
        parts = request.path.split('/')
        if parts[:3] != ['', 'api', 'objects']:
            await peer.answer_json(404, {})
            return True
        kind, *rest = parts[3:]
        if request.method == 'GET':
            await self._read(kind, rest, request.query, peer)
            return True
        await self._write(kind, rest, request, peer)
        return True

    async def _read(self, kind, rest, query, peer):
        if rest:
            stored = self.objects.get((kind, rest[0]))
            await peer.answer_json(200 if stored else 404, stored or {})
        elif 'watch' in query:
            wait_s = min(LONGEST_WAIT_S, int(query.get('waitMs', 0)) / 1000)
            await self._watch(kind, int(query['watch']), wait_s, peer)
        else:
            names = sorted(
                name for known, name in self.objects if known == kind
            )
            after = query.get('after', '')
            entries = [
                self.objects[kind, name] for name in names if name > after
            ]
            await peer.answer_json(
                200,
                {'entries': entries, 'hasMore': False, 'asOf': self.revision},
            )

    async def _watch(self, kind, since, wait_s, peer):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            changed = self.changed
            events = [
                event
                for revision, known, event in self.history
                if known == kind and revision > since
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        await peer.answer_json(200, {'events': events, 'asOf': self.revision})

    async def _write(self, kind, rest, request, peer):
        document = json.loads(request.body or b'{}')
        meta = document.get('meta') or {}
        name = rest[0] if rest else meta.get('name', '')
        known = self.objects.get((kind, name))
        if request.method == 'POST':
            if known is not None:
                await peer.answer_json(409, known)
                return
            stored = self.put(kind, name, document.get('spec'))
            await peer.answer_json(200, stored)
            return
        if known is None:
            await peer.answer_json(404, {})
            return
        expected = meta.get('rev') or request.query.get('rev')
        if expected is not None and int(expected) != known['meta']['rev']:
            await peer.answer_json(409, known)
            return
        if request.method == 'DELETE':
            self.remove(kind, name)
            await peer.answer_json(200, known)
        elif rest[1:] == ['status']:
            stored = self._put_status(kind, name, known, document.get('status'))
            await peer.answer_json(200, stored)
        else:
            stored = self.put(kind, name, document.get('spec'))
            await peer.answer_json(200, stored)

    def _put_status(self, kind, name, known, status):
        if known['status'] == status:
            return known
        self.revision += 1
        meta = {**known['meta'], 'rev': self.revision}
        stored = {**known, 'meta': meta, 'status': status}
        self.record.write('store', 'status', f'{kind}/{name}', status=status)
        self._commit(kind, name, stored, is_removed=False)
        return stored


class Cloud:
    """The calls of duties; ``calls`` holds what was accepted, in order."""

    def __init__(self, record):
        self.record = record
        self.calls = []

    async def handle(self, request, peer):
        call = {
            'path': request.path,
            'holder': request.headers.get('holder', ''),
            'token': request.headers.get('fencing-token', ''),
            **json.loads(request.body or b'{}'),
        }
        self.calls.append(call)
        self.record.write('cloud', 'call', call['path'], **call)
        await peer.answer_json(200, {})
        return True
