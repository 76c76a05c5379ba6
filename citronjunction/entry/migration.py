"""Migration of a stream to another worker, with its KV cache if possible."""

from collections import abc

from citronjunction.entry import context, flow
from citronjunction.routing import models as routing
from citronjunction.transport import http_client, routes
from citronjunction.verdicts import models as verdicts

TRANSFER_TIMEOUT_S = 0.5  # for the export and for the import of a KV cache
OK = 200


class Migration:
    """Export the KV cache, import it at another worker, then switch.

    If a step fails, the other worker recomputes the KV cache.
    """

    __slots__ = (
        'attempt',
        'choice',
        'is_imported',
        'request_flow',
        'services',
    )

    def __init__(
        self,
        services: context.Services,
        request_flow: flow.RequestFlow,
    ) -> None:
        self.services = services
        self.request_flow = request_flow
        self.attempt = request_flow.attempt
        self.choice: routing.Choice | None = None
        self.is_imported = False

    def start(self) -> None:
        """Request the KV cache; the leaving worker continues the stream."""
        address = self.attempt.choice.worker.address
        path = f'/kv/{self.request_flow.request.name}'
        self._send(address, 'GET', path, b'', self._on_exported)

    def _on_exported(self, reply: http_client.Reply) -> None:
        if not self._is_current():
            return
        choice = self.request_flow.chooser.choose(self.attempt.version)
        if reply.status != OK or isinstance(choice, routing.NoWorker):
            self._switch()
            return
        self.choice = choice
        address = choice.worker.address
        self._send(address, 'POST', '/kv', reply.body, self._on_imported)

    def _on_imported(self, reply: http_client.Reply) -> None:
        self.is_imported = reply.status == OK
        self._switch()

    def _on_failed(self, failure: verdicts.Failure) -> None:
        self._switch()

    def _is_current(self) -> bool:
        return self.request_flow.attempt is self.attempt

    def _switch(self) -> None:
        if not self._is_current():
            return
        cache = 'moved' if self.is_imported else 'recomputed'
        reason = f'the worker is leaving; cache {cache}'
        self.request_flow.migrate(reason, self.choice)

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
            connect_s=TRANSFER_TIMEOUT_S,
            silence_s=TRANSFER_TIMEOUT_S,
        )
        sink = http_client.ReplyCollector(on_reply, self._on_failed)
        self.services.client.send(call, sink)
