"""Connections that are kept for later calls."""

import pytest

from citronjunction.transport import http_client
from tests.support import scripted, virtual

ADDRESS = '10.0.0.1:80'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
STATED_S = 1  # of which a part is left for bytes on the way
MANY = 40  # calls at a time


@pytest.fixture
def world():
    return virtual.World()


def serve(world, fields=b''):
    wire = HEAD + fields + b'\r\n'
    host = world.add_host('server')
    return scripted.ScriptedServer(
        host, ADDRESS, lambda connection, _: connection.send(wire)
    )


def send(host):
    sink = http_client.ReplyCollector(lambda _: None, lambda _: None)
    host.client.send(http_client.Call(ADDRESS, 'GET', '/'), sink)


# Guards against requests on a connection that its server is about to close.
def test_a_connection_is_used_no_longer_than_its_server_states(world):
    server = serve(world, b'Keep-Alive: timeout=%d\r\n' % STATED_S)
    client = world.add_host('client')
    for pause_s, closed in ((0.1, 0), (0.5, 0), (0.8, 1)):
        world.run(pause_s)
        send(client)
        world.run(0.1)
        assert server.closed == closed


def test_a_pool_keeps_a_bounded_number_of_connections(world):
    serve(world)
    client = world.add_host('client')
    for _ in range(MANY):
        send(client)
    world.run(1)
    (idle,) = client.client.pool.idle.values()
    assert len(idle) == 32


def test_dropped_connections_are_closed(world):
    server = serve(world)
    client = world.add_host('client')
    send(client)
    world.run(1)
    client.client.pool.drop(ADDRESS)
    world.run(1)
    assert not client.client.pool.idle
    assert server.closed == 1
