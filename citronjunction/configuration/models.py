"""The accepted configuration; one revision number for all of it."""

import dataclasses
from collections import abc

from citronjunction.documents import codec
from citronjunction.organisations import models as organisation_models
from citronjunction.upstreams import models as upstream_models

KIND = 'configurations'
NAME = 'current'


@dataclasses.dataclass(slots=True, frozen=True)
class DeclaredMove:
    """Name one change that the system has to carry out.

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
    """Hold all that release notes have declared.

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
    """Keep the highest revision seen, from wherever it came."""

    __slots__ = ('current', 'listeners')

    def __init__(self) -> None:
        """Start with the empty configuration."""
        self.current = Configuration()
        self.listeners: list[Listener] = []

    def accept(self, offered: Configuration | None) -> bool:
        """Take a configuration unless it is not newer."""
        if offered is None or offered.revision <= self.current.revision:
            return False
        self.current = offered
        for listener in self.listeners:
            listener(offered)
        return True
