"""A crowd of clients that send bodies of legal size in chunks of one byte.

Usage: crowd.py ADDRESS CONNECTIONS SECONDS HOST KEY
Prints the bytes a second that the connections took.
"""

import contextlib
import selectors
import socket
import sys
import time

CHUNK = b'1\r\nx\r\n'
PIECE = CHUNK * 20000
BODY_BYTES = 4_000_000  # below the 4,194,304 that the configuration allows
PAUSE_S = 0.05


class Client:
    """One connection; it opens another one once its body is sent."""

    def __init__(self, address, head):
        self.address = address
        self.head = head
        self.sock = None
        self.total = 0
        self.open()

    def open(self):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(self.address)
        self.waiting = memoryview(self.head)
        self.sent = 0

    def send(self):
        """Send as much as the connection takes; return whether it goes on."""
        with contextlib.suppress(BlockingIOError):
            done = self.sock.send(self.waiting)
            self.sent += done
            self.total += done
            self.waiting = self.waiting[done:]
        if not self.waiting and self.sent < BODY_BYTES * len(CHUNK):
            self.waiting = memoryview(PIECE)
        return bool(self.waiting)


def main():
    address, connections, seconds, host, key = sys.argv[1:]
    ip, _, port = address.rpartition(':')
    head = '\r\n'.join(
        (
            'POST /stock/crowd HTTP/1.1',
            f'Host: {host}',
            f'Authorization: Bearer {key}',
            'Attempt-Id: crowd',
            'Deadline-Ms: 15000',
            'Transfer-Encoding: chunked',
            '',
            '',
        )
    ).encode()
    until = time.monotonic() + float(seconds)
    selector = selectors.DefaultSelector()
    clients = [Client((ip, int(port)), head) for _ in range(int(connections))]
    for client in clients:
        selector.register(client.sock, selectors.EVENT_WRITE, client)
    while time.monotonic() < until:
        for chosen, _ in selector.select(0.2):
            client = chosen.data
            try:
                goes_on = client.send()
            except OSError:
                goes_on = False
            if not goes_on:
                selector.unregister(client.sock)
                client.sock.close()
                time.sleep(PAUSE_S)
                client.open()
                selector.register(client.sock, selectors.EVENT_WRITE, client)
    print(int(sum(client.total for client in clients) / float(seconds)))


main()
