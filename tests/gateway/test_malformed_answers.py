"""Answers of workers that are not valid HTTP, or cut, never reach callers."""

import pytest

from tests.support import platform_system, scripted

SIGNED = b'Signature: s\r\nAttempt-Id: %b\r\n'
EVENT = b'id: 1\ndata: t1\n\n'
LENGTH = b'Content-Length: 16\r\n'
BODY = LENGTH + b'\r\n' + EVENT
CHUNKED_BODY = scripted.encode_chunk(EVENT) + b'0\r\n\r\n'
START = b'HTTP/1.1 200 OK\r\n' + SIGNED
WHOLE = START + BODY
UPLOAD = bytes(4000)
WINDOW = 2000  # bytes of an upload that a worker takes: its head and more
CLOSE_S = 0.01  # after an answer
MAX_TRIES = 30
INVALID_STATUSES = [b'000', b'001', b'099', b'600', b'999']
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
OTHER_CALL = WHOLE.replace(b'%b', b'other')
ZERO = WHOLE.replace(b'200', b'000')


def answer_with(wire):
    """Return a script that answers with bytes and closes the connection."""
    return scripted.answer_with(wire, CLOSE_S)


def ask_worker(deployed, path, wire, window=None):
    """Return the answer to a request that a worker answered with ``wire``.

    With a window, the request is an upload of which the worker takes no more.
    """
    name = 'llm-0' if path.startswith('/stream') else 'app-0'
    server = scripted.replace_worker(deployed, name, answer_with(wire))
    body = b''
    if window:
        body = UPLOAD
        deployed.world.windows[server.address] = window
    for _ in range(MAX_TRIES):
        answer = deployed.ask(path, method='POST', body=body, run_s=1.0)
        if server.requests:
            return answer
    raise TimeoutError('no request came to the worker')


def check_not_relayed(path, wire, window=None):
    """Check that callers get no answer that a worker sent malformed."""
    alone = platform_system.PlatformSystem().build(workers=1)
    answer = ask_worker(alone, path, wire, window)
    assert (answer.status, answer.is_complete) == (502, True)
    assert 'signature' not in answer.headers

    deployed = platform_system.PlatformSystem().build(workers=2)
    answer = ask_worker(deployed, path, wire, window)
    may_run_twice = path in {'/safe/x', '/stream/r/x'}
    assert answer.status == (200 if may_run_twice else 502)
    assert answer.is_complete


@pytest.fixture(params=['/safe/x', '/unsafe/x', '/stream/x', '/stream/r/x'])
def path(request):
    return request.param


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_an_invalid_status_is_no_answer(path, status):
    check_not_relayed(path, WHOLE.replace(b'200', status))


STATUS_000 = {
    'alone': b'HTTP/1.1 000\r\n\r\n',
    'without a reason phrase': ZERO.replace(b' OK', b''),
    'without a length': ZERO.replace(LENGTH, b''),
    'under HTTP/1.0': ZERO.replace(b'HTTP/1.1', b'HTTP/1.0'),
    'after an interim answer': INTERIM + ZERO,
    'after two interim answers': INTERIM * 2 + ZERO,
    'after an answer to another call': OTHER_CALL + ZERO,
    'as an interim answer': INTERIM.replace(b'103', b'000') + WHOLE,
}


@pytest.mark.parametrize('case', STATUS_000)
def test_status_000_is_no_answer_wherever_it_stands(path, case):
    check_not_relayed(path, STATUS_000[case])


@pytest.mark.parametrize('protocol', [b'RTSP/1.0', b'ICE/1.0', b'HTTPS/1.1'])
@pytest.mark.parametrize(
    'before',
    [INTERIM, INTERIM * 2, OTHER_CALL, INTERIM + OTHER_CALL],
    ids=['interim', 'two interim', 'other call', 'both'],
)
def test_another_protocol_is_no_answer_after_others(path, before, protocol):
    check_not_relayed(path, before + WHOLE.replace(b'HTTP/1.1', protocol))


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_a_worker_with_invalid_statuses_is_ejected(status):
    deployed = platform_system.PlatformSystem().build(workers=1)
    wire = WHOLE.replace(b'200', status)
    scripted.replace_worker(deployed, 'app-0', answer_with(wire))
    for _ in range(3):
        deployed.ask('/unsafe/x', method='POST', run_s=0.1)

    (gateway,) = deployed.gateways.values()
    worker = gateway.services.fleet.workers['app-0']
    assert worker.health.is_ejected(deployed.world.now)


