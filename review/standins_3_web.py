"""A small HTTP/1.1 server and client on asyncio, with raw control of answers."""

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct


@dataclasses.dataclass
class Request:
    """One request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        return self.target.partition('?')[0]

    @property
    def query(self):
        pairs = self.target.partition('?')[2].split('&')
        return dict(pair.partition('=')[::2] for pair in pairs if pair)


class Broken(Exception):
    """Raised for bytes that are no HTTP message."""


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken('the head breaks off') from error
        return None
    first, *lines = head.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise an error if it breaks off."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        if not size:
            await reader.readuntil(b'\r\n')
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        return b''.join([chunk async for chunk in read_chunks(reader)])
    length = int(headers.get('content-length', 0))
    return await reader.readexactly(length)


class Peer:
    """The connection of a server to one client."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status, headers, body=b'', reason='Answer'):
        """Send an answer with a length."""
        lines = [f'HTTP/1.1 {status} {reason}']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        await self.send('\r\n'.join(lines).encode('latin-1') + body)

    async def answer_json(self, status, document):
        body = json.dumps(document).encode()
        await self.answer(status, {'Content-Type': 'application/json'}, body)

    def close(self):
        """End the connection in the ordinary way."""
        self.writer.close()

    def reset(self):
        """Reset the connection."""
        sock = self.writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self.writer.transport.abort()


class Server:
    """Serve requests with a handler that gets the request and the peer.

    The handler returns whether the connection is kept.
    """

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.peers = set()
        self.listener = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(
            self._serve, self.address, port, limit=1 << 20
        )
        return self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        peer = Peer(reader, writer)
        self.peers.add(peer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                if not await self.handle(request, peer):
                    break
        except (OSError, Broken, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.peers.discard(peer)
            writer.close()

    def stop(self, *, is_reset=False):
        """Stop to listen and end all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for peer in tuple(self.peers):
            peer.reset() if is_reset else peer.close()


@dataclasses.dataclass
class Answer:
    """What a client got; ``is_whole`` says that the framing was completed."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    error: str = ''


def encode_request(method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def receive(reader, answer):
    """Read one answer into ``answer``, also one that breaks off."""
    try:
        head = await read_head(reader)
        if head is None:
            answer.error = 'closed without an answer'
            return answer
        answer.status = int(head[0].split(' ')[1])
        answer.headers = head[1]
        if 'chunked' in head[1].get('transfer-encoding', ''):
            async for chunk in read_chunks(reader):
                answer.body += chunk
        elif 'content-length' in head[1]:
            answer.body = await read_body(reader, head[1])
        else:
            answer.body = await reader.read()
        answer.is_whole = True
    except (OSError, Broken, ValueError, asyncio.IncompleteReadError) as error:
        answer.error = repr(error)
    return answer


async def call(address, method, target, headers, body=b'', timeout_s=10.0):
    """Send one request on a connection of its own."""
    host, _, port = address.rpartition(':')
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            headers = {'Host': address, **headers}
            writer.write(encode_request(method, target, headers, body))
            await writer.drain()
            await receive(reader, answer)
    except TimeoutError:
        answer.error = f'no complete answer in {timeout_s} s'
    except OSError as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    return answer
