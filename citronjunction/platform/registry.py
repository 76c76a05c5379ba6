"""Decoding of the registrations in which workers describe themselves."""

import ipaddress
from typing import Annotated

import pydantic
from absl import logging
from pydantic import alias_generators

from citronjunction.documents import errors
from citronjunction.gateway import models

MS_PER_S = 1000
KIND = 'servers'
MAX_PORT = 65535
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0
MAX_BORN_MS = 1 << 53


def check_address(text: str) -> str:
    """Return an address ``IP:PORT``, or raise ``ValueError``."""
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not (port.isdecimal() and port.isascii() and len(port) <= 5):
        raise ValueError(f'port {port:.20} is not a number')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return text


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
    addr: Annotated[str, pydantic.AfterValidator(check_address)]
    zone: str
    version: str = ''
    slots: int = pydantic.Field(default=1, ge=1, le=MAX_SLOTS)
    state: str
    # Remaining time of the slow phase after its start.
    cold_left_ms: float = pydantic.Field(
        default=0, le=MAX_COLD_MS, allow_inf_nan=False
    )
    spot: bool = False
    # Start time in Unix milliseconds.
    born: int = pydantic.Field(default=0, ge=0, le=MAX_BORN_MS)


def decode(name: str, spec: object) -> models.WorkerRegistration | None:
    """Return a worker's registration, or log the error and return None."""
    try:
        wire = WireWorker.model_validate(spec)
        state = models.WorkerState(wire.state)
    except errors.DECODE_ERRORS as error:
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