@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/0.9 200 OK',
        b'RTSP/1.0 200 OK',
        b'ICE/1.0 200 OK',
        b'HTTP/2.0 200 OK',
        b'HTTP/1.1 200 O\x00K',
        b'HTTP/1.1 200 O\x1bK',
        b'HTTP/1.1 200 O\x7fK',
        b'HTTP/1.1  200 OK',
        b'HTTP/1.1 20 OK',
        b'HTTP/1.1 2000 OK',
        b'HTTP/1.1 2x0 OK',
        b'HTTP/1.1 -20 OK',
        b'HTTP/1.1200 OK',
        b'HTTPS/1.1 200 OK',
    ],
)
def test_an_invalid_status_line_is_no_answer(path, line):
    check_not_relayed(path, WHOLE.replace(b'HTTP/1.1 200 OK', line))


@pytest.mark.parametrize(
    'framing',
    [
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: chunked, chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip\r\n',
        b'Transfer-Encoding: identity\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Transfer-Encoding:\r\n',
        b'Transfer-Encoding: chunked\r\nContent-Length: 16\r\n',
        b'Content-Length: 16\r\nContent-Length: 16\r\n',
        b'Content-Length: 16, 16\r\n',
        b'Content-Length: +16\r\n',
        b'Content-Length: -1\r\n',
        b'Content-Length:\r\n',
    ],
)
def test_a_body_with_another_framing_is_no_answer(path, framing):
    body = CHUNKED_BODY if b'Transfer-Encoding' in framing else EVENT
    check_not_relayed(path, START + framing + b'\r\n' + body)


@pytest.mark.parametrize('coding', [b'chunked', b'Chunked', b' chunked '])
def test_a_chunked_body_is_relayed(path, coding):
    deployed = platform_system.PlatformSystem().build(workers=1)
    field = b'Transfer-Encoding: ' + coding
    wire = START + field + b'\r\n\r\n' + CHUNKED_BODY
    answer = ask_worker(deployed, path, wire)
    assert answer.status == 200
    assert answer.body == EVENT


@pytest.mark.parametrize(
    'upgrade', [b'', b'Connection: upgrade\r\nUpgrade: x\r\n']
)
def test_a_switch_of_protocols_is_no_answer(path, upgrade):
    check_not_relayed(
        path, b'HTTP/1.1 101 Switching\r\n' + upgrade + b'\r\n' + WHOLE
    )


# Names of header fields with a blank or a control byte, and folded lines.
BAD_FIELDS = [
    b'X Y: 1',
    b'X-Y : 1',
    b' X-Y: 1',
    b'X\tY: 1',
    b'X-Y\t: 1',
    b'\tX-Y: 1',
    b'X\x00Y: 1',
    b'X\x01Y: 1',
    b'X\x1bY: 1',
    b'X\x7fY: 1',
    b'X\x80Y: 1',
    b'X\rY: 1',
    b'X\nY: 1',
    b': 1',
    b'X-Y',
    b'X(Y): 1',
    b'Content-Length : 1',
    b'Content-Length\x00: 1',
    b'Transfer-Encoding : chunked',
    b'Transfer-Encoding\x0b: chunked',
    b'X-Y: 1\r\n folded',
    b'X-Y: 1\r\n\tfolded: 1',
    b'X-Y: a\x00b',
    b'X-Y: a\x01b',
    b'X-Y: a\rb',
    b'X-Y: a\nb',
]


@pytest.mark.parametrize('is_first', [False, True])
@pytest.mark.parametrize('field', BAD_FIELDS)
def test_a_malformed_field_is_no_answer(path, field, is_first):
    line = b'HTTP/1.1 200 OK\r\n'
    fields = [SIGNED, field + b'\r\n']
    if is_first:
        fields.reverse()
    check_not_relayed(path, line + b''.join(fields) + BODY)


