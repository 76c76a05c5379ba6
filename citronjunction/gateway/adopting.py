"""Choice of the configuration in force, also after a restore of the store."""

import dataclasses
import enum
from collections import abc

from citronjunction.gateway import context, models
from citronjunction.store import eras, mirror, records

# Time for which a lower version that was written after a restore must stand.
# The operator writes its objects again one after another.
CONFIRM_S = 1.0
# Revision in copies of a configuration that the restored store lacks.
KEPT_REVISION = 0


class Decision(enum.Enum):
    """What follows from a configuration that the store or a peer has."""

    apply = 'apply'
    keep = 'keep'
    confirm = 'confirm'


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A stored configuration with the era in which it was read.

    ``is_rewritten`` means that it was written after the era began, and is not
    a part of the copy from which the store was restored.
    """

    configuration: models.Configuration
    record: records.Record
    era: int
    is_rewritten: bool


def decide(known: Candidate | None, candidate: Candidate) -> Decision:
    """Decide whether a candidate replaces the configuration in force.

    Within an era the higher version wins. A restored store may hold an older
    version, which counts only if the operator has written it again.
    """
    if known is None:
        return Decision.apply
    version = candidate.configuration.version
    known_version = known.configuration.version
    if version > known_version:
        return Decision.apply
    if candidate.era <= known.era:
        return Decision.keep
    if version == known_version:
        is_equal = candidate.configuration == known.configuration
        return Decision.keep if is_equal else Decision.apply
    return Decision.confirm if candidate.is_rewritten else Decision.keep


class Adopter:
    """Apply configurations of the store and of peers in the right order."""

    __slots__ = ('in_force', 'mirror', 'on_applied', 'services', 'superseded')

    def __init__(
        self,
        services: context.Services,
        configuration_mirror: mirror.Mirror,
        on_applied: abc.Callable[[], None],
    ) -> None:
        """Call ``on_applied`` after each change of the configuration."""
        self.services = services
        self.mirror = configuration_mirror
        self.on_applied = on_applied
        self.in_force: Candidate | None = None
        # Highest version that the operator has replaced by a lower one.
        self.superseded = 0

    def offer_stored(
        self,
        record: records.Record,
        configuration: models.Configuration,
    ) -> None:
        """Apply a configuration of the store if it is newer."""
        listed_as_of = self.mirror.listed_as_of
        candidate = Candidate(
            configuration,
            record,
            self.mirror.era,
            is_rewritten=0 < listed_as_of < record.revision,
        )
        match decide(self.in_force, candidate):
            case Decision.apply:
                self._apply(candidate)
            case Decision.confirm:
                self.services.timers.call_later(
                    CONFIRM_S, lambda: self._confirm(candidate)
                )
            case Decision.keep if (
                candidate.configuration == self.in_force.configuration
            ):
                # The store has this version, now perhaps in a later era.
                self.in_force = candidate
            case Decision.keep:
                self._log_kept(candidate)

    def get_kept_record(self) -> records.Record | None:
        """Return the record in force if only an earlier era has had it."""
        if self.in_force is None or self.in_force.era == self.mirror.era:
            return None
        return dataclasses.replace(self.in_force.record, revision=KEPT_REVISION)

    def offer_copied(
        self,
        record: records.Record,
        configuration: models.Configuration,
    ) -> None:
        """Apply a configuration that a peer has in force if it is newer."""
        if configuration.version <= self.superseded:
            return
        # A peer may keep a version that the restored store lacks.
        candidate = Candidate(configuration, record, eras.UNKNOWN, False)
        if decide(self.in_force, candidate) is Decision.apply:
            self._apply(candidate)

    def _confirm(self, candidate: Candidate) -> None:
        """Apply a lower version that is still the stored one."""
        current = self.mirror.records.get(candidate.record.name)
        if current is not candidate.record:
            return
        if decide(self.in_force, candidate) is Decision.confirm:
            self.superseded = self.in_force.configuration.version
            self._apply(candidate)

    def _apply(self, candidate: Candidate) -> None:
        before = self.in_force
        self.in_force = candidate
        self.services.apply(candidate.configuration)
        self.services.log.write(
            'configuration',
            str(candidate.configuration.version),
            revision=candidate.record.revision,
            era=candidate.era,
            before=before.configuration.version if before else 0,
            routes=len(candidate.configuration.routes),
        )
        self.on_applied()

    def _log_kept(self, candidate: Candidate) -> None:
        version = candidate.configuration.version
        if version < self.in_force.configuration.version:
            self.services.log.write(
                'configuration kept',
                str(self.in_force.configuration.version),
                stored=version,
                revision=candidate.record.revision,
                era=candidate.era,
            )
