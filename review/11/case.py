"""A worker is reclaimed while it copies the memory of its streams."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3_cases as cases
import standins_3_engine as engine
import standins_3_gateways as gateways
import standins_3_web as web

SERVICE = 'atelier-llm'
STREAMS = 40
EVENTS = 36
NOTICE_S = 2.4  # from the notice until a reclaimed worker is gone
HEALTH_PATH = '/healthz'


def make_services():
    figures = {
        'slots': 64,
        'kvCapacity': 715488,
        'kvTokenBytes': 163840,
        'linkMbps': 370000.0,
        'moves': True,
        'backups': False,
        'handleS': 5.0,
        'models': [{'name': 'm'}],
    }
    return [
        {
            'name': SERVICE,
            'healthPath': HEALTH_PATH,
            'maxConns': 360,
            'engine': figures,
        }
    ]


async def ask(system, number, answers):
    gateway = system.gateways[number % len(system.gateways)]
    name = f'dossier-{number}'
    headers = {
        'Host': cases.HOST,
        'Attempt-Id': name,
        'Authorization': f'Bearer {cases.KEY}',
        'Model': 'm',
        'Token-Usage': f'12000,{EVENTS * 5}',
        'Prefix-Hash': f'{number % 8 + 1:08x}:5382,{number + 100:08x}:6610',
        'Deadline-Ms': '15000',
    }
    system.record.write('client', 'sends', name, to=gateway.name)
    answer = await web.call(
        gateway.front, 'POST', '/dossier/1', headers, bytes(12000), 15.0
    )
    answers[name] = answer
    system.record.write(
        'client',
        'got',
        name,
        status=answer.status,
        events=answer.body.count(b'id: '),
        is_whole=answer.is_whole,
        error=answer.error,
    )


async def reclaim(system, worker, server, register):
    """Announce that a worker leaves, and take it away after the notice."""
    worker.leaves_at = time.monotonic() + NOTICE_S
    system.record.write('platform', 'reclaims', worker.name, in_s=NOTICE_S)
    register(worker, state='draining', leaves_ms=worker.get_leaves_ms())
    await asyncio.sleep(NOTICE_S)
    system.record.write(
        'platform', 'takes away', worker.name, moved=worker.moves
    )
    server.stop()
    system.store.remove('servers', worker.name)


async def play(record, scratch, systems):
    system = cases.System(record, scratch, 2)
    systems.append(system)
    workers = [
        engine.Engine(f'i-{name}', SERVICE, zone, record, is_framed=False)
        for name, zone in zip('ab', gateways.ZONES)
    ]
    servers = []

    def register(worker, **fields):
        system.store.put(
            'servers',
            worker.name,
            cases.make_registration(
                SERVICE,
                worker.address,
                zone=worker.zone,
                spot=True,
                born=born,
                **fields,
            ),
        )

    born = int(time.time() * 1000)
    for worker in workers:
        server, worker.address = await system.serve(worker.handle)
        servers.append(server)
        register(worker)
    for worker in workers:
        worker.known = {known.address: known for known in workers}
    route = cases.make_route(
        'dossier', '/dossier/', 'stream', SERVICE, sticky=True, gapAimMs=400
    )
    await system.start(cases.make_configuration([route], make_services()))
    await asyncio.sleep(4)
    answers = {}
    asked = [
        asyncio.create_task(ask(system, number, answers))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(3)
    leaving = None
    if cases.has_trouble():
        leaving = asyncio.create_task(
            reclaim(system, workers[0], servers[0], register)
        )
    await asyncio.gather(*asked)
    if leaving is not None:
        await leaving
    return judge(record, answers)


def judge(record, answers):
    """Return the verdict on ORDER: no stream may look complete too soon."""
    broken = 0
    whole = 0
    for name, answer in sorted(answers.items()):
        if answer.status != 200 or not answer.is_whole:
            continue
        whole += 1
        ids = [
            int(line[4:])
            for line in answer.body.decode().splitlines()
            if line.startswith('id: ')
        ]
        if ids != list(range(1, EVENTS + 1)):
            broken += 1
            record.write(
                'rule',
                'ORDER',
                name,
                last_event=ids[-1] if ids else 0,
                events_due=EVENTS,
            )
    record.write('rule', 'whole', str(whole), too_short=broken)
    if not whole:
        raise cases.Unable('no stream was completed')
    return cases.BROKEN if broken else cases.HELD


cases.run(play, FOLDER)
