"""Whole events of an event stream and the position after them."""

import re

END_OF_EVENT = b'\n\n'
EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
MAX_EVENT_BYTES = 1 << 20  # bytes held of an event that does not end


class EventTooLarge(Exception):
    """Raised for an event over the bound."""


class EventReader:
    """Cut a byte stream after whole events."""

    __slots__ = ('last_id', 'remainder')

    def __init__(self) -> None:
        """Start before the first event."""
        self.remainder = b''
        self.last_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return the whole events among them."""
        buffered = self.remainder + chunk
        end = buffered.rfind(END_OF_EVENT)
        if end < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise EventTooLarge(f'an event of over {MAX_EVENT_BYTES} bytes')
            self.remainder = buffered
            return b''
        cut = end + len(END_OF_EVENT)
        events = buffered[:cut]
        self.remainder = buffered[cut:]
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return events

    def restart(self) -> None:
        """Drop the part of an event that a broken stream left."""
        self.remainder = b''
