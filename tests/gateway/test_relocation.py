"""Streams that a reclaim would cut off are moved to another worker."""

import pytest

from tests.support import platform_system, scripted

MOVING = {
    'name': 'llm',
    'healthPath': '/healthz',
    'maxConns': 100,
    'engine': {'slots': 64, 'kvCapacity': 700000, 'moves': True},
}
EVENTS = 50


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.configuration['services'][1] = MOVING
    system.configuration['routes'] = [
        platform_system.make_route(
            'stream', '/stream/', 'stream', 'llm', timeoutMs=15000, attempts=1
        ),
        platform_system.make_route('safe', '/safe/', 'safe', 'app'),
    ]
    system.build(workers=2)
    for worker in system.workers.values():
        worker.behaviour.event_count = EVENTS
        worker.behaviour.event_interval_s = 0.1
    return system


def start_stream(deployed):
    answer = deployed.send('/stream/x', method='POST', deadline_ms=15000)
    deployed.world.run(0.5)
    signer = answer.headers['signature'].removeprefix('sig.')
    other = 'llm-1' if signer == 'llm-0' else 'llm-0'
    return answer, signer, other


def drain(deployed, name, left_s):
    deployed.workers[name].leaves_at = deployed.world.now + left_s
    deployed.set_state(name, 'draining')


def reclaim(deployed, name, left_s):
    drain(deployed, name, left_s)
    deployed.world.run(left_s)
    deployed.worker_hosts[name].kill()


def numbers(answer):
    lines = answer.body.decode().split('\n')
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


def test_a_stream_resumes_from_its_kv_cache_at_another_worker(deployed):
    answer, source, target = start_stream(deployed)
    reclaim(deployed, source, 2.4)
    deployed.world.run(6)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.headers['signature'] == f'sig.{source}'
    (run,) = deployed.workers[target].runs
    assert run.headers['kv-from'].startswith('10.8.0.')
    assert run.headers['kv-from'].endswith('/h-request-1')
    assert run.headers['last-event-id']
    stops = [move['last'] for move in deployed.workers[source].moves]
    assert stops == [True]


def test_a_stream_that_ends_in_time_is_not_stopped(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 12
    answer, source, target = start_stream(deployed)
    reclaim(deployed, source, 2.4)
    deployed.world.run(2)

    assert answer.is_complete
    assert not deployed.workers[target].runs
    assert not deployed.workers[source].moves


def test_a_stream_resumes_at_its_worker_if_the_copy_is_refused(deployed):
    answer, source, target = start_stream(deployed)
    deployed.workers[source].move_status = 503
    drain(deployed, source, 2.4)
    deployed.world.run(8)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))
    assert len(deployed.workers[source].runs) == 2
    assert not deployed.workers[target].runs


def test_a_stream_is_cut_if_the_kv_cache_of_its_stopped_run_is_lost(deployed):
    answer, source, target = start_stream(deployed)
    deployed.workers[source].omits_handle = True
    reclaim(deployed, source, 2.4)
    deployed.world.run(4)

    assert answer.status == 200
    assert not answer.is_complete
    assert not deployed.workers[target].runs


def test_the_stream_of_a_caller_that_left_is_not_moved(deployed):
    answer, source, target = start_stream(deployed)
    drain(deployed, source, 2.4)
    deployed.world.run(1.0)
    answer.call.cancel()
    deployed.world.run(4)

    assert not deployed.workers[target].runs
    assert not deployed.gateways['gateway-0'].services.flows


def test_no_stream_is_moved_from_a_worker_that_drains_without_an_end_time(
    deployed,
):
    answer, source, _ = start_stream(deployed)
    deployed.set_state(source, 'draining')
    deployed.world.run(6)

    assert answer.is_complete
    assert not deployed.workers[source].moves


class UnframedSource:
    """Send a stream without length or chunks; a move closes it after an event.

    Without ``has_run`` the run ends by itself just before the move.
    """

    def __init__(self, deployed, name, *, has_run):
        self.deployed = deployed
        self.has_run = has_run
        self.stream = None
        self.number = 0
        self.timers = deployed.worker_hosts[name].timers
        self.leaves_at = None
        scripted.replace_worker(deployed, name, self.answer)

    def answer(self, connection, request):
        if b'/api/report' in request:
            left_ms = (self.leaves_at - self.deployed.world.now) * 1000
            connection.send(respond(200, b'{"leaves_ms": %d}' % left_ms))
        elif b'/api/kv-move' in request:
            self.stream.close_later(0)
            status, body = (200, b'{"handle": "h"}')
            if not self.has_run:
                status, body = (404, b'{}')
            connection.send_later(0.05, respond(status, body))
        else:
            self.stream = connection
            connection.send(UNFRAMED_HEAD % get_name(request))
            self.push()

    def push(self):
        if not self.stream.connection.is_closed:
            self.number += 1
            self.stream.send(
                b'id: %d\ndata: t%d\n\n' % (self.number, self.number)
            )
            self.timers.call_later(0.1, self.push)


UNFRAMED_HEAD = (
    b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


def get_name(request):
    return scripted.get_header(request, 'Attempt-Id')


def respond(status, body):
    return b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


def move_unframed_stream(deployed, *, has_run):
    source = UnframedSource(deployed, 'llm-0', has_run=has_run)
    answer = None
    while source.stream is None:
        answer = deployed.send('/stream/x', method='POST', deadline_ms=15000)
        deployed.world.run(0.3)
    source.leaves_at = deployed.world.now + 1.2
    deployed.set_state('llm-0', 'draining')
    deployed.world.run(6)
    return answer, source


def test_an_unframed_stream_that_a_move_stops_is_not_complete(deployed):
    answer, _ = move_unframed_stream(deployed, has_run=True)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))


def test_an_unframed_stream_that_ends_as_it_is_moved_is_complete(deployed):
    answer, source = move_unframed_stream(deployed, has_run=False)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, source.number + 1))
    assert not deployed.workers['llm-1'].runs
