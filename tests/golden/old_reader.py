"""A reader of peer messages as strict as a landed build, by its schema.

It knows the recorded kinds only, and as many fields as that build had.
"""

import json
import pathlib

import cbor2

DATA = pathlib.Path(__file__).parent / 'data'
BUILDS = sorted(path.stem for path in DATA.glob('*.json'))
TYPES = {
    'str': str,
    'int': int,
    'bool': bool,
    'bytes': bytes,
    'float': (int, float),
    'NoneType|float': (int, float, type(None)),
}


class Unreadable(Exception):
    """Raised where the build would end the link."""


def load(build):
    """Return the recorded samples of a build."""
    return json.loads((DATA / f'{build}.json').read_text())


class OldReader:
    """Read frames by the recorded schema of a build."""

    def __init__(self, build):
        samples = load(build)
        self.schema = samples['schema']
        self.message_kinds = set(samples['messages'])
        self.fact_kinds = set(samples['facts'])

    def read(self, frame):
        """Return the kind and named fields, or raise ``Unreadable``."""
        return self._read(cbor2.loads(frame), self.message_kinds)

    def _read(self, packed, kinds):
        kind, *values = packed
        if kind not in kinds:
            raise Unreadable(f'unknown kind {kind}')
        return kind, self._name(kind, values)

    def _name(self, kind, values):
        fields = self.schema[kind]
        if len(values) != len(fields):
            raise Unreadable(f'{len(values)} fields of {kind}')
        named = {}
        for (name, hint, *_), value in zip(fields, values, strict=True):
            if not isinstance(value, TYPES.get(hint, (dict, list, str))):
                raise Unreadable(f'{value!r} as {kind}.{name}')
            named[name] = value
        if kind == 'facts':
            for fact in named['facts']:
                self._read(fact, self.fact_kinds)
        if kind == 'evidence':
            for row in named['rows']:
                self._name('evidence_row', row)
        return named
