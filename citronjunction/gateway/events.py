"""Whole events of an event stream and the position after them."""

import re

END_OF_EVENT = b'\n\n'
EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
MAX_EVENT = 1 << 20  # bytes held of an event that does not end


class EventTooLarge(Exception):
    """Raised for an event over the bound."""


class EventReader:
    """Cut a byte stream after whole events."""

    __slots__ = ('last_id', 'rest')

    def __init__(self) -> None:
        """Start before the first event."""
        self.rest = b''
        self.last_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return the whole events among them."""
        held = self.rest + chunk
        end = held.rfind(END_OF_EVENT)
        if end < 0:
            if len(held) > MAX_EVENT:
                raise EventTooLarge(f'an event of over {MAX_EVENT} bytes')
            self.rest = held
            return b''
        cut = end + len(END_OF_EVENT)
        events = held[:cut]
        self.rest = held[cut:]
        found = EVENT_ID.findall(events)
        if found:
            self.last_id = found[-1].decode('latin-1').strip()
        return events

    def restart(self) -> None:
        """Drop the part of an event that a broken stream left."""
        self.rest = b''
