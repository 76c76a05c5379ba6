"""Decoding of the registrations in which workers describe themselves."""

import pydantic
from absl import logging
from pydantic import alias_generators

from citronjunction.gateway import models

MS_PER_S = 1000
KIND = 'servers'


class WireWorker(pydantic.BaseModel):
    """A worker's registration.

    Types are checked strictly, because other programs can write registrations
    too, and those may not validate.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore',
        strict=True,
        alias_generator=alias_generators.to_camel,
    )

    service: str = pydantic.Field(min_length=1)
    addr: str = pydantic.Field(pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$')
    zone: str
    version: str = ''
    slots: int = pydantic.Field(default=1, ge=1)
    state: str
    cold_left_ms: float = 0  # remaining time of the slow phase after its start
    spot: bool = False
    born: int = 0  # start time in Unix milliseconds


def decode(name: str, spec: object) -> models.WorkerRegistration | None:
    """Return a worker's registration, or log the error and return None."""
    try:
        wire = WireWorker.model_validate(spec)
        state = models.WorkerState(wire.state)
    except ValueError as error:
        reason = str(error).replace('\n', ' ')[:200]
        logging.warning(
            'registration of worker %.80s is malformed: %s', name, reason
        )
        return None
    return models.WorkerRegistration(
        name,
        wire.service,
        wire.addr,
        wire.zone,
        wire.version,
        wire.slots,
        state,
        wire.spot,
        wire.born,
        wire.cold_left_ms / MS_PER_S,
    )
