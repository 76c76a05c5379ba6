"""The accepted configuration, which has one revision number as a whole."""

import dataclasses
from collections import abc

from citronjunction.documents import codec
from citronjunction.organisations import models as organisation_models
from citronjunction.upstreams import models as upstream_models

KIND = 'configurations'
NAME = 'current'


@dataclasses.dataclass(slots=True, frozen=True)
class DeclaredMove:
    """Change that a release note declares and the system carries out.

    ``deadline_at`` is in seconds since the epoch.
    """

    name: str
    action: str
    subject: str
    revision: int
    deadline_at: float
    version: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """Organisations, upstreams and moves declared by release notes.

    ``operation`` identifies the write that made the revision.
    """

    revision: int = 0
    operation: str = ''
    note: str = ''
    organisations: dict[str, organisation_models.Organisation] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    upstreams: dict[str, upstream_models.UpstreamSpec] = dataclasses.field(
        default_factory=dict,
    )
    moves: tuple[DeclaredMove, ...] = ()
    notes: tuple[str, ...] = ()


CODEC = codec.Codec(Configuration)
encode = CODEC.encode
decode = CODEC.decode


Listener = abc.Callable[[Configuration], None]


class ConfigurationCache:
    """Cache the configuration of the highest revision received.

    Configurations arrive from the store and from peers, in any order.
    """

    __slots__ = ('current', 'listeners')

    def __init__(self) -> None:
        self.current = Configuration()
        self.listeners: list[Listener] = []

    def accept(self, received: Configuration | None) -> bool:
        """Store a configuration if it is newer; return whether it was."""
        if received is None or received.revision <= self.current.revision:
            return False
        self.current = received
        for listener in self.listeners:
            listener(received)
        return True
