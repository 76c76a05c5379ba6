"""Stand-in of a server that sends scripted bytes to each request."""


class ScriptedServer:
    """Call ``script`` with each request's connection and bytes."""

    def __init__(self, host, address, script):
        self.host = host
        self.address = address
        self.script = script
        self.requests = []
        self.closed = 0
        ip, _, port = address.rpartition(':')
        host.sockets.listen(ip, int(port), self.accept)

    def accept(self, connection):
        return ScriptedConnection(self, connection)


class ScriptedConnection:
    def __init__(self, server, connection):
        self.server = server
        self.connection = connection

    def on_open(self):
        """Do nothing: accepted connections are open."""

    def on_bytes(self, chunk):
        self.server.requests.append(chunk)
        self.server.script(self, chunk)

    def on_close(self, reason, was_open):
        self.server.closed += 1

    def send(self, chunk):
        self.server.host.sockets.send(self.connection, chunk)

    def send_later(self, delay_s, chunk):
        self.server.host.timers.call_later(delay_s, lambda: self.send(chunk))

    def close_later(self, delay_s):
        self.server.host.timers.call_later(
            delay_s,
            lambda: self.server.host.sockets.close(self.connection, 'closed'),
        )

    def end(self, reset_s=None):
        """End the stream of bytes; reset the connection later, if asked to."""
        host = self.server.host
        host.sockets.end_output(self.connection)
        if reset_s is not None:
            host.timers.call_later(
                reset_s, lambda: host.sockets.reset(self.connection)
            )


def replace_worker(deployed, name, script):
    """Serve the address of a worker with a script instead."""
    spec = deployed.store.objects[('servers', name)]['spec']
    return ScriptedServer(deployed.worker_hosts[name], spec['addr'], script)


def answer_with(wire, close_s=None):
    """Return a script that answers each request with bytes that name it.

    ``%b`` stands for the name. The connection is closed after ``close_s``.
    """

    def send(connection, request):
        name = get_header(request, 'Attempt-Id')
        connection.send(wire.replace(b'%b', name))
        if close_s is not None:
            connection.close_later(close_s)

    return send


def respond(status, body=b'{}'):
    """Return the bytes of a response with a length."""
    return b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


def encode_chunk(data):
    """Encode a part of a body as a chunk."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def get_header(request, name):
    """Return a header of a request as it was received."""
    for line in request.split(b'\r\n'):
        key, _, text = line.partition(b': ')
        if key.lower() == name.lower().encode():
            return text
    return b''
