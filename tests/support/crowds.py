"""Callers that ignore the limits, as scripts of what each connection sends."""

import contextlib
import dataclasses
import socket
import time

HOST = 'x.example'
KEY = 'key-org'
SIZE = 440  # connections, in equal parts at the listeners
MAX_SIZE = 220  # at one listener
SOURCES = 16  # addresses of a crowd
BODY_BYTES = 1 << 18
PIECE_BYTES = 4096
FAR_OVER_BYTES = 1 << 24
SLOW_SEGMENT_BYTES = 536
SLOW_BUFFER_BYTES = 4096
LONG_PATH = 'p' * 14000
STALL_S = 60.0  # a crowd that can't send for so long has met a hang


@dataclasses.dataclass
class Script:
    """What one connection sends, and whether it reads.

    A ``pausing`` connection sends one piece in each round of the crowd, the
    others as much as they can. ``read_bytes`` are read in each round.
    """

    pieces: list
    is_pausing: bool = False
    is_slow: bool = False
    read_bytes: int = 65536
    is_half_closed: bool = False


def make_head(target, method='POST', *fields, name='crowd'):
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'Authorization: Bearer {KEY}',
        f'Attempt-Id: {name}',
        'Deadline-Ms: 600000',
        *fields,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def make_short_fields(count):
    return [f'{number:x}:' for number in range(count)]


def frame_chunks(body, size, extension=b''):
    return b''.join(
        b'%x%b\r\n%b\r\n'
        % (len(body[at : at + size]), extension, body[at : at + size])
        for at in range(0, len(body), size)
    )


