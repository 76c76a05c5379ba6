"""Peer links: authentication, and rejection of invalid messages."""

import threading

import pytest
from websockets import client as protocols
from websockets import uri
from websockets.sync import client

from citronjunction.conf import models as conf
from citronjunction.membership import facts, messages
from citronjunction.transport import links, runtime
from tests.support import endless, live, virtual

SECRET = 'a-secret-for-tests-only'


class Hub:
    def __init__(self):
        self.opened = threading.Event()
        self.rejections = []
        self.received = []
        self.rejected = threading.Event()
        self.unknown = []

    def on_link_open(self, link):
        self.opened.set()

    def on_link_message(self, link, message):
        self.received.append(message)

    def on_link_close(self, link, reason):
        """Do nothing."""

    def on_unknown_kind(self, link, kind):
        self.unknown.append(kind)

    def on_link_rejected(self, reason):
        self.rejections.append(reason)
        self.rejected.set()


def build(loop, secret=SECRET, name='server'):
    hub = Hub()
    settings = conf.Membership(secret=secret, max_message=4096)
    return hub, links.LinkFactory(loop.sockets, hub, settings, name)


@pytest.fixture
def served():
    loop = runtime.Runtime()
    hub, factory = build(loop)
    port = loop.sockets.listen(live.ADDRESS, 0, factory.accept)
    with live.run_in_thread(loop):
        yield loop, hub, port


def dial(loop, port, secret):
    hub, factory = build(loop, secret, 'client')
    address = f'{live.ADDRESS}:{port}'
    loop.timers.call_later(0, lambda: factory.dial(address))
    return hub


def test_nodes_with_the_same_secret_connect(served):
    loop, hub, port = served
    other = dial(loop, port, SECRET)
    assert other.opened.wait(live.TIMEOUT_S)
    assert hub.opened.wait(live.TIMEOUT_S)


def test_a_peer_with_another_secret_is_rejected(served):
    loop, hub, port = served
    dial(loop, port, 'another-secret-altogether')
    assert hub.rejected.wait(live.TIMEOUT_S)
    assert hub.rejections == ['wrong proof']
    assert not hub.opened.is_set()


@pytest.mark.parametrize(
    ('frame', 'reason'),
    [
        (b'garbage', 'malformed'),
        ('text', 'text frame'),
        (messages.encode(messages.Digest({})), 'before authentication'),
        (messages.encode(messages.Proof(b'x' * 32)), 'wrong proof'),
        (
            messages.encode(messages.Hello('x', 99, b'n' * 32)),
            'unknown protocol',
        ),
        (b'\x81\x64news', 'before authentication'),
        (messages.encode(messages.Speaks({})), 'unexpected naming'),
    ],
)
def test_invalid_messages_close_the_link_and_are_reported(
    served, frame, reason
):
    _, hub, port = served
    with client.connect(f'ws://{live.ADDRESS}:{port}/peer') as peer:
        peer.send(frame)
        assert hub.rejected.wait(live.TIMEOUT_S)
    assert reason in hub.rejections[0]
    assert not hub.received


def test_a_message_over_the_size_limit_closes_the_link(served):
    _, hub, port = served
    with client.connect(f'ws://{live.ADDRESS}:{port}/peer') as peer:
        peer.recv()
        peer.send(b'x' * 8192)
        with pytest.raises(Exception, match='1009'):
            peer.recv(timeout=live.TIMEOUT_S)
    assert not hub.received


def test_a_link_that_this_side_closed_reads_no_further():
    loop = virtual.World().add_host('server')
    hub, factory = build(loop)
    connection = virtual.sockets.Connection(None, 'peer')
    connection.is_open = True
    link = factory.accept(connection)
    connection.receiver = link
    peer = protocols.ClientProtocol(uri.parse_uri('ws://10.0.0.1:1/peer'))
    peer.send_request(peer.connect())
    link.on_bytes(b''.join(peer.data_to_send()))
    peer.state = protocols.State.OPEN
    peer.send_binary(b'garbage')
    peer.send_binary(b'garbage')
    link.on_bytes(b''.join(peer.data_to_send()))

    assert len(hub.rejections) == 1


class RecordingLink(links.Link):
    """Record the frames that would be sent."""

    def _transmit(self, frame):
        self.frames.append(frame)


def test_a_peer_gets_only_what_it_has_named():
    loop = virtual.World().add_host('client')
    protocol = protocols.ClientProtocol(uri.parse_uri('ws://10.0.0.1:1/peer'))
    link = RecordingLink(
        loop.sockets, Hub(), conf.Membership(), 'client', protocol
    )
    link.frames = []
    link.dialect = messages.dialects.Dialect({'facts': 1, 'leaving': 2})
    known = facts.LeavingHost('h', 1.0, 6.0)
    unknown = facts.FullWorker('w/1', 3, 1.0)
    link.send(messages.Facts((unknown, known)))
    link.send(messages.Facts((unknown,)))
    link.send(messages.Digest({}))

    assert [messages.decode(frame) for frame in link.frames] == [
        messages.Facts((facts.LeavingHost('h', 1.0),))
    ]


SWITCH = b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
MAX_HANDSHAKE_BYTES = 2 << 20


@pytest.mark.parametrize(
    ('prefix', 'unit'),
    [
        (SWITCH.replace(b'101', b'000') + b'\r\n', b''),
        (SWITCH.replace(b'101', b'999') + b'\r\n', b''),
        (SWITCH.replace(b'101', b'200') + b'Content-Length: 0\r\n\r\n', b''),
        (SWITCH + b'Up grade: websocket\r\n\r\n', b''),
        (SWITCH + b'X\x01Y: 1\r\n\r\n', b''),
        (SWITCH + b'\r\n', b'\x82\x00'),
        (b'', b'\x00' * 1000),
        (SWITCH, b'X: y\r\n' * 100),
        (SWITCH + b'X: ', b'y' * 1000),
        (b'HTTP/1.1 500 x\r\n\r\n', b'y' * 1000),
    ],
)
def test_a_malformed_handshake_opens_no_link(prefix, unit):
    world = virtual.World()
    address = '10.0.0.1:80'
    server = endless.EndlessServer(
        world.add_host('server'), address, prefix, unit
    )
    caller = world.add_host('caller')
    hub, factory = build(caller)
    link = factory.dial(address)
    world.run(20)

    assert not hub.opened.is_set()
    assert link.connection.is_closed
    assert server.sent < MAX_HANDSHAKE_BYTES
