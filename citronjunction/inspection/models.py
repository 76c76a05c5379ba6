"""A configuration under inspection, its problems and its changes."""

import dataclasses
import enum

from citronjunction.conf import exceptions
from citronjunction.gateway import models as gateway


class Level(enum.Enum):
    """How serious a problem is; its code begins with the value."""

    error = 'E'
    warning = 'W'


@dataclasses.dataclass(slots=True, frozen=True)
class Draft:
    """A decoded configuration with the names as they are listed.

    The configuration itself keeps one entry of a name only. ``keys`` pairs
    each key with its organisation.
    """

    configuration: gateway.Configuration
    upstreams: tuple[str, ...]
    organisations: tuple[str, ...]
    keys: tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A difference to the configuration in force, and its effect."""

    subject: str
    effect: str


def get_level(problem: exceptions.Problem) -> Level:
    """Return how serious a problem is."""
    return Level(problem.code[0])


def mask_key(key: str) -> str:
    """Return a key in a form that can be printed."""
    return f'{key[:4]}...'


def describe_route(route: gateway.Route) -> str:
    """Return the name of a route and what it matches."""
    return f'route {route.name} ({route.host}{route.prefix})'
