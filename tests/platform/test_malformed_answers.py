"""Malformed answers of the platform and of workers' own calls are failures."""

import pytest

from citronjunction.duties import models as duties
from citronjunction.gateway import relocation
from citronjunction.platform import cloud, kv_cache_moves, object_store
from citronjunction.store import eras, records
from tests.support import scripted, virtual

ADDRESS = '10.0.0.1:80'
BODIES = {
    'usage': b'{}',
    'order': b'{}',
    'read': b'{"meta": {"name": "n", "rev": 1}, "spec": {}, "status": {}}',
    'list': b'{"entries": [], "hasMore": false, "asOf": 1}',
    'move': b'{"handle": "h"}',
}
INVALID_STATUSES = [b'000', b'099', b'600']


def call(kind, host, on_result):
    """Make one call of a kind, whose result is passed to the callback."""
    store = object_store.ObjectStore(
        host.client, ADDRESS, eras.Eras(host.timers)
    )
    platform_cloud = cloud.Cloud(host.client, ADDRESS)
    fence = duties.Fence('entry', 1)
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
    return isinstance(result, relocation.NotMoved)


@pytest.mark.parametrize('kind', BODIES)
def test_a_valid_answer_is_used(kind):
    assert not is_failure(ask(kind, b'200'))


@pytest.mark.parametrize('kind', BODIES)
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_an_invalid_status_is_a_failure(kind, status):
    assert is_failure(ask(kind, status))
