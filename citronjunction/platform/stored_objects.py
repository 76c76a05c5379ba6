"""Decoding of the objects of the store, each by itself.

Other programs write objects too: one that can't be decoded is rejected, and the
others of a page or of a watch hold.
"""

from typing import TypeVar

from citronjunction.documents import errors, parts
from citronjunction.store import records

Item = TypeVar('Item')


def decode_page(body: bytes) -> records.Page:
    """Return a page of a list; raise a decode error for a malformed one."""
    page, items = parts.load(body, 'entries')
    decoded = [_decode_item(item) for item in items]
    after = ''
    if page.get('hasMore') and decoded:
        after = _find_last_name(decoded)
    listed, rejections = _divide(decoded)
    return records.Page(listed, int(page['asOf']), after, rejections)


def decode_changes(body: bytes) -> records.Changes:
    """Return the changes of a watch; raise a decode error for malformed ones."""
    document, events = parts.load(body, 'events')
    changes, rejections = _divide([_decode_event(event) for event in events])
    return records.Changes(changes, int(document['asOf']), rejections)


def decode_record(document: object) -> records.Record:
    """Return a stored object; raise a decode error for a malformed one."""
    meta = document['meta']
    name = meta['name']
    if not isinstance(name, str):
        raise parts.PartError('the name is not a string')
    spec = document.get('spec')
    status = document.get('status')
    # A part that has no fields counts as empty.
    return records.Record(
        name,
        int(meta['rev']),
        spec if isinstance(spec, dict) else {},
        status if isinstance(status, dict) else {},
    )


def decode_conflict(body: bytes) -> records.Record | None:
    """Return the object that a write conflicts with, if it is named."""
    document = parts.decode(body or b'{}')
    current = document.get('object', document)
    return decode_record(current) if 'meta' in current else None


def _decode_item(item: object) -> records.Record | records.Rejection:
    if isinstance(item, parts.Undecodable):
        return records.Rejection(_find_name(item.text), item.reason)
    try:
        return decode_record(item)
    except errors.DECODE_ERRORS as error:
        return records.Rejection(_get_name(item), repr(error))


def _decode_event(event: object) -> records.Change | records.Rejection:
    if isinstance(event, parts.Undecodable):
        return _decode_broken_event(event)
    try:
        changed = decode_record(event['object'])
    except errors.DECODE_ERRORS as error:
        name = _get_name(event.get('object')) if isinstance(event, dict) else ''
        return records.Rejection(name, repr(error))
    return records.Change(changed, bool(event.get('tombstone')))


def _decode_broken_event(
    event: parts.Undecodable,
) -> records.Change | records.Rejection:
    """Return the removal of an object that can't be decoded, or reject it."""
    try:
        fields = parts.split_object(event.text)
        is_removed = bool(parts.decode(fields.get('tombstone', b'false')))
        meta = _decode_meta(fields['object'])
    except errors.DECODE_ERRORS as error:
        return records.Rejection('', f'{event.reason}, {error!r}')
    if not is_removed:
        return records.Rejection(meta.name, event.reason)
    return records.Change(meta, is_removed)


def _find_name(text: bytes) -> str:
    """Return the name in the text of an object, empty if there is none."""
    try:
        return _decode_meta(text).name
    except errors.DECODE_ERRORS:
        return ''


def _decode_meta(text: bytes) -> records.Record:
    """Return an object without its spec; raise a decode error if it can't."""
    meta = parts.split_object(parts.split_object(text)['meta'])
    named = {name: parts.decode(meta[name]) for name in ('name', 'rev')}
    return decode_record({'meta': named})


def _get_name(document: object) -> str:
    match document:
        case {'meta': {'name': str(name)}}:
            return name
    return ''


def _find_last_name(decoded: list[records.Record | records.Rejection]) -> str:
    """Return the last name of a page, after which the next one starts."""
    for item in reversed(decoded):
        if item.name:
            return item.name
    raise parts.PartError('no object of the page can be decoded')


def _divide(
    decoded: list[Item | records.Rejection],
) -> tuple[tuple[Item, ...], tuple[records.Rejection, ...]]:
    """Return the items that were decoded, and the rejections."""
    rejections = tuple(
        item for item in decoded if isinstance(item, records.Rejection)
    )
    if rejections:
        decoded = [
            item for item in decoded if not isinstance(item, records.Rejection)
        ]
    return tuple(decoded), rejections
