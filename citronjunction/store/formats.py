"""Format versions of the records that entries store.

A record without a version has the first one. Readers ignore keys that they
don't know, so the version rises only when older readers would go wrong.
"""

from collections import abc

from absl import logging

KEY = 'format'
FIRST = 1


def stamp(spec: abc.Mapping[str, object]) -> dict[str, object]:
    """Return the spec of a record with the version that this build writes."""
    return {**spec, KEY: FIRST}


class FormatCheck:
    """Check the versions of stored records of a kind; log unknown ones."""

    __slots__ = ('kind', 'logged')

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.logged: dict[str, object] = {}

    def is_known(self, name: str, spec: abc.Mapping[str, object]) -> bool:
        """Return whether this build reads a record, and may replace it."""
        version = spec.get(KEY, FIRST)
        if version == FIRST:
            return True
        if self.logged.get(name) != version:
            self.logged[name] = version
            logging.error(
                'stored record %s/%s has format %r; this build reads format %s'
                ' and leaves the record alone',
                self.kind,
                name,
                version,
                FIRST,
            )
        return False
