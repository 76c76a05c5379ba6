"""Move of a stream to another worker, with its KV cache if time allows."""

from collections import abc

from citronjunction.entry import flow, services
from citronjunction.routing import models as routing
from citronjunction.transport import http_client, routes
from citronjunction.verdicts import models as verdicts

EXPORT_S = 0.5  # longest export or import of a cache
OK = 200


class Migration:
    """Export the cache, import it at the next worker, then switch."""

    __slots__ = ('acting', 'choice', 'moving', 'source')

    def __init__(
        self,
        acting: services.Services,
        moving: flow.RequestFlow,
    ) -> None:
        """Take the stream to move."""
        self.acting = acting
        self.moving = moving
        self.source = moving.attempt
        self.choice: routing.Choice | None = None

    def start(self) -> None:
        """Ask the leaving worker for the cache; the stream goes on."""
        address = self.source.choice.worker.address
        path = f'/kv/{self.moving.request.name}'
        self._send(address, 'GET', path, b'', self._on_exported)

    def _on_exported(self, reply: http_client.Reply) -> None:
        if not self._is_current():
            return
        choice = self.moving.chooser.choose(self.source.version)
        if reply.status != OK or isinstance(choice, routing.NoWorker):
            self._switch()
            return
        self.choice = choice
        address = choice.worker.address
        self._send(address, 'POST', '/kv', reply.body, self._on_imported)

    def _on_imported(self, reply: http_client.Reply) -> None:
        self._switch()

    def _on_failed(self, failure: verdicts.Failure) -> None:
        self._switch()

    def _is_current(self) -> bool:
        return self.moving.attempt is self.source

    def _switch(self) -> None:
        if not self._is_current():
            return
        cache = 'recomputed' if self.choice is None else 'moved'
        reason = f'the worker is leaving; cache {cache}'
        self.moving.migrate(reason, self.choice)

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        on_reply: abc.Callable[[http_client.Reply], None],
    ) -> None:
        call = http_client.Call(
            address,
            method,
            path,
            {'Content-Type': routes.JSON_TYPE},
            body,
            connect_s=EXPORT_S,
            silence_s=EXPORT_S,
        )
        sink = http_client.ReplyCollector(on_reply, self._on_failed)
        self.acting.client.send(call, sink)
