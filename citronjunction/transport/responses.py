"""Incremental parser of HTTP responses."""

import re
from collections import abc

import httptools

from citronjunction.transport import framing

CONTINUE = 100
SWITCHING_PROTOCOLS = 101
FIRST_FINAL = 200  # lowest status of a final response
LAST_STATUS = 599  # higher ones are invalid (RFC 9110, section 15)
PROTOCOL = b'HTTP/'
VERSIONS = frozenset(('1.0', '1.1'))
CONTENT_LENGTH = 'content-length'
TRANSFER_ENCODING = 'transfer-encoding'
CHUNKED = 'chunked'
CONTROL_BYTE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
# Ends a head or a chunked body; the line before it may be in earlier bytes.
EMPTY_LINE = re.compile(rb'^\r?\n', re.MULTILINE)
# Bytes of heads, chunk headers and trailers, beside those of the body.
MAX_OVERHEAD_BYTES = 65536
MAX_INTERIM_RESPONSES = 16
MAX_FIELDS = 256  # of a head; short ones take far more memory than their bytes
MAX_SKIPPED_BYTES = 1 << 20  # body bytes of responses to other calls


class ResponseError(Exception):
    """Raised for bytes that do not form exactly one HTTP response."""


IsForOtherCall = abc.Callable[[abc.Mapping[str, str]], bool]


def _is_never_for_other_call(headers: abc.Mapping[str, str]) -> bool:
    return False


