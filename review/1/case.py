"""Another writer's entry that can't be read stands among the workers' entries."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
import harness  # noqa: E402

DEPTH = 1500  # lists in lists: 3 KB of the 1 MiB that an entry may have
DOWN_S = 0.75
RECOVER_S = 12.0
MEASURED_S = 6.0
PERIOD_S = 0.05


class Caller:
    """Send a request to each machine at intervals, and keep the answers."""

    def __init__(self, system):
        self.system = system
        self.sent_at = {}
        self.statuses = {}
        self.tasks = set()

    async def run(self):
        while True:
            for gateway in self.system.gateways:
                attempt = f'{len(self.sent_at) + 1:016x}'
                task = asyncio.create_task(self._send(gateway, attempt))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                await asyncio.sleep(0)
            await asyncio.sleep(PERIOD_S)

    async def _send(self, gateway, attempt):
        self.sent_at[attempt] = time.monotonic()
        self.system.record(f'client sends {attempt} to {gateway.name}')
        try:
            answer = await harness.ask(
                gateway.ports['front'],
                'POST',
                '/hold/axle',
                harness.make_headers(attempt, 1500),
                b'part=axle',
                limit_s=2,
            )
            self.statuses[attempt] = answer.status if answer.is_whole else 0
        except (OSError, EOFError, TimeoutError):
            self.statuses[attempt] = 0
        self.system.record(f'client has {attempt}: {self.statuses[attempt]}')

    def measure(self, start, end):
        chosen = [a for a, at in self.sent_at.items() if start <= at < end]
        served = sum(self.statuses.get(attempt) == 200 for attempt in chosen)
        return served, len(chosen)


async def play(system, is_troubled):
    zones = ('casa-voyageurs', 'rabat-agdal')
    for number in range(4):
        system.workers.append(
            harness.Worker(
                f'i-app{number}',
                'magasin-app',
                zones[number % 2],
                lambda _: b'held',
            )
        )
    system.add_route('/hold/', 'unsafe', 'magasin-app', timeoutMs=1500)
    await system.start(zones, ['magasin-app'])
    caller = Caller(system)
    calling = asyncio.create_task(caller.run())
    began_at = time.monotonic()
    await asyncio.sleep(harness.STABLE_S + 1)

    if is_troubled:
        system.store.raw['@nested@'] = '[' * DEPTH + ']' * DEPTH
        await system.store.put(
            'servers',
            'inventory-export',
            {
                'service': 'magasin-app',
                'addr': system.workers[0].location,
                'zone': zones[0],
                'slots': '@nested@',
                'state': 'ready',
            },
        )
        system.record('another writer writes servers/inventory-export')
    await asyncio.sleep(harness.STABLE_S)

    for gateway in system.gateways:
        gateway.send(signal.SIGKILL)
    system.record('the final fault: all processes are killed')
    before = caller.measure(began_at, time.monotonic() - 2)
    await asyncio.sleep(DOWN_S)
    for gateway in system.gateways:
        await gateway.start()
    back_at = time.monotonic()
    system.record('all processes are started')
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    for gateway in system.gateways:
        ready = await gateway.is_ready()
        system.record(
            f'{gateway.name} runs: {gateway.is_running}, is ready: {ready}'
        )
    calling.cancel()
    await system.store.remove('servers', 'inventory-export')
    await asyncio.sleep(5)
    for gateway in system.gateways:
        ready = await gateway.is_ready()
        system.record(
            f'5 s after the entry was removed {gateway.name} is ready: {ready}'
        )

    after = caller.measure(
        back_at + RECOVER_S, back_at + RECOVER_S + MEASURED_S
    )
    for worker in system.workers:
        for at, attempt, _ in worker.runs:
            system.record(f'{worker.name} runs {attempt}', at)
    system.record(f'served before the final fault: {before[0]} of {before[1]}')
    system.record(
        f'served later than recoverS after it: {after[0]} of {after[1]}'
    )
    if after[0] < after[1] / 4 and before[0] >= before[1] / 4:
        return [
            f'RECOVER {after[0]} of {after[1]} requests that were sent later than'
            f' recoverS after the machines were back are served,'
            f' {before[0]} of {before[1]} before the final fault'
        ]
    return []


harness.run(CASE, play)
