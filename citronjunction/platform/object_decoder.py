"""Decoder of the objects that the users' platform stores."""

from citronjunction.evacuations import models as evacuation_models
from citronjunction.gateway import models
from citronjunction.platform import configuration, evacuations, registry
from citronjunction.store import records


class PlatformDecoder:
    """Decode stored objects into the gateway's types."""

    configuration_kind = configuration.KIND
    configuration_name = configuration.NAME
    worker_kind = registry.KIND
    rollout_kind = configuration.ROLLOUT_KIND
    evacuation_kind = evacuations.KIND

    def decode_configuration(self, spec: object) -> models.Configuration | None:
        """Decode the configuration."""
        return configuration.decode(spec)

    def decode_worker(
        self,
        name: str,
        spec: object,
    ) -> models.WorkerRegistration | None:
        """Decode a worker's registration."""
        return registry.decode(name, spec)

    def decode_rollout(self, record: records.Record) -> models.Rollout | None:
        """Decode a request to move an upstream to a version."""
        return configuration.decode_rollout(
            record.spec,
            record.status,
            record.revision,
        )

    def decode_evacuation(
        self, record: records.Record
    ) -> evacuation_models.Order | records.Rejection:
        """Decode an order to evacuate a data centre."""
        return evacuations.decode(record)

    def encode_rollout_status(
        self,
        target: str,
        state: models.RolloutState,
    ) -> dict[str, object]:
        """Encode the status of a rollout for the store."""
        return configuration.encode_rollout_status(target, state)
