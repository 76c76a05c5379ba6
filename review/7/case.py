"""A call of a former holder that the cloud gets after one of its successor.

Three gateways serve callers, whose number rises as in a burst, so that the
holder of the duties orders workers. The holder is cut off from the platform
for 2.5 s. What it sends on an open connection meanwhile is held up, as TCP does
it: the kernel of the sender sends it again 0.2, 0.6, 1.4 and 3.0 s after the
first time, also if the process has closed the connection since, but not if it
has reset the connection.
"""

import asyncio
import itertools
import json
import math
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as harness  # noqa: E402

SERVICE = 'atelier-llm'
BOOT_S = 4.0
DRAIN_S = 3.0
USUAL_PER_S = 6.0
BURST_X = 1.7
TOKENS = '9000,60'
REPEATS_S = (0.2, 0.6, 1.4, 3.0)  # after a segment was sent first
USER_TIMEOUT_S = 3.5  # that the gateways set for their connections
CUT_AFTER_S = 0.7  # after a renewal of the lease
CUT_S = 2.5
THAW_S = 0.3  # calls so soon after the link has healed don't count
ROUNDS = 3


class Link:
    """Forward connections to a target; hold their bytes up while it is cut."""

    def __init__(self, name, target, record):
        self.name = name
        self.target = target
        self.record = record
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.healed_at = 0.0
        self.heals = []
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.server = server
        self.address = f'127.0.0.1:{port}'
        return self

    def cut(self):
        """Begin a cut."""
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        """End the cut."""
        self.is_cut = False
        self.healed_at = time.monotonic()
        self.heals.append(self.healed_at)
        self.healed.set()

    async def _accept(self, reader, writer):
        if self.is_cut:
            # The opening packet is lost: nothing of the connection arrives.
            await self.healed.wait()
            writer.transport.abort()
            return
        far_reader, far_writer = await harness.connect(self.target)
        await asyncio.gather(
            self._pump(reader, far_writer, 'to the platform'),
            self._pump(far_reader, writer, 'from the platform'),
        )

    async def _pump(self, reader, writer, way):
        try:
            while chunk := await reader.read(65536):
                sent_at = time.monotonic()
                if self.is_cut:
                    self.record.write(
                        self.name, 'holds up', len(chunk), 'bytes', way
                    )
                    await self._wait_for_repeat(sent_at)
                    self.record.write(
                        self.name, 'delivers', len(chunk), 'bytes', way
                    )
                writer.write(chunk)
                await writer.drain()
            if self.is_cut:
                await self.healed.wait()
            writer.write_eof()
        except (ConnectionError, TimeoutError, OSError):
            # A reset, or no acknowledgement for too long.
            writer.transport.abort()

    async def _wait_for_repeat(self, sent_at):
        await self.healed.wait()
        for repeat_s in REPEATS_S:
            due_s = sent_at + repeat_s - time.monotonic()
            if sent_at + repeat_s >= self.healed_at:
                await asyncio.sleep(max(0, due_s))
                return
        raise TimeoutError('user timeout')


class Platform:
    """Start and stop workers as the orders say."""

    def __init__(self, system):
        self.system = system
        self.workers = {}
        self.numbers = itertools.count(1)

    async def add(self, zone, is_spot):
        """Start a worker and register it."""
        worker = harness.Worker(
            f'i-llm-{next(self.numbers)}', self.system.record
        )
        await worker.start()
        self.workers[worker.name] = (zone, is_spot)
        self.system.store.put(
            'servers',
            worker.name,
            harness.make_entry(worker, SERVICE, zone, spot=is_spot),
        )

    def on_call(self, call):
        """Carry out an order of workers."""
        if call['path'] == '/scale':
            order = call['document']
            key = (order['zone'], bool(order.get('spot')))
            asyncio.get_running_loop().create_task(
                self._order(key, order['desired'])
            )

    async def _order(self, key, desired):
        names = [name for name, where in self.workers.items() if where == key]
        for name in names[desired:]:
            self.workers.pop(name)
            spec = self.system.store.objects[('servers', name)]['spec']
            self.system.store.put(
                'servers', name, {**spec, 'state': 'draining'}
            )
            await asyncio.sleep(DRAIN_S)
            self.system.store.remove('servers', name)
        if len(names) < desired:
            await asyncio.sleep(BOOT_S)
            while (
                sum(key == where for where in self.workers.values()) < desired
            ):
                await self.add(*key)


