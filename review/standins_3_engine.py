"""A model worker: streams, moves of their memory, and its departure."""

import asyncio
import json
import time

import standins_3_web as web

EVENT_S = 0.25
# Memory of 12,000 prompt tokens, 163,840 bytes each, over 370,000 Mbit/s, twice
# as long between zones.
COPY_S = 0.085


class Run:
    """One run; ``made`` counts its events."""

    def __init__(self, name, total, made):
        self.name = name
        self.total = total
        self.made = made
        self.is_stopped = False
        self.is_over = False
        self.peer = None


class Engine:
    """A model worker of one service.

    With ``is_framed`` its streams are chunked, otherwise they end with their
    connection. Copies that have arrived are in ``copies`` of the destination.
    """

    def __init__(self, name, service, zone, record, *, is_framed):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.is_framed = is_framed
        self.address = ''
        self.runs = {}
        self.copies = {}
        self.known = {}
        self.link = asyncio.Lock()
        self.leaves_at = None
        self.moves = 0
        self.tasks = set()

    def get_leaves_ms(self):
        if self.leaves_at is None:
            return None
        return max(0, int((self.leaves_at - time.monotonic()) * 1000))

    async def handle(self, request, peer):
        if request.path == '/healthz':
            await self._answer_health(peer)
            return True
        if request.path == '/api/report':
            await self._report(peer)
            return True
        if request.path == '/api/kv-move':
            await self._move(json.loads(request.body), peer)
            return True
        return await self._run(request, peer)

    async def _answer_health(self, peer):
        status = 200 if self.leaves_at is None else 503
        load = f'{len(self.runs)},0,64'
        await peer.answer(status, {'Instance': self.name, 'Load': load})

    async def _report(self, peer):
        document = {
            'phase': 'mixed',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': 0,
            'waiting': 0,
            'running': len(self.runs),
            'kvUsed': 12000 * len(self.runs),
            'kvTotal': 715488,
            'handles': 0,
            'state': 'ready' if self.leaves_at is None else 'draining',
            'runs': [
                [run.name, 12000, run.made, 1] for run in self.runs.values()
            ],
        }
        if self.leaves_at is not None:
            document['leaves_ms'] = self.get_leaves_ms()
        await peer.answer_json(200, document)

    async def _run(self, request, peer):
        name = request.headers.get('attempt-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            await peer.answer(421, {'Instance': self.name})
            return True
        made = int(request.headers.get('last-event-id', 0))
        source = request.headers.get('kv-from', '')
        if source:
            copied = self.copies.pop(source, None)
            if copied is None:
                self.record.write(self.name, 'refuses', name, kv_from=source)
                await peer.answer(
                    503, {'Attempt-Id': name, 'Not-Executed': '1'}
                )
                return True
        total = int(request.headers['token-usage'].split(',')[1]) // 5
        run = Run(name, total, made)
        run.peer = peer
        self.runs[name] = run
        self.record.write(self.name, 'runs', name, after=made, kv_from=source)
        await self._stream(run, peer)
        self.runs.pop(name, None)
        peer.close()
        return False

    async def _stream(self, run, peer):
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            f'Attempt-Id: {run.name}',
            f'Signature: {self.name}.{run.name}',
            'Connection: close',
        ]
        if self.is_framed:
            lines.append('Transfer-Encoding: chunked')
        await peer.send('\r\n'.join([*lines, '', '']).encode())
        while run.made < run.total and not run.is_stopped:
            await asyncio.sleep(EVENT_S)
            if run.is_stopped:
                break
            run.made += 1
            event = f'id: {run.made}\ndata: {run.name} {run.made}\n\n'.encode()
            if self.is_framed:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            await peer.send(event)
        run.is_over = run.made == run.total
        if run.is_over and self.is_framed:
            await peer.send(b'0\r\n\r\n')
        what = 'completes' if run.is_over else 'stops'
        self.record.write(self.name, what, run.name, made=run.made)

    async def _move(self, order, peer):
        """Stop a run, close its stream without its end, and copy its memory."""
        name = order['id']
        run = self.runs.get(name)
        if run is None or run.is_over:
            await peer.answer_json(404, {})
            return
        self.record.write(self.name, 'is told to move', name, made=run.made)
        run.is_stopped = True
        run.peer.close()
        async with self.link:
            await asyncio.sleep(COPY_S)
        self.moves += 1
        handle = f'h{self.moves}'
        destination = self.known[order['target']]
        destination.copies[f'{self.address}/{handle}'] = name
        self.record.write(self.name, 'has moved', name, to=destination.name)
        await peer.answer_json(200, {'handle': handle, 'createdRev': run.made})
