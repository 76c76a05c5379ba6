"""Servers on real sockets in a thread, and callers that send raw bytes."""

import contextlib
import socket
import threading

from citronjunction.conf import models as conf
from citronjunction.transport import http_server, routes, runtime

ADDRESS = '127.0.0.1'
TIMEOUT_S = 10


class EchoApplication:
    """Echo the path and body; some paths stream, flood, wait or raise."""

    def __init__(self):
        self.handled = []
        self.disconnected = threading.Event()
        self.waiting = []
        self.loop = None

    def handle(self, exchange):
        request = exchange.request
        self.handled.append(request.path)
        match request.path:
            case '/stream':
                exchange.start_stream(200, {})
                for part in (b'one ', b'two ', b'three'):
                    exchange.push(part)
                exchange.finish()
            case '/flood':
                exchange.on_disconnect = self.disconnected.set
                exchange.start_stream(200, {})
                self.flood(exchange)
            case '/wait':
                exchange.on_disconnect = self.disconnected.set
                self.waiting.append(exchange)
            case '/raise':
                raise RuntimeError('unexpected')
            case '/slow':
                self.loop.timers.call_later(
                    0.1, lambda: exchange.respond(200, {}, b'slow')
                )
            case _:
                exchange.respond(200, {}, request.path.encode() + request.body)

    def flood(self, exchange):
        if not exchange.is_done:
            exchange.push(b'x' * 65536)
            self.loop.timers.call_later(0, lambda: self.flood(exchange))

    def reject(self, exchange, status, reason):
        routes.respond_json(exchange, status, {'error': reason})


@contextlib.contextmanager
def serve(application, **bounds):
    """Run an HTTP server in a thread; yield its port and event loop."""
    loop = runtime.Runtime()
    application.loop = loop
    server = http_server.HttpServer(
        loop.sockets, loop.timers, conf.Http(**bounds), application
    )
    port = server.listen(ADDRESS, 0)
    with run_in_thread(loop):
        yield port, loop


@contextlib.contextmanager
def run_in_thread(loop):
    thread = threading.Thread(target=loop.run, daemon=True)
    # Bounds the poller's wait, so that it soon runs timers of other threads.
    loop.timers.call_every(0.02, lambda: None)
    thread.start()
    try:
        yield loop
    finally:
        loop.timers.call_later(0, loop.stop_loop)
        thread.join(TIMEOUT_S)


def connect(port):
    sock = socket.create_connection((ADDRESS, port), TIMEOUT_S)
    sock.settimeout(TIMEOUT_S)
    return sock


def ask(port, request):
    """Send raw bytes and read until the server closes the connection."""
    with connect(port) as sock:
        sock.sendall(request)
        return read_all(sock)


def read_all(sock):
    received = b''
    with contextlib.suppress(ConnectionError):
        while chunk := sock.recv(65536):
            received += chunk
    return received
