"""Watches of the Object API that never get a whole event."""

from citronjunction.conf import models as conf
from citronjunction.store import object_api
from tests.support import endless, scripted, virtual

ADDRESS = '10.0.0.1:80'
MAX_EVENT_BYTES = 8 << 20
IN_TRANSIT = 1 << 20  # bytes that a server sends until it is closed


def test_an_event_without_end_reopens_the_watch():
    world = virtual.World()
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    unit = scripted.encode_chunk(b'y' * 50000)
    server = endless.EndlessServer(
        world.add_host('server'), ADDRESS, head, unit
    )
    settings = conf.Platform(object_api=ADDRESS)
    caller = world.add_host('caller')
    seen = []
    object_api.ObjectApi(caller.client, settings).watch('kind', seen.append)
    world.run(2)

    assert not seen
    assert server.requests > 1
    assert server.sent < server.requests * (MAX_EVENT_BYTES + IN_TRANSIT)
    assert server.open_connections <= 1
