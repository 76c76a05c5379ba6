"""An application worker: answers each request after its work is done."""

import asyncio


class Service:
    """A worker with a length in each answer; ``runs`` counts by request id."""

    def __init__(self, name, record, work_s=0.03):
        self.name = name
        self.record = record
        self.work_s = work_s
        self.runs = {}
        self.running = 0

    async def handle(self, request, peer):
        if request.path == '/healthz':
            load = f'{self.running},0,64'
            await peer.answer(200, {'Instance': self.name, 'Load': load})
            return True
        name = request.headers.get('attempt-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            await peer.answer(421, {'Instance': self.name})
            return True
        return await self.run(name, request, peer)

    async def run(self, name, request, peer):
        """Run a request; return whether its connection is kept."""
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.write(
            self.name,
            'runs',
            name,
            method=request.method,
            target=request.target,
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        await peer.answer(
            200,
            {'Attempt-Id': name, 'Signature': f'{self.name}.{name}'},
            f'{name} {request.target}'.encode(),
        )
        return True