def split(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


def send_whole_bodies(target, number):
    """A body of legal size in one piece; three of four stop just short."""
    head = make_head(target, 'POST', f'Content-Length: {BODY_BYTES}')
    end = BODY_BYTES if number % 4 == 0 else BODY_BYTES - 1
    return Script([head + bytes(end)])


def send_bodies_in_pieces(target, number):
    """The same in small pieces, one a round."""
    script = send_whole_bodies(target, number)
    pieces = split(script.pieces[0], PIECE_BYTES)
    return Script(pieces, is_pausing=True)


def send_chunked_bodies(target, number):
    """The same in chunks; three of four stop before the last chunk."""
    head = make_head(target, 'POST', 'Transfer-Encoding: chunked')
    body = frame_chunks(bytes(BODY_BYTES), 1024)
    end = b'0\r\n\r\n' if number % 4 == 0 else b''
    return Script([head + body + end])


def send_bodies_far_over(target, number):
    """A body of 16 MB where 1 MB is allowed, with a length or in chunks."""
    if number % 2:
        head = make_head(target, 'POST', f'Content-Length: {FAR_OVER_BYTES}')
        return Script([head, *[bytes(65536)] * 32])
    head = make_head(target, 'POST', 'Transfer-Encoding: chunked')
    return Script([head, *[frame_chunks(bytes(65536), 65536)] * 32])


def send_short_fields(target, number):
    """Thousands of fields in a legal head; the body stops just short."""
    fields = make_short_fields(2600)
    head = make_head(target, 'POST', 'Content-Length: 1', *fields)
    return Script([head])


def send_short_parameters(target, number):
    """Thousands of parameters in a query; the body stops just short."""
    query = '&'.join(f'{key:x}=' for key in range(2600))
    head = make_head(f'{target}?{query}', 'POST', 'Content-Length: 1')
    return Script([head])


def send_chunk_extensions(target, number):
    """Chunks of one byte with many short extensions, without an end."""
    head = make_head(target, 'POST', 'Transfer-Encoding: chunked')
    chunks = frame_chunks(bytes(512), 1, b';a=b' * 20)
    return Script([head + chunks])


def send_trailers(target, number):
    """Thousands of trailers, without the line that ends them."""
    head = make_head(target, 'POST', 'Transfer-Encoding: chunked')
    fields = '\r\n'.join(make_short_fields(2600))
    return Script([head + b'1\r\nx\r\n0\r\n' + fields.encode()])


def send_ahead(target, number):
    """Many requests on a connection whose answers are never read."""
    path = target + LONG_PATH if number % 2 else target
    request = make_head(path, 'GET')
    return Script([request] * 80, is_slow=True, read_bytes=0)


def send_slowly(target, number):
    """A legal request with many fields, a few bytes at a time."""
    fields = make_short_fields(2000)
    head = make_head(target, 'POST', 'Content-Length: 64', *fields)
    pieces = [*split(head, 1024), *split(bytes(63), 7)]
    return Script(pieces, is_pausing=True)


def read_slowly(target, number):
    """Answers that are read a few bytes at a time."""
    return Script([make_head(target, 'GET')], is_slow=True, read_bytes=64)


def stop_half_way(target, number):
    """A request that ends in its head, its body or before its answer."""
    head = make_head(
        target, 'POST', 'Content-Length: 4096', *make_short_fields(2600)
    )
    ends = (head[:-1], head + bytes(4095), head + bytes(4096), b'')
    is_half_closed = number % 8 == 7
    return Script([ends[number % 4]], is_half_closed=is_half_closed)


PATTERNS = (
    send_whole_bodies,
    send_bodies_in_pieces,
    send_chunked_bodies,
    send_bodies_far_over,
    send_short_fields,
    send_short_parameters,
    send_chunk_extensions,
    send_trailers,
    send_ahead,
    send_slowly,
    read_slowly,
    stop_half_way,
)


class Member:
    """One connection of a crowd."""

    def __init__(self, address, script, number):
        self.script = script
        self.pieces = script.pieces[::-1]
        self.is_closed = False
        self.sock = socket.socket()
        if script.is_slow:
            tcp = socket.IPPROTO_TCP
            self.sock.setsockopt(tcp, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES)
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
        self.sock.bind((f'127.0.77.{1 + number % SOURCES}', 0))
        self.sock.settimeout(STALL_S)
        host, _, port = address.partition(':')
        try:
            self.sock.connect((host, int(port)))
        except OSError:
            self.close()
        self.sock.settimeout(0)

    def advance(self):
        """Send and read what the script allows; return whether any was sent."""
        try:
            return self._advance()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.close()
            return True

    def _advance(self):
        if self.script.read_bytes:
            with contextlib.suppress(BlockingIOError):
                if not self.sock.recv(self.script.read_bytes):
                    self.close()
                    return True
        if not self.pieces:
            return False
        piece = self.pieces.pop()
        try:
            sent = self.sock.send(piece)
        except BlockingIOError:
            self.pieces.append(piece)
            return False
        if sent < len(piece):
            self.pieces.append(piece[sent:])
        elif not self.pieces and self.script.is_half_closed:
            self.sock.shutdown(socket.SHUT_WR)
        return True

    def close(self):
        self.is_closed = True
        self.pieces.clear()
        self.sock.close()


class Crowd:
    """Connections that follow the scripts of one pattern and stay open."""

    def __init__(self, pattern, targets):
        """Connect to each ``(address, path)`` of the targets."""
        size = min(MAX_SIZE, SIZE // len(targets))
        self.members = [
            Member(address, pattern(path, number), number)
            for address, path in targets
            for number in range(size)
        ]

    def send_all(self):
        """Send until nothing is left, or raise an error if none is accepted."""
        stalled_at = time.monotonic() + STALL_S
        while any(member.pieces for member in self.members):
            has_sent = False
            for member in self.members:
                if member.is_closed:
                    continue
                while member.advance():
                    has_sent = True
                    if member.script.is_pausing or member.is_closed:
                        break
            now = time.monotonic()
            if has_sent:
                stalled_at = now + STALL_S
            elif now > stalled_at:
                raise TimeoutError('the crowd could not send')
            else:
                time.sleep(0.01)

    def read_some(self):
        """Let each connection read as its script allows."""
        for member in self.members:
            if not member.is_closed:
                member.advance()

    def close(self):
        for member in self.members:
            member.close()
