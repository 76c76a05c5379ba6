"""Waits for platform calls in commands that run once."""

from collections import abc
from typing import Generic, TypeVar

from citronjunction.conf import models as conf
from citronjunction.store import models as store_models
from citronjunction.store import object_api
from citronjunction.transport import http_client, runtime
from citronjunction.verdicts import models as verdicts

Value = TypeVar('Value')


class Box(Generic[Value]):
    """Hold the value that a callback brings."""

    __slots__ = ('is_full', 'on_full', 'value')

    def __init__(self, on_full: abc.Callable[[], None]) -> None:
        """Start empty; take what to call once full."""
        self.on_full = on_full
        self.is_full = False
        self.value: Value | None = None

    def put(self, value: Value) -> None:
        """Take the value."""
        self.value = value
        self.is_full = True
        self.on_full()


class Console:
    """Run the loop until a call has answered."""

    def __init__(self, settings: conf.Settings) -> None:
        """Connect to the store of the settings."""
        self.loop = runtime.Runtime()
        self.api = object_api.ObjectApi(self.loop.client, settings.platform)

    def read(self, kind: str, name: str) -> store_models.ReadResult:
        """Read one object."""
        box = Box[store_models.ReadResult](self.loop.stop)
        self.api.read(kind, name, box.put)
        return self._wait(box)

    def select(self, kind: str) -> list[store_models.StoredObject] | None:
        """Read all objects of a kind; nothing on failure."""
        box = Box[list[store_models.StoredObject] | None](self.loop.stop)
        self.api.list_objects(kind, box.put)
        return self._wait(box)

    def write(
        self,
        kind: str,
        name: str,
        spec: object,
        expected: str,
    ) -> store_models.WriteResult:
        """Write if the version is as expected."""
        box = Box[store_models.WriteResult](self.loop.stop)
        self.api.write(kind, name, spec, expected, box.put)
        return self._wait(box)

    def send(
        self,
        call: http_client.Call,
    ) -> http_client.Reply | verdicts.Failure:
        """Send a call and return what came back."""
        box = Box[http_client.Reply | verdicts.Failure](self.loop.stop)
        sink = http_client.ReplyCollector(box.put, box.put)
        self.loop.client.send(call, sink)
        return self._wait(box)

    def sleep(self, seconds: float) -> None:
        """Run the loop for a time."""
        box = Box[None](self.loop.stop)
        self.loop.timers.call_later(seconds, lambda: box.put(None))
        self._wait(box)

    def _wait(self, box: Box[Value]) -> Value:
        while not box.is_full:
            self.loop.run()
        return box.value
