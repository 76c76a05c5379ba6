"""Reads and writes of leases in the Object API."""

import uuid

from citronjunction.conf import models as conf
from citronjunction.leases import models
from citronjunction.store import models as store_models
from citronjunction.store import object_api

KIND = 'leases'
MIN_READ_INTERVAL_S = 2.0  # while another node is the holder


class LeaseClient:
    """Acquire, renew and release one lease through the Object API."""

    __slots__ = (
        'api',
        'has_pending_call',
        'lease',
        'name',
        'read_at',
        'timers',
    )

    def __init__(
        self,
        api: object_api.ObjectApi,
        lease: models.Lease,
        name: str,
    ) -> None:
        """Build a client; ``name`` is the name of the lease's object."""
        self.api = api
        self.timers = api.client.timers
        self.lease = lease
        self.name = name
        self.has_pending_call = False
        self.read_at: float = 0

    def is_held(self) -> bool:
        """Return whether this node is the holder and may act as such."""
        return self.lease.is_held(self.timers.now())

    def tick(self) -> None:
        """Renew, acquire or read the lease, whichever is due."""
        if self.has_pending_call:
            return
        now = self.timers.now()
        match self.lease.decide(now):
            case models.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)
            case models.Read() if now - self.read_at >= MIN_READ_INTERVAL_S:
                self.read_at = now
                self.has_pending_call = True
                self.api.read(KIND, self.name, self._on_read)

    def release(self) -> None:
        """Release the lease so that another node can acquire it at once."""
        match self.lease.release(self.timers.now()):
            case models.Write(record=record, expected_version=expected_version):
                self._write(record, expected_version)

    def _write(self, record: models.LeaseRecord, expected_version: str) -> None:
        self.has_pending_call = True
        self.api.write(
            KIND,
            self.name,
            models.encode(record),
            expected_version,
            self._on_write,
        )

    def _on_read(self, result: store_models.ReadResult) -> None:
        self.has_pending_call = False
        now = self.timers.now()
        match result:
            case store_models.Stored(stored_object=stored):
                record = models.decode(stored.spec)
                self.lease.apply_read(record, stored.version, now)
            case store_models.Absent():
                self.lease.apply_read(None, '', now)

    def _on_write(self, result: store_models.WriteResult) -> None:
        self.has_pending_call = False
        match result:
            case store_models.Stored(stored_object=stored):
                self.lease.apply_write(stored.version, self.timers.now())
            case _:
                self.lease.fail_write()


def build_lease_client(
    api: object_api.ObjectApi,
    settings: conf.Control,
    node_name: str,
    name: str,
) -> LeaseClient:
    """Build the client of a lease for this start of the process.

    The holder's name has a random part, so a lease that an earlier start of
    the same node held is not taken for its own.
    """
    lease = models.Lease(
        f'{node_name}/{uuid.uuid4().hex[:8]}',
        settings.lease_s,
        settings.margin_s,
    )
    return LeaseClient(api, lease, name)
