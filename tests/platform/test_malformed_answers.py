"""Malformed answers of the platform and of workers' own calls are failures."""

import pytest

from citronjunction.duties import models as duties
from citronjunction.platform import cloud, kv_cache_moves, object_store
from citronjunction.reclaims import moves
from citronjunction.store import eras, records
from tests.support import endless, scripted, virtual

ADDRESS = '10.0.0.1:80'
BODIES = {
    'usage': b'{}',
    'order': b'{}',
    'read': b'{"meta": {"name": "n", "rev": 1}, "spec": {}, "status": {}}',
    'list': b'{"entries": [], "hasMore": false, "asOf": 1}',
    'move': b'{"handle": "h"}',
    'report': b'{"leaves_ms": 1000}',
}
# Of the bodies of answers to small calls.
MAX_BYTES = {
    'usage': 1 << 16,
    'order': 1 << 16,
    'move': 1 << 16,
    'report': 1 << 20,
}
IN_TRANSIT = 1 << 18  # bytes that a server sends until it is closed
INVALID_STATUSES = [b'000', b'099', b'600']


def call(kind, host, on_result):
    """Make one call of a kind, whose result is passed to the callback."""
    store = object_store.ObjectStore(
        host.client, ADDRESS, eras.Eras(host.timers)
    )
    platform_cloud = cloud.Cloud(host.client, ADDRESS)
    fence = duties.Fence('entry', 1, lambda: True)
    match kind:
        case 'usage':
            report = duties.UsageReport(1, {'org': 2})
            platform_cloud.report_usage(report, fence, on_result)
        case 'order':
            order = duties.WorkerOrder('app', 'z1', False, 2)
            platform_cloud.order_workers(order, fence, on_result)
        case 'read':
            store.read('config', 'main', on_result)
        case 'list':
            store.list_page('servers', '', on_result)
        case 'move':
            mover = kv_cache_moves.KvCacheMover(host.client)
            mover.move(ADDRESS, 'request', '10.0.0.2:80', on_result)
        case 'report':
            mover = kv_cache_moves.KvCacheMover(host.client)
            mover.read_time_left(ADDRESS, on_result)


def ask(kind, status):
    """Return the result of a call that is answered with a status."""
    world = virtual.World()
    wire = b'HTTP/1.1 %b x\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(BODIES[kind]),
        BODIES[kind],
    )
    scripted.ScriptedServer(
        world.add_host('server'),
        ADDRESS,
        lambda connection, _: connection.send(wire),
    )
    results = []
    call(kind, world.add_host('caller'), results.append)
    world.run(5)
    (result,) = results
    return result


def is_failure(result):
    match result:
        case duties.CallResult():
            return result is duties.CallResult.unavailable
        case records.Unavailable(may_take_effect=may_take_effect):
            return may_take_effect
    return result is None or isinstance(result, moves.NotMoved)


@pytest.mark.parametrize('kind', BODIES)
def test_a_valid_answer_is_used(kind):
    assert not is_failure(ask(kind, b'200'))


@pytest.mark.parametrize('kind', BODIES)
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_an_invalid_status_is_a_failure(kind, status):
    assert is_failure(ask(kind, status))


@pytest.mark.parametrize('kind', MAX_BYTES)
def test_an_answer_without_end_to_a_small_call_ends_soon(kind):
    world = virtual.World()
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    unit = scripted.encode_chunk(b'y' * 10000)
    server = endless.EndlessServer(
        world.add_host('server'), ADDRESS, head, unit
    )
    results = []
    call(kind, world.add_host('caller'), results.append)
    world.run(20)

    (result,) = results
    assert is_failure(result)
    assert not server.open_connections
    assert server.sent <= MAX_BYTES[kind] + IN_TRANSIT
