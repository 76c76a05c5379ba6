"""Stored objects that can't be decoded: logged once each, and counted."""

from citronjunction.gateway import constraints, context, counting
from citronjunction.store import records

MAX_TEXT = 200  # characters of another writer in a line


class Rejections:
    """Log each rejected object once for a reason."""

    __slots__ = ('reasons', 'services')

    def __init__(self, services: context.Services) -> None:
        self.services = services
        # By kind and name of the object.
        self.reasons: dict[tuple[str, str], str] = {}

    def record(self, kind: str, rejection: records.Rejection) -> None:
        """Count a rejection, and log it unless it repeats."""
        self.services.counts.record(counting.ObjectRejected(kind))
        key = (kind, rejection.name)
        if self.reasons.get(key) == rejection.reason:
            return
        self.reasons[key] = rejection.reason
        constraints.forget_oldest(self.reasons)
        self.services.log.write(
            'object rejected',
            rejection.name[:MAX_TEXT],
            object_kind=kind,
            reason=rejection.reason[:MAX_TEXT],
        )
