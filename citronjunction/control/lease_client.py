"""Keeps one lease in the Object API."""

import uuid

from citronjunction.conf import models as conf
from citronjunction.leases import models
from citronjunction.store import models as store_models
from citronjunction.store import object_api

KIND = 'leases'
READ_S = 2.0  # shortest time between reads of a lease held elsewhere


class LeaseClient:
    """Carry a lease's reads and writes to the store."""

    __slots__ = ('api', 'is_waiting', 'lease', 'name', 'read_at', 'timers')

    def __init__(
        self,
        api: object_api.ObjectApi,
        lease: models.Lease,
        name: str,
    ) -> None:
        """Take the store, the lease and the object's name."""
        self.api = api
        self.timers = api.client.timers
        self.lease = lease
        self.name = name
        self.is_waiting = False
        self.read_at: float = 0

    def is_held(self) -> bool:
        """Tell whether the holder may act now."""
        return self.lease.is_held(self.timers.now())

    def tick(self) -> None:
        """Renew, take over or look at the lease."""
        if self.is_waiting:
            return
        now = self.timers.now()
        match self.lease.decide(now):
            case models.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)
            case models.Read() if now - self.read_at >= READ_S:
                self.read_at = now
                self.is_waiting = True
                self.api.read(KIND, self.name, self._on_read)

    def release(self) -> None:
        """Give the lease back, so that another may have it at once."""
        match self.lease.release(self.timers.now()):
            case models.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)

    def _write(self, record: models.LeaseRecord, expected_version: str) -> None:
        self.is_waiting = True
        self.api.write(
            KIND,
            self.name,
            models.encode(record),
            expected_version,
            self._on_write,
        )

    def _on_read(self, result: store_models.ReadResult) -> None:
        self.is_waiting = False
        now = self.timers.now()
        match result:
            case store_models.Stored(stored_object=held):
                record = models.decode(held.spec)
                self.lease.apply_read(record, held.version, now)
            case store_models.Absent():
                self.lease.apply_read(None, '', now)

    def _on_write(self, result: store_models.WriteResult) -> None:
        self.is_waiting = False
        match result:
            case store_models.Stored(stored_object=held):
                self.lease.apply_write(held.version, self.timers.now())
            case _:
                self.lease.fail_write()


def build_lease_client(
    api: object_api.ObjectApi,
    settings: conf.Control,
    node_name: str,
    name: str,
) -> LeaseClient:
    """Build the holder of a lease under a name that no other start has."""
    lease = models.Lease(
        f'{node_name}/{uuid.uuid4().hex[:8]}',
        settings.lease_s,
        settings.margin_s,
    )
    return LeaseClient(api, lease, name)
