"""Answers without a length, begun before or after their upload was read.

A process serves callers on real sockets: the order of the end of a stream and
a reset, and what a kernel takes of an upload, can't be played in virtual time.
"""

import contextlib
import dataclasses
import functools
import http.client
import socket
import time
from concurrent import futures

import pytest

from soak import system
from tests.support import crowds, early, front_door, live, platform_system

LONG = 1 << 20  # bytes of an upload
SHORT = 8000  # of which a worker reads a part with its head
LARGE = 4 << 20  # bytes of a kernel's buffer
START = b'HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n'
SHORT_PART = START + b'part'
LONG_PART = START + b'part' * 50000  # begins to be relayed at once


def close_later(sock):
    """End the stream, and close well after it with the upload unread."""
    sock.shutdown(socket.SHUT_WR)
    time.sleep(CLOSE_S)
    sock.close()


ENDS = (
    early.reset_later,
    early.shut_and_reset,
    early.shut_and_close,
    early.close,
)
CLOSE_S = 0.6
AT_ONCE = 0
ONCE_TAKEN = 0.3  # seconds, by which the kernel has the whole upload
CALLERS = 4  # at a time
TIMEOUT_MS = 8000
ANSWER_S = 20


@dataclasses.dataclass(frozen=True)
class Case:
    """An upload, and how its worker answers."""

    name: str
    behaviour: early.Behaviour
    size: int = LONG


def list_early_cases():
    """Return cases in which the worker leaves the upload unread."""
    for answer in (SHORT_PART, LONG_PART):
        for end in (*ENDS, close_later):
            behaviour = early.Behaviour(answer, end)
            name = f'{len(answer)}-{end.__name__}-{SHORT}'
            yield Case(name, behaviour, SHORT)
    for answer in (SHORT_PART, LONG_PART):
        for end in ENDS:
            for delay_s in (AT_ONCE, ONCE_TAKEN):
                for buffer_bytes in (0, LARGE):
                    behaviour = early.Behaviour(
                        answer,
                        end,
                        delay_s=delay_s,
                        buffer_bytes=buffer_bytes,
                    )
                    name = f'{len(answer)}-{end.__name__}-{delay_s}'
                    yield Case(f'{name}-{buffer_bytes}', behaviour)


EARLY = tuple(list_early_cases())
SIZES = (0, 600, 65536, LONG)
HONEST = tuple(
    Case(
        f'{size}-{end.__name__}-{len(answer)}',
        early.Behaviour(answer, end, early.read_request),
        size,
    )
    for size in SIZES
    for end in (early.close, early.shut_and_close)
    for answer in (SHORT_PART, LONG_PART)
)


@contextlib.contextmanager
def start(cases, folder):
    """Start a gateway with a service, a route and a worker for each case."""
    workers = [early.Worker(case.behaviour) for case in cases]
    world = system.System(1, 12, folder)
    names = [f'early-{number}' for number in range(len(cases))]
    routes = [
        platform_system.make_route(
            name, f'/{name}/', 'unsafe', name, timeoutMs=TIMEOUT_MS
        )
        for name in names
    ]
    services = [
        {'name': name, 'healthPath': '/healthz', 'maxConns': 100}
        for name in names
    ]
    world.configure(
        routes=[*world.configuration['routes'], *routes],
        services=[*world.configuration['services'], *services],
    )
    for name, worker in zip(names, workers, strict=True):
        spec = platform_system.make_worker_spec(name, worker.address)
        world.store.put('servers', f'{name}-0', spec)
    door = front_door.Door(world.entries['entry-0'])
    with live.run_in_thread(world.loop), contextlib.closing(world):
        world.start()
        door.wait_ready()
        yield door, workers
    for worker in workers:
        worker.close()


def ask(door, number, size):
    """Return the answer to an upload, or None if it is incomplete."""
    caller = http.client.HTTPConnection(
        door.entry.ports['front'], timeout=ANSWER_S
    )
    headers = {
        'Host': crowds.HOST,
        'Authorization': f'Bearer {crowds.KEY}',
        'Attempt-Id': f'upload-{number}',
        'Deadline-Ms': str(TIMEOUT_MS),
    }
    with contextlib.closing(caller):
        caller.request('POST', f'/early-{number}/', bytes(size), headers)
        try:
            answer = caller.getresponse()
            return answer.status, answer.read()
        except (http.client.HTTPException, ConnectionError):
            return None


def play(cases, folder):
    """Return the answer to each case, and how many workers got their upload."""
    with start(cases, folder) as (door, workers):
        with futures.ThreadPoolExecutor(CALLERS) as pool:
            answers = tuple(
                pool.map(
                    functools.partial(ask, door),
                    range(len(cases)),
                    (case.size for case in cases),
                )
            )
        return answers, [worker.uploads for worker in workers]


@pytest.fixture(autouse=True)
def _alone():
    with front_door.alone():
        yield


def test_an_answer_begun_before_its_upload_was_read_is_not_complete(tmp_path):
    answers, uploads = play(EARLY, tmp_path)

    taken = {
        case.name: answer[0]
        for case, answer in zip(EARLY, answers, strict=True)
        if answer is not None and answer[0] < 300
    }
    assert taken == {}
    assert uploads == [1] * len(EARLY)


def test_an_answer_begun_after_its_upload_was_read_is_complete(tmp_path):
    answers, uploads = play(HONEST, tmp_path)

    expected = {
        case.name: (200, case.behaviour.answer.removeprefix(START))
        for case in HONEST
    }
    names = [case.name for case in HONEST]
    assert dict(zip(names, answers, strict=True)) == expected
    assert uploads == [1] * len(HONEST)
