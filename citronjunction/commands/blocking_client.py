"""Blocking calls to the store and entries, for commands that run once."""

from collections import abc
from typing import Generic, TypeVar

from citronjunction.conf import models as conf
from citronjunction.store import models as store_models
from citronjunction.store import object_api
from citronjunction.transport import http_client, runtime
from citronjunction.verdicts import models as verdicts

Value = TypeVar('Value')


class PendingResult(Generic[Value]):
    """Store the value that a callback delivers."""

    __slots__ = ('is_done', 'on_done', 'value')

    def __init__(self, on_done: abc.Callable[[], None]) -> None:
        """Create a pending result; ``on_done`` runs once it has a value."""
        self.on_done = on_done
        self.is_done = False
        self.value: Value | None = None

    def set_value(self, value: Value) -> None:
        """Set the value and call ``on_done``."""
        self.value = value
        self.is_done = True
        self.on_done()

    def wait(self, loop: runtime.Runtime) -> Value:
        """Run a loop that ``on_done`` stops until the value is there."""
        while not self.is_done:
            loop.run()
        return self.value


class BlockingClient:
    """Run the event loop until a call has its result."""

    def __init__(self, settings: conf.Settings) -> None:
        """Create a client of the store that the settings name."""
        self.loop = runtime.Runtime()
        self.api = object_api.ObjectApi(self.loop.client, settings.platform)

    def read(self, kind: str, name: str) -> store_models.ReadResult:
        """Read an object."""
        pending = PendingResult[store_models.ReadResult](self.loop.stop)
        self.api.read(kind, name, pending.set_value)
        return pending.wait(self.loop)

    def list_objects(self, kind: str) -> list[store_models.StoredObject] | None:
        """Return all objects of a kind, or None on failure."""
        pending = PendingResult[list[store_models.StoredObject] | None](
            self.loop.stop
        )
        self.api.list_objects(kind, pending.set_value)
        return pending.wait(self.loop)

    def write(
        self,
        kind: str,
        name: str,
        spec: object,
        expected: str,
    ) -> store_models.WriteResult:
        """Write an object if its version is ``expected``."""
        pending = PendingResult[store_models.WriteResult](self.loop.stop)
        self.api.write(kind, name, spec, expected, pending.set_value)
        return pending.wait(self.loop)

    def send(
        self,
        call: http_client.Call,
    ) -> http_client.Reply | verdicts.Failure:
        """Send an HTTP call and return its reply or failure."""
        pending = PendingResult[http_client.Reply | verdicts.Failure](
            self.loop.stop
        )
        sink = http_client.ReplyCollector(pending.set_value, pending.set_value)
        self.loop.client.send(call, sink)
        return pending.wait(self.loop)

    def sleep(self, seconds: float) -> None:
        """Run the event loop for a number of seconds."""
        pending = PendingResult[None](self.loop.stop)
        self.loop.timers.call_later(seconds, lambda: pending.set_value(None))
        pending.wait(self.loop)
