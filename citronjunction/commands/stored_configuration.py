"""The configuration in force, read from the platform's store."""

from citronjunction.commands import blocking_client
from citronjunction.platform import configuration, object_store
from citronjunction.store import eras, records
from citronjunction.transport import runtime


def read(address: str) -> records.ReadResult:
    """Read the configuration from the store at ``IP:PORT``."""
    loop = runtime.Runtime()
    store = object_store.ObjectStore(
        loop.client, address, eras.Eras(loop.timers)
    )
    pending = blocking_client.PendingResult[records.ReadResult](loop.stop)
    store.read(configuration.KIND, configuration.NAME, pending.set_value)
    return pending.wait(loop)
