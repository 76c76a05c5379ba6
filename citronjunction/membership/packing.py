"""Conversion of messages to arrays, which omit the names of fields."""

import dataclasses
from collections import abc

from citronjunction.membership import facts

KIND = 'kind'
ROW_KIND = 'evidence_row'  # rows omit it
MAX_KIND = 64  # characters
# Kinds of the items in fields that are arrays of data classes, by the kind of
# the class with the field. Empty where each item starts with its own kind.
NESTED_KINDS: abc.Mapping[str, abc.Mapping[str, str]] = {
    'facts': {'facts': ''},
    'evidence': {'rows': ROW_KIND},
}


Named = dict[str, object]
OnUnknown = abc.Callable[[str], None]  # receives a kind


def ignore_kind(kind: str) -> None:
    """Receive the kind of what is left out, and do nothing."""


class PackingError(ValueError):
    """Raised for input that isn't an array of a kind and its fields."""


def pack(unpacked: object, field_counts: abc.Mapping[str, int]) -> object:
    """Convert data classes to arrays that start with their kind, if any.

    ``field_counts`` are the fields that the receiver reads, by kind; later
    ones are left out.
    """
    if dataclasses.is_dataclass(unpacked):
        kind = getattr(unpacked, KIND, None)
        count = field_counts.get(kind or ROW_KIND)
        names = list_fields(type(unpacked))[:count]
        start = [] if kind is None else [kind]
        return start + [
            pack(getattr(unpacked, name), field_counts) for name in names
        ]
    if isinstance(unpacked, tuple):
        return [pack(inner, field_counts) for inner in unpacked]
    return unpacked


class Unpacker:
    """Convert arrays to mappings from the names of fields to values.

    Fields that this build does not know stand at the end and are left out, so
    are items of kinds that it does not know. Missing fields stay missing.
    """

    __slots__ = ('fields_by_kind',)

    def __init__(self, classes: abc.Iterable[type]) -> None:
        """Collect the field names of classes with a default ``kind``."""
        self.fields_by_kind = {
            packed_class.__dataclass_fields__[KIND].default: list_fields(
                packed_class,
            )
            for packed_class in classes
        }
        self.fields_by_kind[ROW_KIND] = list_fields(facts.EvidenceRow)

    def unpack(self, packed: object, on_unknown: OnUnknown) -> Named | None:
        """Convert an array whose first element is its kind.

        Return None if the kind is not known, and report each such kind. Raise
        ``PackingError`` if the kind is not a short text.
        """
        match packed:
            case [str(kind), *values] if kind in self.fields_by_kind:
                named = self._name_fields(kind, values, on_unknown)
                return {KIND: kind, **named}
            case [str(kind), *_] if 0 < len(kind) <= MAX_KIND:
                on_unknown(kind)
                return None
        raise PackingError('message or fact is not an array of a kind')

    def _name_fields(
        self, kind: str, values: list[object], on_unknown: OnUnknown
    ) -> Named:
        # Lists may differ in length: unknown fields are ignored, and missing
        # ones have defaults or are reported by the validation.
        named: Named = dict(
            zip(self.fields_by_kind[kind], values, strict=False)
        )
        for field, item_kind in NESTED_KINDS.get(kind, {}).items():
            array = named.get(field)
            if not isinstance(array, list):
                raise PackingError(f'field {field} is not an array')
            unpacked = (
                self._unpack_item(item_kind, item, on_unknown) for item in array
            )
            named[field] = [item for item in unpacked if item is not None]
        return named

    def _unpack_item(
        self, kind: str, item: object, on_unknown: OnUnknown
    ) -> Named | None:
        if not kind:
            return self.unpack(item, on_unknown)
        if not isinstance(item, list):
            raise PackingError(f'{kind} is not an array')
        return self._name_fields(kind, item, on_unknown)


def list_fields(packed_class: type) -> list[str]:
    """Return the names of the fields of a class, without the kind."""
    return [
        field.name
        for field in dataclasses.fields(packed_class)
        if field.name != KIND
    ]
