"""Ports of a gateway that only its platform's adapter implements."""

import dataclasses
from typing import Protocol

from citronjunction.duties import models as duties
from citronjunction.gateway import evacuating, models, ports
from citronjunction.reclaims import moves
from citronjunction.store import eras, records


class Decoder(evacuating.Decoder, Protocol):
    """Decode stored objects into the types of the gateway.

    The decode methods return None for objects that they cannot decode.
    """

    configuration_kind: str
    configuration_name: str
    worker_kind: str
    rollout_kind: str

    def decode_configuration(self, spec: object) -> models.Configuration | None:
        """Decode the configuration."""

    def decode_worker(
        self,
        name: str,
        spec: object,
    ) -> models.WorkerRegistration | None:
        """Decode a worker's registration."""

    def decode_rollout(
        self,
        record: records.Record,
    ) -> models.Rollout | None:
        """Decode a request to move an upstream to a version."""

    def encode_rollout_status(
        self,
        target: str,
        state: models.RolloutState,
    ) -> dict[str, object]:
        """Encode the status of a rollout for the store."""


@dataclasses.dataclass(slots=True, frozen=True)
class Adapter:
    """Implementations of the gateway's ports for a platform."""

    codec: ports.Codec
    decoder: Decoder
    store: records.Store
    eras: eras.Eras
    cloud: duties.Cloud
    mover: moves.Mover
