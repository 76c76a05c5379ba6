"""Decoding of the platform's orders to evacuate data centres."""

from citronjunction.evacuations import models
from citronjunction.store import records

KIND = 'evacuations'


def decode(record: records.Record) -> models.Order | records.Rejection:
    """Return the order that an object's name gives, whatever its spec is."""
    if not record.name:
        return records.Rejection('', 'the object names no data centre')
    return models.Order(record.name, record.revision)
