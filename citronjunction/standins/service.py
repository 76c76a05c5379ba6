"""Stand-in of a plain service that records each execution of a call.

The calls are repeatable reads, stock holds and notice dispatches.
"""

import dataclasses
import json
from collections import abc

from citronjunction.standins import engine, faults
from citronjunction.transport import http_server, routes, runtime


@dataclasses.dataclass(slots=True)
class Execution:
    """Record one execution of a call."""

    method: str
    path: str
    body: str
    version: str


class Service:
    """Answer each call after ``work_s`` seconds and record its execution."""

    def __init__(
        self,
        loop: runtime.Runtime,
        versions: list[str],
        work_s: float = 0.01,
        on_crash: abc.Callable[[], None] = engine.crash,
    ) -> None:
        """Create a service; ``on_crash`` is called for simulated crashes."""
        self.loop = loop
        self.versions = versions
        self.work_s = work_s
        self.on_crash = on_crash
        self.executions: list[Execution] = []
        self.faults: dict[str, faults.VersionFault] = {}
        self.running = 0
        self.fencing = 0
        self.routes = routes.Routes(
            (
                routes.Route('GET', '/load', self.show_load),
                routes.Route('GET', '/executions', self.show_executions),
                routes.Route('POST', '/faults', self.set_fault),
                routes.Route('POST', '/orders', self.set_versions),
                routes.Route('POST', '/', self.run, is_exact=False),
                routes.Route('GET', '/', self.run, is_exact=False),
            )
        )

    def show_load(self, exchange: http_server.Exchange, _: str) -> None:
        """Return the current load."""
        report = {
            'running': self.running,
            'queued': 0,
            'slots': 64,
            'versions': self.versions,
            'fencing': self.fencing,
        }
        routes.respond_json(exchange, 200, report)

    def show_executions(self, exchange: http_server.Exchange, _: str) -> None:
        """Return all executions in order."""
        runs = [dataclasses.asdict(run) for run in self.executions]
        routes.respond_json(exchange, 200, {'executions': runs})

    def set_fault(self, exchange: http_server.Exchange, _: str) -> None:
        """Set the fault of a version."""
        document = routes.read_json(exchange) or {}
        version = str(document.pop('version'))
        self.faults[version] = faults.VersionFault(**document)
        routes.respond_json(exchange, 200, {})

    def set_versions(self, exchange: http_server.Exchange, _: str) -> None:
        """Set the served versions; fencing tokens are ignored."""
        order = routes.read_json(exchange) or {}
        self.versions[:] = [str(name) for name in order['versions']]
        routes.respond_json(exchange, 200, {'versions': self.versions})

    def run(self, exchange: http_server.Exchange, _: str) -> None:
        """Execute a call, or apply the fault of its version."""
        request = exchange.request
        version = request.headers.get('citron-version', self.versions[0])
        if version not in self.versions:
            headers = {'Citron-Verdict': 'not-run'}
            error = {'error': {'message': f'version "{version}" is unknown'}}
            routes.respond_json(exchange, 404, error, headers)
            return
        fault = self.faults.get(version, faults.VersionFault())
        is_faulty = fault.applies_to(
            len(self.executions), self.running, request.path
        )
        if is_faulty and fault.kind == 'fail':
            error = {'error': {'message': 'service failure'}}
            routes.respond_json(exchange, 500, error)
            return
        body = request.body.decode(errors='replace')
        run = Execution(request.method, request.path, body, version)
        self.executions.append(run)
        if is_faulty and fault.kind == 'crash':
            self.on_crash()
            return
        slowdown = fault.slowdown if is_faulty and fault.kind == 'slow' else 1
        self.running += 1
        self.loop.timers.call_later(
            self.work_s * slowdown,
            lambda: self._answer(exchange, run),
        )

    def _answer(self, exchange: http_server.Exchange, run: Execution) -> None:
        self.running -= 1
        answer = {'ran': run.path, 'number': len(self.executions)}
        body = json.dumps({**answer, 'version': run.version}).encode()
        headers = {
            'Content-Type': routes.JSON_TYPE,
            engine.LOAD_HEADER: f'JSON {{"running": {self.running}}}',
        }
        exchange.respond(200, headers, body)