class Callers:
    """Send requests at a rate that changes."""

    def __init__(self, system):
        self.system = system
        self.per_s = USUAL_PER_S
        self.answers = {}
        self.tasks = set()

    async def run(self):
        """Send requests to the gateways in turn."""
        for number in itertools.count():
            gateways = self.system.gateways
            gateway = gateways[number % len(gateways)]
            task = asyncio.create_task(self._ask(gateway, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / self.per_s)

    async def _ask(self, gateway, number):
        name = f'r{number}'
        headers = harness.make_headers(name, 3000)
        headers.update(
            {
                'Model': 'm',
                'Token-Usage': TOKENS,
                'Prefix-Hash': f'{number % 9:x}:3000,{number:x}a:6000',
            }
        )
        try:
            status, _, _ = await harness.ask(
                gateway.listen['front'],
                'GET',
                f'/history/{name}',
                headers,
                wait_s=5,
            )
        except (OSError, EOFError, TimeoutError):
            status = 0
        self.answers[status] = self.answers.get(status, 0) + 1


async def play(system):
    """Return whether a call of a former holder came after its successor's."""
    record = system.record
    platform = Platform(system)
    system.cloud.on_call = platform.on_call
    zones = list(harness.ZONES)
    system.store.put(
        'config',
        'main',
        harness.make_configuration(
            [harness.make_route('history', 'safe', SERVICE, sticky=True)],
            [
                {
                    'name': SERVICE,
                    'healthPath': '/healthz',
                    'maxConns': 360,
                    'scaling': {
                        'min': 1,
                        'max': 6,
                        'bootS': BOOT_S,
                        'spotPrice': 0.18,
                        'zonePrices': {zones[0]: 1.0, zones[1]: 0.8},
                    },
                }
            ],
        ),
    )
    for zone in zones * 2:
        await platform.add(zone, is_spot=True)
    links = {}
    for _ in range(3):
        gateway = system.add_gateway('-', '-')
        pair = [
            await start_link(gateway.name, kind, server, record)
            for kind, server in (
                ('store', system.store_server),
                ('cloud', system.cloud_server),
            )
        ]
        gateway.store, gateway.cloud = (link.address for link in pair)
        links[gateway.name] = pair
    await system.start_gateways()
    callers = Callers(system)
    running = asyncio.create_task(callers.run())
    await asyncio.sleep(18)
    for _ in range(ROUNDS):
        callers.per_s = USUAL_PER_S * BURST_X
        record.write('burst', callers.per_s, 'requests a second')
        holder = await wait_for_renewal(system)
        await asyncio.sleep(CUT_AFTER_S)
        if harness.is_troubled():
            record.write('cut', holder)
            for link in links[holder]:
                link.cut()
        await asyncio.sleep(CUT_S)
        for link in links[holder]:
            link.heal()
        record.write('healed', holder)
        await asyncio.sleep(2)
        callers.per_s = USUAL_PER_S
        await asyncio.sleep(18)
    running.cancel()
    record.write('answers by status', json.dumps(callers.answers))
    return judge(system.cloud.calls, links, record)


async def start_link(gateway, kind, server, record):
    """Return a link of a gateway to a server of the platform."""
    return await Link(f'{gateway} {kind}', server.address, record).start()


async def wait_for_renewal(system):
    """Return the holder of the lease when it has just renewed it."""
    key = ('citron-leases', 'duties')
    known = system.store.objects[key]['meta']['rev']
    while True:
        stored = system.store.objects[key]
        if stored['meta']['rev'] != known:
            system.record.write('lease', json.dumps(stored['spec']))
            return stored['spec']['holder'].partition('/')[0]
        await asyncio.sleep(0.01)


def judge(calls, links, record):
    """Return whether the fence or the order of the holders was broken."""
    highest = {}
    is_broken = False
    for call in calls:
        document = call['document']
        subject = (call['path'], document.get('service'), document.get('zone'))
        before = highest.get(subject)
        if before is None or call['token'] >= before['token']:
            highest[subject] = call
            continue
        heals = links[call['holder']][1].heals
        since_heal_s = min(
            (call['at'] - at for at in heals if at <= call['at']),
            default=math.inf,
        )
        record.write(
            'lower token',
            call['token'],
            'of',
            call['holder'],
            f'{call["at"] - before["at"]:.3f} s after',
            before['token'],
            'of',
            before['holder'],
            f'and {since_heal_s:.3f} s after its link had healed:',
            subject,
        )
        is_broken |= since_heal_s > THAW_S
    return is_broken


harness.run_case(FOLDER, play)
