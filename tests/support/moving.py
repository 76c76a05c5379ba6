"""Deployments whose streams are moved, with a source of scripted results."""

from tests.support import platform_system, scripted

MOVING = {
    'name': 'llm',
    'healthPath': '/healthz',
    'maxConns': 100,
    'engine': {
        'slots': 64,
        'kvCapacity': 700000,
        'kvTokenBytes': 163840,
        'linkMbps': 370000.0,
        'moves': True,
    },
}
EVENTS = 50
INTERVAL_S = 0.1  # between events
UPLOAD = bytes(8000)  # the end of an unframed answer to it counts late
HEAD = (
    b'HTTP/1.1 200 OK\r\nSignature: s\r\nAttempt-Id: %b\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


def build(workers=2, gateways=1, zones=('z1',)):
    """Return a deployment whose workers send streams of 5 s."""
    system = platform_system.PlatformSystem()
    system.configuration['services'][1] = MOVING
    system.configuration['routes'] = [
        platform_system.make_route(
            'stream', '/stream/', 'stream', 'llm', timeoutMs=15000, attempts=1
        ),
        platform_system.make_route('safe', '/safe/', 'safe', 'app'),
    ]
    system.build(workers=workers, gateways=gateways)
    for number in range(workers):
        zone = zones[number % len(zones)]
        system.set_state(f'llm-{number}', 'ready', zone=zone)
    system.world.run(1)
    for worker in system.workers.values():
        worker.behaviour.event_count = EVENTS
        worker.behaviour.event_interval_s = INTERVAL_S
    return system


def read_numbers(answer):
    """Return the ids of the events that a caller has got."""
    lines = answer.body.decode().split('\n')
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


def drain(deployed, name, left_s):
    """Announce that a worker ends in a time."""
    deployed.workers[name].leaves_at = deployed.world.now + left_s
    deployed.set_state(name, 'draining')


def reclaim(deployed, name, left_s):
    """Announce that a worker ends, and end it."""
    drain(deployed, name, left_s)
    deployed.world.run(left_s)
    deployed.worker_hosts[name].kill()


class UnframedSource:
    """Send a stream without length or chunks, which ends with its connection.

    ``answer_move`` is called with the source and the connection of each call
    that moves the run.
    """

    def __init__(self, deployed, name, answer_move, event_count):
        self.deployed = deployed
        self.name = name
        self.answer_move = answer_move
        self.event_count = event_count
        self.stream = None
        self.has_ended = False
        self.number = 0
        self.moves = []
        self.deleted = []
        self.leaves_at = None
        self.host = deployed.worker_hosts[name]
        scripted.replace_worker(deployed, name, self.answer)

    def answer(self, connection, request):
        if b'/api/report' in request:
            left_ms = (self.leaves_at - self.deployed.world.now) * 1000
            connection.send(
                scripted.respond(200, b'{"leaves_ms": %d}' % left_ms)
            )
        elif b'/api/kv-move' in request:
            self.moves.append(request)
            self.answer_move(self, connection)
        elif request.startswith(b'DELETE /api/kv-handle/'):
            self.deleted.append(request.split()[1].rpartition(b'/')[2].decode())
            connection.send(scripted.respond(200))
        elif self.stream is None:
            self.stream = connection
            connection.send(HEAD % scripted.get_header(request, 'Attempt-Id'))
            self.push()

    def push(self):
        if self.has_ended or self.stream.connection.is_closed:
            return
        if self.number == self.event_count:
            self.end()
            return
        self.number += 1
        self.stream.send(b'id: %d\ndata: t%d\n\n' % (self.number, self.number))
        self.host.timers.call_later(INTERVAL_S, self.push)

    def end(self):
        """End the stream like a whole one."""
        self.has_ended = True
        self.stream.end()

    def reset(self, connection):
        self.host.sockets.reset(connection.connection)

    def drain(self, left_s):
        """Announce that the worker ends."""
        self.leaves_at = self.deployed.world.now + left_s
        self.deployed.set_state(self.name, 'draining')


def start(deployed, answer_move, event_count=None, body=b'', deadline_ms=15000):
    """Return the answer to a stream and its source, which has sent 3 events."""
    source = UnframedSource(deployed, 'llm-0', answer_move, event_count)
    answer = None
    while source.stream is None:
        answer = deployed.send(
            '/stream/x', method='POST', deadline_ms=deadline_ms, body=body
        )
        deployed.world.run(0.3)
    return answer, source


def move(deployed, answer_move, **options):
    """Move a stream that has begun, 0.3 s after its worker drains."""
    answer, source = start(deployed, answer_move, **options)
    source.drain(1.2)
    deployed.world.run(8)
    return answer, source
