"""Validated conversion between data classes and JSON documents."""

from typing import Generic, TypeVar

import pydantic

Value = TypeVar('Value')


class Codec(Generic[Value]):
    """Convert values of one data class."""

    __slots__ = ('adapter',)

    def __init__(self, value_class: type[Value]) -> None:
        self.adapter = pydantic.TypeAdapter(value_class)

    def encode(self, value: Value) -> dict[str, object]:
        """Return a value as a JSON document."""
        return self.adapter.dump_python(value, mode='json')

    def decode(self, document: object) -> Value | None:
        """Return the value of a document, or ``None`` if it is malformed."""
        try:
            return self.adapter.validate_python(document)
        except pydantic.ValidationError:
            return None
