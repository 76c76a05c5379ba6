"""JSON documents with an array whose items are decoded one by one.

An item that can't be decoded is rejected alone. Containers are split without
recursion, so that no depth of nesting makes the splitting fail.
"""

import dataclasses
import itertools
import json
import re

from citronjunction.documents import errors

MAX_DEPTH = 32  # containers within each other
MAX_REASON = 200  # characters
TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]|[^\s\[\]{},:"]+', re.DOTALL
)
OPENING = frozenset((b'[', b'{'))
CLOSING = frozenset((b']', b'}'))
CONTAINERS = (dict, list)
SURROGATE_ESCAPE = re.compile(rb'\\u[dD][89a-fA-F]')


class PartError(ValueError):
    """Raised for a part of a document that can't be decoded."""


@dataclasses.dataclass(slots=True, frozen=True)
class Undecodable:
    """Keep the text of an item that can't be decoded, and the reason."""

    text: bytes
    reason: str


Document = tuple[dict[str, object], list[object]]


def load(text: bytes, array_name: str) -> Document:
    """Return the fields of a JSON object, and the items of one of its arrays.

    Items that can't be decoded are ``Undecodable``. Raise ``PartError`` if the
    document itself can't be split, or another of its fields not be decoded.
    """
    try:
        document = json.loads(text)
    except errors.DECODE_ERRORS:
        return _load_parts(text, array_name)
    if not isinstance(document, dict):
        raise PartError('the document is not an object')
    items = document.get(array_name) or []
    is_plain = SURROGATE_ESCAPE.search(text) is None
    if is_plain and isinstance(items, list) and _is_shallow(document):
        return document, items
    return _load_parts(text, array_name)


def decode(text: bytes) -> object:
    """Return the value of a JSON text, or raise ``PartError``."""
    try:
        value = json.loads(text)
    except errors.DECODE_ERRORS as error:
        raise PartError(_describe(error)) from None
    if not _is_shallow(value):
        raise PartError(f'nested over {MAX_DEPTH} deep')
    if SURROGATE_ESCAPE.search(text):
        _check_surrogates(value)
    return value


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values, or raise ``PartError``."""
    fields = {}
    for part in _split(text, b'{'):
        key = TOKEN.match(part.lstrip())
        if key is None:
            raise PartError('a field has no name')
        _, _, value = part.lstrip()[key.end() :].partition(b':')
        name = decode(key[0])
        if not isinstance(name, str):
            raise PartError('the name of a field is not a string')
        fields[name] = value.strip()
    return fields


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's items, or raise ``PartError``."""
    return _split(text, b'[')


def _load_parts(text: bytes, array_name: str) -> Document:
    fields = split_object(text)
    array = fields.pop(array_name, b'[]')
    items = [] if array == b'null' else split_array(array)
    return (
        {name: decode(field) for name, field in fields.items()},
        [_decode_item(item) for item in items],
    )


def _decode_item(text: bytes) -> object:
    try:
        return decode(text)
    except PartError as error:
        return Undecodable(text, str(error))


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Return the texts between the commas of the outermost container."""
    if text.lstrip()[:1] != opening:
        raise PartError(f'{opening.decode()} is missing')
    depth = 0
    start = 0
    parts = []
    for token in TOKEN.finditer(text):
        mark = token[0]
        if mark in OPENING:
            depth += 1
            start = start or token.end()
        elif mark in CLOSING:
            depth -= 1
        is_end = not depth
        if is_end or (depth == 1 and mark == b','):
            parts.append(text[start : token.start()])
            start = token.end()
        if is_end:
            return [part for part in parts if part.strip()]
    raise PartError('a container is not closed')


def _is_shallow(value: object) -> bool:
    """Return whether no containers are nested too deeply, without recursion."""
    level = [value]
    for _ in range(MAX_DEPTH):
        children = itertools.chain(
            *(held.values() for held in level if isinstance(held, dict)),
            *(held for held in level if isinstance(held, list)),
        )
        level = [held for held in children if isinstance(held, CONTAINERS)]
        if not level:
            return True
    return False


def _check_surrogates(value: object) -> None:
    """Raise ``PartError`` for text that has no encoding."""
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise PartError(_describe(error)) from None


def _describe(error: BaseException) -> str:
    text = str(error).replace('\n', ' ')
    return f'{type(error).__name__}: {text}'[:MAX_REASON]
