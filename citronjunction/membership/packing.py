"""Conversion of messages to arrays, which omit the names of fields."""

import dataclasses
from collections import abc

from citronjunction.membership import facts

KIND = 'kind'
# Kinds of the items in fields that are arrays of data classes, by the kind of
# the class with the field. Empty where each item starts with its own kind.
NESTED_KINDS: abc.Mapping[str, abc.Mapping[str, str]] = {
    'facts': {'facts': ''},
    'evidence': {'rows': 'evidence_row'},
}


class PackingError(ValueError):
    """Raised for input that isn't an array of a known kind and its fields."""


def pack(unpacked: object) -> object:
    """Convert data classes to arrays that start with their kind, if any."""
    if dataclasses.is_dataclass(unpacked):
        names = list_fields(type(unpacked))
        kind = getattr(unpacked, KIND, None)
        start = [] if kind is None else [kind]
        return start + [pack(getattr(unpacked, name)) for name in names]
    if isinstance(unpacked, tuple):
        return [pack(inner) for inner in unpacked]
    return unpacked


class Unpacker:
    """Convert arrays to mappings from the names of fields to values."""

    __slots__ = ('fields_by_kind',)

    def __init__(self, classes: abc.Iterable[type]) -> None:
        """Collect the field names of classes with a default ``kind``."""
        self.fields_by_kind = {
            packed_class.__dataclass_fields__[KIND].default: list_fields(
                packed_class,
            )
            for packed_class in classes
        }
        self.fields_by_kind['evidence_row'] = list_fields(facts.EvidenceRow)

    def unpack(self, packed: object) -> dict[str, object]:
        """Convert an array whose first element is its kind.

        Raise ``PackingError`` if the kind or the fields are wrong.
        """
        match packed:
            case [str(kind), *values] if kind in self.fields_by_kind:
                return {KIND: kind, **self._name_fields(kind, values)}
        raise PackingError('message or fact is not an array of a known kind')

    def _name_fields(
        self, kind: str, values: list[object]
    ) -> dict[str, object]:
        names = self.fields_by_kind[kind]
        if len(values) != len(names):
            raise PackingError(
                f'wrong number of fields for {kind}: {len(values)}'
            )
        named = dict(zip(names, values, strict=True))
        for field, item_kind in NESTED_KINDS.get(kind, {}).items():
            array = named[field]
            if not isinstance(array, list):
                raise PackingError(f'field {field} is not an array')
            named[field] = [
                self._unpack_item(item_kind, item) for item in array
            ]
        return named

    def _unpack_item(self, kind: str, item: object) -> dict[str, object]:
        if not kind:
            return self.unpack(item)
        if not isinstance(item, list):
            raise PackingError(f'{kind} is not an array')
        return self._name_fields(kind, item)


def list_fields(packed_class: type) -> list[str]:
    """Return the names of the fields of a class, without the kind."""
    return [
        field.name
        for field in dataclasses.fields(packed_class)
        if field.name != KIND
    ]