@pytest.mark.parametrize('field', [b'X Y: 1', b'X-Y : 1', b'X\x01Y: 1'])
def test_a_malformed_trailer_never_ends_an_answer(path, field):
    deployed = platform_system.PlatformSystem().build(workers=1)
    end = b'0\r\n' + field + b'\r\n\r\n'
    wire = (
        START
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + scripted.encode_chunk(EVENT)
        + end
    )
    answer = ask_worker(deployed, path, wire)
    assert not (answer.status == 200 and answer.is_complete)


HEAD = WHOLE.partition(b'\r\n\r\n')[0]


# The name of the request, put in for the mark, belongs to the head too.
@pytest.mark.parametrize('length', [*range(0, len(HEAD) + 4, 3), len(HEAD) + 3])
@pytest.mark.parametrize('is_framed', [False, True])
def test_a_head_that_breaks_off_is_no_answer(path, length, is_framed):
    wire = WHOLE
    if not is_framed:
        wire = WHOLE.replace(b'Content-Length: 16\r\n', b'')
    end = min(length, wire.index(b'\r\n\r\n') + 3)
    check_not_relayed(path, wire[:end])


UNFRAMED = WHOLE.replace(LENGTH, b'')


@pytest.mark.parametrize('status', [b'200', b'201', b'302', b'399'])
def test_an_answer_begun_before_its_upload_arrived_is_no_answer(path, status):
    check_not_relayed(path, UNFRAMED.replace(b'200', status), WINDOW)


def test_a_rejection_begun_before_its_upload_arrived_is_relayed(path):
    deployed = platform_system.PlatformSystem().build(workers=2)
    rejection = UNFRAMED.replace(b'200', b'413')
    answer = ask_worker(deployed, path, rejection, WINDOW)
    assert (answer.status, answer.body) == (413, EVENT)


@pytest.mark.parametrize('window', [None, WINDOW])
def test_an_answer_with_a_length_is_relayed_before_its_upload_arrived(
    path, window
):
    deployed = platform_system.PlatformSystem().build(workers=1)
    answer = ask_worker(deployed, path, WHOLE, window)
    assert (answer.status, answer.body) == (200, EVENT)


def test_an_answer_that_ends_with_its_connection_is_relayed(path):
    deployed = platform_system.PlatformSystem().build(workers=1)
    answer = ask_worker(deployed, path, UNFRAMED)
    assert (answer.status, answer.body) == (200, EVENT)
    assert answer.is_complete


def test_a_refusal_begun_before_its_upload_arrived_is_a_promise():
    deployed = platform_system.PlatformSystem().build(workers=2)
    refusal = UNFRAMED.replace(b'200', b'503').replace(
        b'Signature: s', b'Not-Executed: 1'
    )
    answer = ask_worker(deployed, '/unsafe/x', refusal, WINDOW)
    assert answer.status == 200


def test_an_answer_begun_early_never_comes_through_a_peer(path):
    answer = ask_worker(
        platform_system.build_forwarding(), path, UNFRAMED, WINDOW
    )
    assert 'signature' not in answer.headers
    assert (answer.status, answer.is_complete) == (502, True)


MALFORMED = {
    'status': WHOLE.replace(b'200', b'000'),
    'field': START + b'X Y: 1\r\n' + BODY,
    'coding': START
    + b'Transfer-Encoding: gzip, chunked\r\n\r\n'
    + CHUNKED_BODY,
    'head': WHOLE[:60],
    'body': WHOLE[:-1],
}


@pytest.mark.parametrize('case', MALFORMED)
def test_a_malformed_answer_never_comes_through_a_peer(path, case):
    deployed = platform_system.build_forwarding()
    answer = ask_worker(deployed, path, MALFORMED[case])

    assert 'signature' not in answer.headers
    assert (answer.status, answer.is_complete) == (502, True)


@pytest.mark.parametrize('case', MALFORMED)
def test_a_malformed_answer_of_a_peer_is_no_answer(path, case):
    deployed = platform_system.build_forwarding()
    front = deployed.gateways['gateway-1'].settings.listeners.front
    peer = scripted.ScriptedServer(
        deployed.gateway_hosts['gateway-1'],
        front,
        answer_with(MALFORMED[case]),
    )
    answer = deployed.ask(path, method='POST', run_s=1.0)

    assert peer.requests
    assert 'signature' not in answer.headers
    assert not answer.status < 300
    assert answer.is_complete
