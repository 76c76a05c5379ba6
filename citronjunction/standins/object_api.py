"""Stand-in of the Object API: conditional updates, watches and faults.

The protocol follows the Kubernetes API conventions: objects carry
``metadata.resourceVersion``, a stale update is rejected with 409, and a watch
streams one JSON document per line.
"""

import dataclasses
import json

from citronjunction.transport import http_server, routes, runtime

PREFIX = '/apis/citronjunction/v1/'


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Configure the faults and the rate limit of the store.

    The next ``lost_answers`` writes are stored but their connections aborted.
    ``reads_per_s`` has no effect.
    """

    is_down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    reads_per_s: float = 2000
    writes_per_s: float = 500


class Store:
    """Store objects by kind and name, and count the calls."""

    __slots__ = ('objects', 'reads', 'revision', 'writes')

    def __init__(self) -> None:
        """Create an empty store."""
        self.objects: dict[tuple[str, str], dict[str, object]] = {}
        self.revision = 0
        self.reads = 0
        self.writes = 0

    def get(self, kind: str, name: str) -> dict[str, object] | None:
        """Return an object, or None if it is absent."""
        self.reads += 1
        return self.objects.get((kind, name))

    def select(self, kind: str) -> list[dict[str, object]]:
        """Return all objects of a kind."""
        self.reads += 1
        return [
            stored for key, stored in self.objects.items() if key[0] == kind
        ]

    def put(
        self,
        kind: str,
        name: str,
        spec: object,
        expected: str,
    ) -> dict[str, object] | None:
        """Write an object if its version is ``expected``; empty means absent.

        Return the stored object, or None on a conflict.
        """
        self.writes += 1
        current = self.objects.get((kind, name))
        version = current['metadata']['resourceVersion'] if current else ''
        if version != expected:
            return None
        self.revision += 1
        metadata = {'name': name, 'resourceVersion': str(self.revision)}
        stored = {'kind': kind, 'metadata': metadata, 'spec': spec}
        self.objects[(kind, name)] = stored
        return stored


class ObjectApi:
    """Serve a store over HTTP."""

    def __init__(self, loop: runtime.Runtime) -> None:
        """Create an empty store without faults."""
        self.loop = loop
        self.store = Store()
        self.faults = StoreFaults()
        self.watches: dict[http_server.Exchange, str] = {}
        self.write_tokens = self.faults.writes_per_s
        self.routes = routes.Routes(
            (
                routes.Route('POST', '/weather', self.set_faults),
                routes.Route('GET', '/counts', self.show_counts),
                routes.Route('GET', PREFIX, self.read, is_exact=False),
                routes.Route('PUT', PREFIX, self.write, is_exact=False),
            )
        )
        loop.timers.call_every(1.0, self.refill)

    def refill(self) -> None:
        """Reset the number of writes that are allowed in the next second."""
        self.write_tokens = self.faults.writes_per_s

    def set_faults(self, exchange: http_server.Exchange, _: str) -> None:
        """Update the faults; an outage aborts all watches."""
        document = routes.read_json(exchange) or {}
        self.faults = dataclasses.replace(self.faults, **document)
        routes.respond_json(exchange, 200, {})
        if self.faults.is_down:
            for watch in tuple(self.watches):
                watch.abort()
            self.watches.clear()

    def show_counts(self, exchange: http_server.Exchange, _: str) -> None:
        """Return the numbers of reads, writes and open watches."""
        counts = {
            'reads': self.store.reads,
            'writes': self.store.writes,
            'watches': len(self.watches),
        }
        routes.respond_json(exchange, 200, counts)

    def read(self, exchange: http_server.Exchange, path: str) -> None:
        """Serve a read, list or watch."""
        if self.faults.is_down:
            exchange.abort()
            return
        kind, _, name = path.partition('/')
        if 'watch=1' in exchange.request.query:
            self._watch(exchange, kind)
            return
        if name:
            document = self.store.get(kind, name)
        else:
            document = {'items': self.store.select(kind)}
        self._answer(
            exchange, 200 if document else 404, document or {'status': 404}
        )

    def write(self, exchange: http_server.Exchange, path: str) -> None:
        """Serve a conditional write."""
        if self.faults.is_down:
            exchange.abort()
            return
        self.write_tokens -= 1
        if self.write_tokens < 0:
            self._answer(exchange, 429, {'status': 429})
            return
        kind, _, name = path.partition('/')
        document = routes.read_json(exchange) or {}
        metadata = document.get('metadata', {})
        expected = str(metadata.get('resourceVersion', ''))
        stored = self.store.put(kind, name, document.get('spec'), expected)
        if stored is None:
            self._answer(exchange, 409, {'status': 409})
            return
        self._notify(kind, stored)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            exchange.abort()
            return
        self._answer(exchange, 200, stored)

    def _answer(
        self,
        exchange: http_server.Exchange,
        status: int,
        document: object,
    ) -> None:
        if self.faults.delay_s:
            self.loop.timers.call_later(
                self.faults.delay_s,
                lambda: routes.respond_json(exchange, status, document),
            )
        else:
            routes.respond_json(exchange, status, document)

    def _watch(self, exchange: http_server.Exchange, kind: str) -> None:
        self.store.reads += 1
        exchange.start_stream(200, {'Content-Type': routes.JSON_TYPE})
        self.watches[exchange] = kind
        exchange.on_disconnect = lambda: self.watches.pop(exchange, None)
        for stored in self.store.select(kind):
            exchange.push(_encode_event('ADDED', stored))

    def _notify(self, kind: str, stored: dict[str, object]) -> None:
        for watch, watched in tuple(self.watches.items()):
            if watched == kind:
                watch.push(_encode_event('MODIFIED', stored))


def _encode_event(change: str, stored: dict[str, object]) -> bytes:
    return json.dumps({'type': change, 'object': stored}).encode() + b'\n'
