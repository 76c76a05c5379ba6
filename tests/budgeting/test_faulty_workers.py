"""Workers whose bytes never end, or stop half way, end no process.

Each test plays one pattern at a real process, whose settings state the memory
and the descriptors of its host, while no other of these tests runs.
"""

import contextlib
import functools

import pytest

from tests.support import crowds, endless, front_door, platform_system

OK = b'HTTP/1.1 200 OK\r\nSignature: s\r\n'
FAILED = b'HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\n'
STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
FILL = b'y' * 1000
CHUNK = b'3e8\r\n%b\r\n' % FILL
LARGE = b'y' * 60000
LARGE_CHUNK = b'%x\r\n%b\r\n' % (len(LARGE), LARGE)
BODY = LARGE_CHUNK * 40
EVENT_CHUNK = b'3e8\r\ndata: %b\n\n\r\n' % FILL[:992]
PLAIN = 'faulty'
EVENTS = 'faulty stream'
# The kind of route, what a worker sends once, then again and again, and how
# often at most.
CASES = {
    'no head': (PLAIN, b'', b'\x00' * 1000),
    'a field without end': (PLAIN, OK + b'X: ', FILL),
    'fields without end': (PLAIN, OK, b'X: %b\r\n' % FILL),
    'many short fields': (
        PLAIN,
        OK + b''.join(b'%x:\r\n' % number for number in range(8000)),
        b'',
        0,
    ),
    'a failure without end': (PLAIN, FAILED + CHUNKED, CHUNK),
    'a failure that stops': (PLAIN, FAILED + CHUNKED, CHUNK, 1000),
    'a body without end': (PLAIN, OK + CHUNKED, LARGE_CHUNK),
    'a body that stops': (PLAIN, OK + CHUNKED, CHUNK, 250),
    'a trailer without end': (
        PLAIN,
        OK + CHUNKED + BODY + b'0\r\nX: ',
        LARGE,
    ),
    'a chunk extension without end': (
        PLAIN,
        OK + CHUNKED + BODY + b'5;x=',
        LARGE,
    ),
    'an event without end': (EVENTS, OK + STREAM + CHUNKED, CHUNK),
    'events without end': (EVENTS, OK + STREAM + CHUNKED, EVENT_CHUNK * 60),
    'an event that stops': (EVENTS, OK + STREAM + CHUNKED, CHUNK, 1000),
    'trailers without end': (
        PLAIN,
        OK + CHUNKED + BODY + b'0\r\n',
        b'X: y\r\n' * 9999,
    ),
}
WORKERS = 4
PLAY_S = 10  # streams of events without end never settle
SLOTS = 100
ORDINARY_BODY = bytes(1024)


@pytest.fixture(autouse=True)
def _alone():
    with front_door.alone():
        yield


def add_faulty_workers(case, world):
    """Add routes to a service whose workers all send the same bytes."""
    routes = [
        platform_system.make_route(name, path, kind, 'faulty')
        for name, path, kind in (
            ('faulty', '/faulty/', 'unsafe'),
            ('faulty stream', '/faulty/stream/', 'stream'),
        )
    ]
    service = {'name': 'faulty', 'healthPath': '/healthz', 'maxConns': SLOTS}
    world.configure(
        routes=[*world.configuration['routes'], *routes],
        services=[*world.configuration['services'], service],
    )
    for number in range(WORKERS):
        server = endless.EndlessServer(world.loop, '127.0.0.1:0', *case)
        spec = platform_system.make_worker_spec(
            'faulty', f'127.0.0.1:{server.port}'
        )
        world.store.put('servers', f'faulty-{number}', {**spec, 'slots': SLOTS})


def ask(target, number):
    """One request on a connection, whose answer is read."""
    return crowds.Script(
        [crowds.make_head(target, 'GET', name=f'ask-{number}')]
    )


def ask_and_read_slowly(target, number):
    """The same, but the answer is read a few bytes at a time, or not."""
    script = ask(target, number)
    script.is_slow = True
    script.read_bytes = 64 * (number % 2)
    return script


@pytest.mark.parametrize('pattern', [ask, ask_and_read_slowly])
@pytest.mark.parametrize('name', CASES)
def test_a_process_outlives_faulty_workers_and_serves_others(
    name, pattern, tmp_path
):
    target, *case = CASES[name]
    prepare = functools.partial(add_faulty_workers, case)
    with front_door.start(tmp_path, prepare) as door:
        targets = door.get_targets(target, target)
        with contextlib.closing(crowds.Crowd(pattern, targets)) as crowd:
            crowd.send_all()
            door.settle(crowd, PLAY_S)
            is_ready = door.is_served('ready')
            is_served = door.is_served('data', ORDINARY_BODY)
        used = door.measure()
        print(name, pattern.__name__, used, is_ready, is_served)

        assert door.is_running()
        assert used.peak_bytes <= front_door.MEMORY_MB * 1_000_000
        assert used.descriptors <= front_door.DESCRIPTORS
        assert (is_ready, is_served) == (True, True)
