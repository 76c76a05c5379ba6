"""Incremental parser of one HTTP request, which counts what it keeps."""

from collections import abc

import h11

from citronjunction.conf import models
from citronjunction.transport import framing

BODY_COPIES = 2  # as received and as sent on


class RequestParser:
    """Parse the bytes of one request."""

    __slots__ = ('body', 'h11', 'head', 'received', 'settings')

    def __init__(self, settings: models.Http) -> None:
        self.settings = settings
        self.h11: h11.Connection | None = h11.Connection(
            h11.SERVER, max_incomplete_event_size=settings.max_head
        )
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.received = 0

    def feed(self, chunk: bytes) -> abc.Iterator[h11.Event]:
        """Yield the events that bytes complete, until it is released.

        Raises ``h11.RemoteProtocolError`` for malformed bytes.
        """
        self.received += len(chunk)
        self.h11.receive_data(chunk)
        while self.h11 is not None:
            event = self.h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            yield event

    def receive_head(self, head: h11.Request) -> framing.Options:
        """Store a head; return its options.

        Raises ``h11.RemoteProtocolError`` for a head beyond the limits.
        """
        framing.check_head(head, self.settings.max_head)
        framing.check_fields(head, self.settings.max_fields)
        self.head = head
        return framing.read_options(head)

    def count_kept(self) -> int:
        """Return the bytes that are kept of what was received."""
        beside = self.received - len(self.body)
        base = min(beside, 2 * self.settings.max_head)
        return base + BODY_COPIES * len(self.body)

    def describe_excess(self) -> str:
        """Return how the request has too many bytes beside its body, or ''."""
        # The head and the trailers may each be as large as a head.
        base = 2 * self.settings.max_head
        return framing.describe_excess(self.received, len(self.body), base)

    def release(self) -> None:
        """Free all bytes; no more events follow."""
        self.h11 = None
        self.head = None
        self.body = bytearray()
