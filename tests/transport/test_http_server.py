"""HTTP server: framing, limits, errors and disconnects, on real sockets."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import live

HOST = b'Host: x\r\n'
CLOSE = b'Connection: close\r\n'


@pytest.fixture
def application():
    return live.EchoApplication()


def get(path, *headers):
    return (
        b'GET ' + path + b' HTTP/1.1\r\n' + HOST + b''.join(headers) + b'\r\n'
    )


def test_pipelined_requests_get_their_own_answers_in_order(application):
    with live.serve(application) as (port, _):
        wire = get(b'/slow') + get(b'/second') + get(b'/third', CLOSE)
        answer = live.ask(port, wire)
    assert application.handled == ['/slow', '/second', '/third']
    positions = [
        answer.index(text) for text in (b'slow', b'/second', b'/third')
    ]
    assert positions == sorted(positions)
    assert answer.count(b'HTTP/1.1 200') == 3


def test_a_request_received_byte_by_byte_is_parsed(application):
    with live.serve(application) as (port, _), live.connect(port) as sock:
        wire = b'POST /p HTTP/1.1\r\n' + HOST + CLOSE
        for byte in wire + b'Content-Length: 4\r\n\r\nbody':
            sock.send(bytes([byte]))
        assert live.read_all(sock).endswith(b'/pbody')


def test_a_stream_ends_with_its_last_chunk(application):
    with live.serve(application) as (port, _):
        answer = live.ask(port, get(b'/stream', CLOSE))
    assert answer.endswith(b'5\r\nthree\r\n0\r\n\r\n')


@pytest.mark.parametrize(
    ('wire', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
        (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n', b'400'),
        (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\nab',
            b'400',
        ),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n', b'400'),
        (b'GET /' + b'a' * 20000 + b' HTTP/1.1\r\nHost: x\r\n\r\n', b'431'),
        (
            b'GET / HTTP/1.1\r\nHost: x\r\nA: ' + b'b' * 20000 + b'\r\n\r\n',
            b'431',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n',
            b'413',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'2000\r\n'
            + b'x' * 8192
            + b'\r\n',
            b'413',
        ),
    ],
)
def test_malformed_or_oversized_requests_are_rejected(
    application, wire, status
):
    with live.serve(application, max_body=4096) as (port, _):
        answer = live.ask(port, wire)
    assert answer.startswith(b'HTTP/1.1 ' + status), answer[:100]
    assert not application.handled


@given(st.binary(max_size=400))
@settings(derandomize=True, max_examples=40, deadline=None)
def test_no_bytes_keep_the_front_from_answering_others(wire):
    with live.serve(live.EchoApplication()) as (port, _):
        with live.connect(port) as sock:
            sock.sendall(wire)
            assert live.ask(port, get(b'/other', CLOSE)).endswith(b'/other')


def test_a_slow_reader_is_disconnected_at_max_unsent(application):
    with live.serve(application, max_unsent=262144) as (port, _):
        with live.connect(port) as sock:
            sock.sendall(get(b'/flood'))
            assert application.disconnected.wait(live.TIMEOUT_S)


def test_idle_and_slow_connections_are_closed(application):
    with live.serve(application, idle_s=0.2, receive_s=0.2) as (port, _):
        assert live.ask(port, b'') == b''
        assert live.ask(port, b'GET / HT') == b''


def test_a_disconnect_of_the_caller_is_reported(application):
    with live.serve(application) as (port, _):
        sock = live.connect(port)
        sock.sendall(get(b'/wait'))
        while not application.waiting:
            pass
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        assert application.disconnected.wait(live.TIMEOUT_S)


def test_connections_over_the_limit_are_closed(application):
    with live.serve(application, max_connections=2) as (port, _):
        connections = [live.connect(port) for _ in range(2)]
        assert live.ask(port, get(b'/third', CLOSE)) == b''
        for sock in connections:
            sock.close()


def test_a_handler_error_gives_500_and_leaves_other_requests_alone(application):
    with live.serve(application) as (port, _):
        assert live.ask(port, get(b'/raise', CLOSE)).startswith(b'HTTP/1.1 500')
        assert live.ask(port, get(b'/other', CLOSE)).endswith(b'/other')


@pytest.mark.parametrize('path', [b'/x', b'/stream'])
def test_head_gets_no_body(application, path):
    with live.serve(application) as (port, _):
        wire = get(path, CLOSE).replace(b'GET', b'HEAD', 1)
        head, _, body = live.ask(port, wire).partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert body == b''


def test_too_many_pipelined_bytes_close_the_connection(application):
    with live.serve(application, max_head=1024) as (port, _):
        with live.connect(port) as sock:
            sock.sendall(get(b'/wait'))
            while not application.waiting:
                pass
            sock.sendall(b'x' * 4096)
            assert live.read_all(sock) == b''


# Guards against memory: all answers waited for a caller that reads none.
def test_the_next_request_waits_until_the_answer_before_it_is_read(application):
    with live.serve(application, max_unsent=1 << 24) as (port, _):
        application.handle = _pad(application)
        with live.connect(port) as sock:
            sock.sendall(get(b'/first') + get(b'/second', CLOSE))
            while '/first' not in application.handled:
                pass
            assert live.ask(port, get(b'/other', CLOSE))
            assert '/second' not in application.handled
            assert live.read_all(sock).count(b'HTTP/1.1 200') == 2


def _pad(application):
    def handle(exchange):
        application.handled.append(exchange.request.path)
        exchange.respond(200, {}, bytes(6_000_000))

    return handle
