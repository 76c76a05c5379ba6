"""Fuzzing of the request parser: errors stay inside, refusals end the input.

FUZZ_EXAMPLES sets the number of examples of a run by hand, with a new seed.
"""

import os

from hypothesis import given, settings
from hypothesis import strategies as st

from citronjunction.conf import models as conf
from citronjunction.transport import http_server, sockets
from tests.support import virtual

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '0'))
FRAGMENTS = (
    b'GET /a HTTP/1.1\r\n',
    b'POST /b HTTP/1.1\r\n',
    b'GET /c?x=1&y HTTP/1.0\r\n',
    b'Host: x\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: 70000\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Expect: 100-continue\r\n',
    b'Connection: close\r\n',
    b'\r\n',
    b'hello',
    b'3\r\nabc\r\n',
    b'1;a=b;c\r\nx\r\n',
    b'0\r\n',
    b'T: r\r\n',
    b'a:\r\n' * 300,
    b'\x00\xff',
    b'\n',
)
WIRE = st.lists(st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=9)))
CUTS = st.lists(st.integers(1, 400), min_size=1, max_size=6)


class Application:
    """Record what is passed on and refused, in order."""

    def __init__(self):
        self.events = []

    def handle(self, exchange):
        self.events.append('handled')
        exchange.respond(200, {}, exchange.request.body)

    def reject(self, exchange, status, reason):
        self.events.append(status)
        exchange.respond(status, {}, b'')


@given(WIRE, CUTS)
@settings(derandomize=not EXAMPLES, max_examples=EXAMPLES or 300, deadline=None)
def test_no_error_leaves_the_parser_and_a_refusal_is_the_last(parts, cuts):
    world = virtual.World()
    host = world.add_host('server')
    application = Application()
    server = http_server.HttpServer(
        host.sockets,
        host.timers,
        conf.Http(max_head=2048, max_body=4096, max_fields=200),
        application,
    )
    connection = sockets.Connection(None, '10.0.0.9:1', is_open=True)
    connection.receiver = server.accept(connection)
    wire = b''.join(parts)
    number = 0
    while wire and not connection.is_closed:
        size = cuts[number % len(cuts)]
        connection.receiver.on_bytes(wire[:size])
        wire = wire[size:]
        world.run(0.01)
        number += 1
    refusals = [event for event in application.events if event != 'handled']

    assert 500 not in refusals
    assert len(refusals) <= 1
    assert not refusals or application.events[-1] == refusals[0]
    assert not refusals or connection.is_closed
    host.sockets.close(connection, 'end of the test')
    assert not server.ledger.total
    assert not server.ledger.accounts
