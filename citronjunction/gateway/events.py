"""Parsing of server-sent events: complete events and their last id."""

import re

EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
PACE_STEPS = 3  # events after the first until the pace is known
MAX_EVENT_BYTES = 1 << 20  # buffer limit for an incomplete event


class EventTooLarge(Exception):
    """Raised for an event over the limit."""


class EventReader:
    """Split a byte stream into complete events.

    ``last_id`` is the id of the last complete event that had one,
    ``id_count`` the number of these events, and ``has_new_id`` whether the
    bytes that were fed last contained one.
    """

    __slots__ = ('has_new_id', 'id_count', 'last_id', 'remainder')

    def __init__(self) -> None:
        self.remainder = b''
        self.last_id = ''
        self.has_new_id = False
        self.id_count = 0

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self.remainder.strip())

    def feed(self, chunk: bytes) -> bytes:
        """Buffer bytes and return the events that they complete.

        Raise ``EventTooLarge`` if an incomplete event exceeds the limit.
        """
        buffered = self.remainder + chunk
        self.has_new_id = False
        cut = _find_end_of_events(buffered)
        if not cut:
            if len(buffered) > MAX_EVENT_BYTES:
                raise EventTooLarge(
                    f'a stream event exceeds {MAX_EVENT_BYTES} bytes'
                )
            self.remainder = buffered
            return b''
        events = buffered[:cut]
        self.remainder = buffered[cut:]
        ids = EVENT_ID.findall(events)
        self.has_new_id = bool(ids)
        self.id_count += len(ids)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return events


class PaceMeter:
    """Measure the mean time between the first events of a stream.

    ``pace_s`` is 0 until it is known.
    """

    __slots__ = ('first_at', 'first_count', 'pace_s')

    def __init__(self) -> None:
        self.first_at: float | None = None
        self.first_count = 0
        self.pace_s: float = 0

    def record(self, count: int, now: float) -> bool:
        """Record the number of events so far; return if the pace is new."""
        if self.first_at is None:
            self.first_at = now
            self.first_count = count
            return False
        steps = count - self.first_count
        if self.pace_s or steps < PACE_STEPS:
            return False
        self.pace_s = (now - self.first_at) / steps
        return True


def _find_end_of_events(buffered: bytes) -> int:
    """Return the length of the complete events, 0 if there are none."""
    ends = ((buffered.rfind(mark), len(mark)) for mark in EVENT_ENDS)
    return max((at + length for at, length in ends if at >= 0), default=0)
