"""Incremental reader of HTTP responses."""

from collections import abc

import httptools

CONTINUE = 100
FIRST_FINAL = 200  # status of the first response that is not interim


class ResponseError(Exception):
    """Raised for bytes that are not one HTTP response."""


IsForeign = abc.Callable[[abc.Mapping[str, str]], bool]


def _is_never_foreign(headers: abc.Mapping[str, str]) -> bool:
    return False


class ResponseReader:
    """Collect what each piece of bytes brings of one response."""

    __slots__ = (
        'body',
        'has_head',
        'headers',
        'fields',
        'is_foreign',
        'is_framed',
        'is_skipping',
        'is_whole',
        'keeps_alive',
        'parser',
        'status',
    )

    def __init__(self, is_foreign: IsForeign = _is_never_foreign) -> None:
        """Take what tells by its headers that an answer is another call's."""
        self.is_foreign = is_foreign
        self.is_skipping = False
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.fields: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.status = 0
        self.has_head = False
        self.is_framed = False
        self.is_whole = False
        self.keeps_alive = False

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes and return the part of the body in them."""
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            raise ResponseError(str(error)) from error
        return self.take_body()

    def take_body(self) -> bytes:
        """Return the part of the body not yet taken."""
        if not self.body:
            return b''
        part = b''.join(self.body)
        self.body.clear()
        return part

    def finish(self) -> bool:
        """Tell whether a response without a length is whole at the end."""
        if self.has_head and not self.is_framed:
            self.is_whole = True
        return self.is_whole

    def on_message_begin(self) -> None:
        """Refuse a second response, which nobody asked for."""
        if self.is_whole:
            raise ResponseError('a response that belongs to no request')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        key = name.decode('latin-1').lower()
        self.headers[key] = text.decode('latin-1')
        self.fields.append((name, text))

    def on_headers_complete(self) -> None:
        """Take the status, or drop an interim response."""
        self.status = self.parser.get_status_code()
        if CONTINUE <= self.status < FIRST_FINAL:
            self.headers.clear()
            self.fields.clear()
            return
        self.is_framed = (
            'content-length' in self.headers
            or 'transfer-encoding' in self.headers
        )
        self.is_skipping = self.is_foreign(self.headers)
        if self.is_skipping and not self.is_framed:
            raise ResponseError('an answer to another call, without a length')
        self.has_head = not self.is_skipping

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if not self.is_skipping:
            self.body.append(part)

    def on_message_complete(self) -> None:
        """Note that the response is whole, or go on to the next."""
        if self.is_skipping:
            self.headers.clear()
            self.fields.clear()
        elif self.has_head:
            self.is_whole = True
            self.keeps_alive = self.parser.should_keep_alive()
