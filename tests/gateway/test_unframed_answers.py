"""Answers to uploads that only the end of their connection ends."""

import pytest

from tests.support import platform_system, scripted

UPLOAD = bytes(8000)
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nSignature: s\r\n\r\n'
PLAIN = b'part'
LONG = b'part' * 100000  # begins to be relayed before its end
STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %b\r\n'
    b'Not-Executed: 1\r\n\r\n'
)
REJECTION = b'HTTP/1.1 409 Conflict\r\nAttempt-Id: %b\r\nSignature: s\r\n\r\nno'
BODIES = [
    ('/unsafe/x', PLAIN),
    ('/safe/x', PLAIN),
    ('/unsafe/x', LONG),
    ('/stream/x', STREAM),
    ('/stream/r/x', STREAM),
]
RESETS_S = [0.0, 0.3, 0.6, 1.4]
WORKERS = ('app-0', 'llm-0')


class Script:
    """Answer each upload without a length, and end the stream."""

    def __init__(self, wire, reset_s=None):
        self.wire = wire
        self.reset_s = reset_s
        self.requests = 0

    def __call__(self, connection, request):
        self.requests += 1
        name = scripted.get_header(request, 'Attempt-Id')
        connection.send(self.wire.replace(b'%b', name))
        connection.end(self.reset_s)


def serve(wire, reset_s=None, *, is_forwarded=False):
    """Return a deployment whose workers answer with these bytes.

    Requests to its first gateway may go by way of a peer.
    """
    if is_forwarded:
        deployed = platform_system.build_forwarding()
    else:
        deployed = platform_system.PlatformSystem().build(workers=1)
    script = Script(wire, reset_s)
    for name in WORKERS:
        scripted.replace_worker(deployed, name, script)
    deployed.script = script
    return deployed


def ask(deployed, path, **options):
    options = {'deadline_ms': 4000, 'run_s': 5, 'body': UPLOAD, **options}
    return deployed.ask(path, method='POST', **options)


@pytest.fixture(params=[False, True], ids=['direct', 'by a peer'])
def is_forwarded(request):
    return request.param


# Guards against half an answer that looks whole, as its reset comes later.
@pytest.mark.parametrize('reset_s', RESETS_S)
@pytest.mark.parametrize(('path', 'body'), BODIES)
def test_an_answer_whose_connection_is_reset_is_not_complete(
    path, body, reset_s, is_forwarded
):
    deployed = serve(HEAD + body, reset_s, is_forwarded=is_forwarded)
    answer = ask(deployed, path)
    assert deployed.script.requests
    assert not (answer.is_complete and answer.status == 200)


@pytest.mark.parametrize(('path', 'body'), BODIES)
def test_a_whole_answer_is_delivered(path, body, is_forwarded):
    answer = ask(serve(HEAD + body, is_forwarded=is_forwarded), path)
    assert (answer.status, answer.body) == (200, body)
    assert answer.is_complete


@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x'])
def test_a_whole_answer_is_delivered_by_its_deadline(path, is_forwarded):
    deployed = serve(HEAD + PLAIN, is_forwarded=is_forwarded)
    answer = ask(deployed, path, deadline_ms=1000)
    assert (answer.status, answer.body) == (200, PLAIN)
    assert answer.duration_s < 1.0


def test_an_answer_that_ends_close_to_its_deadline_is_not_complete():
    answer = ask(serve(HEAD + PLAIN, 0.4), '/unsafe/x', deadline_ms=300)
    assert not (answer.is_complete and answer.status == 200)


@pytest.mark.parametrize(('path', 'body'), BODIES)
def test_a_whole_answer_without_an_upload_ends_at_once(path, body):
    answer = ask(serve(HEAD + body), path, body=b'')
    assert answer.is_complete
    assert answer.duration_s < 0.1


# Guards against a worker that looks busy while only a reset is awaited.
@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
def test_a_worker_is_free_once_its_answer_has_ended(path):
    deployed = serve(HEAD + (STREAM if 'stream' in path else PLAIN))
    answer = ask(deployed, path, run_s=0.2)
    workers = deployed.gateways['gateway-0'].services.fleet.workers.values()
    assert answer.ended_at is None
    assert [worker.running for worker in workers] == [0, 0]
    deployed.world.run(3)
    assert answer.is_complete
    assert [worker.running for worker in workers] == [0, 0]


# Guards against refusals that count only once no reset has followed them.
def test_a_refusal_counts_at_once():
    answer = ask(serve(REFUSAL), '/unsafe/x')
    assert answer.status == 503
    assert answer.headers['citron-verdict'] == 'not-run'
    assert answer.duration_s < 0.1


def test_a_failure_is_relayed_once_no_reset_has_followed():
    answer = ask(serve(REJECTION), '/unsafe/x')
    assert (answer.status, answer.body) == (409, b'no')
    assert answer.duration_s < 1.0
    assert ask(serve(REJECTION, 0.3), '/unsafe/x').status != 409