class ResponseReader:
    """Parse one response from the chunks that a connection receives."""

    __slots__ = (
        'body',
        'body_bytes',
        'fields',
        'fed_bytes',
        'gap_bytes',
        'has_body',
        'has_head',
        'headers',
        'interim_responses',
        'is_complete',
        'is_for_other_call',
        'is_framed',
        'is_in_head',
        'is_skipping',
        'keeps_alive',
        'parser',
        'prefix',
        'skipped_bytes',
        'status',
        'unskipped_bytes',
    )

    def __init__(
        self,
        is_for_other_call: IsForOtherCall | None = None,
        *,
        has_body: bool = True,
    ) -> None:
        """Skip responses whose headers show that they are for another call.

        Without ``has_body`` the response ends with its head.
        """
        self.is_for_other_call = is_for_other_call or _is_never_for_other_call
        self.has_body = has_body
        self.is_skipping = False
        self.unskipped_bytes = 0  # of a body with a length
        self.is_in_head = True
        self.prefix = b''
        self.gap_bytes = 0
        self.fed_bytes = 0
        self.body_bytes = 0
        self.skipped_bytes = 0
        self.interim_responses = 0
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.fields: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.status = 0
        self.has_head = False
        self.is_framed = False
        self.is_complete = False
        self.keeps_alive = False

    def feed(self, chunk: bytes) -> bytes:
        """Parse bytes and return the body bytes among them.

        Raises ``ResponseError`` for malformed bytes, and for more bytes beside
        the body than a response needs.
        """
        self.fed_bytes += len(chunk)
        self.gap_bytes += len(chunk)
        start = 0
        while start < len(chunk):
            end = self._find_boundary(chunk, start)
            self._parse(chunk[start:end])
            start = end
        self._check_overhead()
        self._check_gap()
        return self.pop_body()

    def pop_body(self) -> bytes:
        """Return the body bytes that were not returned before."""
        if not self.body:
            return b''
        part = b''.join(self.body)
        self.body.clear()
        return part

    def release(self) -> None:
        """Drop the parser, which refers back to the reader."""
        self.parser = None

    def finish(self) -> bool:
        """Return whether the response is complete as the connection ends."""
        if self.has_head and not self.is_framed:
            self.is_complete = True
        return self.is_complete

    def on_message_begin(self) -> None:
        """Raise an error for a second response: only one was requested."""
        if self.is_complete:
            raise ResponseError('response without a request')
        self.is_in_head = True

    def on_status(self, reason: bytes) -> None:
        """Raise an error for control bytes in the reason phrase."""
        if CONTROL_BYTE.search(reason):
            raise ResponseError('control byte in the reason phrase')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; ignore trailers, which come after the head.

        Raises ``ResponseError`` for more than ``MAX_FIELDS`` headers.
        """
        if not self.is_in_head:
            return
        if len(self.fields) == MAX_FIELDS:
            raise ResponseError(f'more than {MAX_FIELDS} header fields')
        key = name.decode('latin-1').lower()
        self.headers[key] = text.decode('latin-1')
        self.fields.append((name, text))

    def on_headers_complete(self) -> None:
        """Store the status; drop an interim response or one to another call."""
        self._check_version()
        self.status = self._read_status()
        self.is_in_head = False
        if self.status < FIRST_FINAL:
            self.interim_responses += 1
            self.headers.clear()
            self.fields.clear()
            return
        self._check_transfer_codings()
        self.is_framed = (
            CONTENT_LENGTH in self.headers or TRANSFER_ENCODING in self.headers
        )
        self.is_skipping = self.is_for_other_call(self.headers)
        if self.is_skipping and not self.is_framed:
            raise ResponseError('response to another call has no length')
        if self.is_skipping:
            self.unskipped_bytes = int(self.headers.get(CONTENT_LENGTH, 0))
        self.has_head = not self.is_skipping
        if self.has_head and not self.has_body:
            self.is_framed = True
            self.is_complete = True

    def on_body(self, part: bytes) -> None:
        """Store a part of the body unless the response is skipped."""
        if self.is_complete:
            raise ResponseError('body of a response that ends with its head')
        self.gap_bytes = 0
        if self.is_skipping:
            self.skipped_bytes += len(part)
            self.unskipped_bytes = max(0, self.unskipped_bytes - len(part))
        else:
            self.body_bytes += len(part)
            self.body.append(part)

    def on_message_complete(self) -> None:
        """Mark the response as complete, or continue after a skipped one."""
        if self.has_head:
            self.is_complete = True
            self.keeps_alive = self.parser.should_keep_alive()
            return
        self.headers.clear()
        self.fields.clear()
        self.prefix = b''
        self.unskipped_bytes = 0

    def _find_boundary(self, chunk: bytes, start: int) -> int:
        """Return the first place behind ``start`` where a message may end.

        The parser doesn't tell where the next one begins, whose protocol is
        checked.
        """
        if self.has_head:
            return len(chunk)
        if self.unskipped_bytes:
            return min(start + self.unskipped_bytes, len(chunk))
        empty_line = EMPTY_LINE.search(chunk, start)
        return empty_line.end() if empty_line else len(chunk)

    def _parse(self, chunk: bytes) -> None:
        if len(self.prefix) < len(PROTOCOL):
            self._check_protocol(chunk)
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserCallbackError as error:
            raise ResponseError(str(error.__context__)) from error
        except httptools.HttpParserError as error:
            raise ResponseError(str(error)) from error

    def _check_protocol(self, chunk: bytes) -> None:
        """Raise an error for RTSP and ICE, which the parser reads as well."""
        start = (self.prefix + chunk).lstrip(b'\r\n')
        self.prefix = start[: len(PROTOCOL)]
        if not PROTOCOL.startswith(self.prefix):
            raise ResponseError('not an HTTP response')

    def _check_version(self) -> None:
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            raise ResponseError(f'HTTP version {version}')

    def _read_status(self) -> int:
        status = self.parser.get_status_code()
        if not CONTINUE <= status <= LAST_STATUS:
            raise ResponseError(f'invalid status code {status:03}')
        if status == SWITCHING_PROTOCOLS:
            raise ResponseError('switch to a protocol that was not offered')
        return status

    def _check_transfer_codings(self) -> None:
        """Raise an error for a body that is encoded but not just chunked."""
        if TRANSFER_ENCODING not in self.headers:
            return
        codings = [
            text.decode('latin-1').strip().lower()
            for name, text in self.fields
            if name.decode('latin-1').lower() == TRANSFER_ENCODING
        ]
        if codings != [CHUNKED]:
            raise ResponseError(f'transfer codings {codings}')

    def _check_overhead(self) -> None:
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            raise ResponseError('too many interim responses')
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise ResponseError('responses to other calls are too long')
        excess = framing.describe_excess(
            self.fed_bytes - self.skipped_bytes,
            self.body_bytes,
            MAX_OVERHEAD_BYTES,
        )
        if excess:
            raise ResponseError(excess)

    def _check_gap(self) -> None:
        """Bound the bytes without a part of the body, such as trailers.

        The parser keeps a trailer in memory until it ends.
        """
        if self.gap_bytes > MAX_OVERHEAD_BYTES:
            raise ResponseError(f'{self.gap_bytes} bytes without a body')
