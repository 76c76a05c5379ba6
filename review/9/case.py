"""Answers without a length whose worker resets the connection a little later.

One of two workers breaks off every twentieth of its answers: it has read the
head of the request only, sends half of its body without a length, ends its
stream and closes the connection 0.3 s later. Its kernel then resets the
connection, since a part of the request was never read.
"""

import asyncio
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as harness  # noqa: E402

REQUESTS = 240
UPLOAD_BYTES = 8000
BODY_BYTES = 2000
BREAK_EVERY = 20  # answers of the faulty worker
RESET_AFTER_S = 0.3


class Worker:
    """A worker on blocking sockets, which can leave a request unread."""

    def __init__(self, name, record, *, is_faulty):
        self.name = name
        self.record = record
        self.is_faulty = is_faulty
        self.answers = 0
        self.broken = set()
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with sock:
            while head := self._read_head(sock):
                lines = head.decode('latin-1').split('\r\n')[1:-2]
                fields = dict(line.lower().split(': ', 1) for line in lines)
                name = fields['attempt-id']
                self.answers += 1
                if self.is_faulty and not self.answers % BREAK_EVERY:
                    self._break_off(sock, name)
                    return
                length = int(fields.get('content-length', 0))
                while length:
                    length -= len(sock.recv(min(length, 65536)))
                self.record.write('run at', self.name, name)
                sock.sendall(
                    harness.encode_answer(
                        200, self._sign(name), self.make(name)
                    )
                )

    def _read_head(self, sock):
        """Return a head; what comes behind it stays in the kernel."""
        head = b''
        try:
            while not head.endswith(b'\r\n\r\n'):
                byte = sock.recv(1)
                if not byte:
                    return b''
                head += byte
        except OSError:
            return b''
        return head

    def make(self, name):
        """Return the whole body of an answer."""
        return name.encode().ljust(BODY_BYTES, b'.')

    def _sign(self, name):
        return {'Attempt-Id': name, 'Signature': f'{self.name}.{name}'}

    def _break_off(self, sock, name):
        self.broken.add(name)
        self.record.write('run at', self.name, name, 'answer broken off')
        fields = ''.join(
            f'{key}: {text}\r\n' for key, text in self._sign(name).items()
        )
        head = f'HTTP/1.1 200 OK\r\n{fields}\r\n'.encode()
        sock.sendall(head + self.make(name)[: BODY_BYTES // 2])
        sock.shutdown(socket.SHUT_WR)
        time.sleep(RESET_AFTER_S)


async def play(system):
    """Return whether a client got half of a body as a whole answer."""
    record = system.record
    workers = [
        Worker('i-app-0', record, is_faulty=harness.is_troubled()),
        Worker('i-app-1', record, is_faulty=False),
    ]
    system.store.put(
        'config',
        'main',
        harness.make_configuration(
            [harness.make_route('hold', 'unsafe', 'stock-app', attempts=1)],
            [{'name': 'stock-app', 'healthPath': '/healthz', 'maxConns': 100}],
        ),
    )
    gateway = system.add_gateway()
    for worker in workers:
        entry = harness.make_entry(worker, 'stock-app', gateway.zone, slots=6)
        system.store.put('servers', worker.name, entry)
    await system.start_gateways()
    await asyncio.sleep(4)
    short = 0
    for number in range(REQUESTS):
        name = f'r{number}'
        try:
            status, _, body = await harness.ask(
                gateway.listen['front'],
                'POST',
                f'/hold/{name}',
                harness.make_headers(name, 1500),
                bytes(UPLOAD_BYTES),
                wait_s=5,
            )
        except (EOFError, TimeoutError):
            record.write('no whole answer to', name)
            continue
        record.write('answer to', name, 'is', status, len(body), 'bytes')
        short += status == 200 and len(body) != BODY_BYTES
    broken = sum(len(worker.broken) for worker in workers)
    record.write('broken off', broken, 'taken for whole', short)
    return short > 0


harness.run_case(FOLDER, play)
