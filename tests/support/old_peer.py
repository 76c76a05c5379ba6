"""A peer that reads as strictly as a build in production, in virtual time."""

import cbor2
from websockets import client, frames, http11, uri

from citronjunction.membership import messages
from tests.golden import old_reader

NONCE = bytes(32)  # as long as theirs


class OldPeer:
    """Dial an address and read what comes; end the link as that build does.

    ``received`` are the kinds and fields of messages, ``failure`` is why the
    link ended, if this side ended it. ``nonce`` is that of its hello.
    """

    def __init__(self, host, name, secret, build, nonce=NONCE):
        self.host = host
        self.name = name
        self.secret = secret
        self.nonce = nonce
        self.reader = old_reader.OldReader(build)
        self.protocol = client.ClientProtocol(uri.parse_uri('ws://peer/peer'))
        self.connection = None
        self.received = []
        self.failure = None
        self.is_closed = False

    def dial(self, address):
        self.connection = self.host.sockets.dial(address, self, 1.0)
        return self

    def on_open(self):
        self.protocol.send_request(self.protocol.connect())
        self._flush()

    def on_bytes(self, chunk):
        self.protocol.receive_data(chunk)
        for event in self.protocol.events_received():
            match event:
                case http11.Response():
                    self.send('hello', self.name, 2, self.nonce)
                case frames.Frame(opcode=frames.Opcode.BINARY, data=data):
                    self._read(bytes(data))

    def on_close(self, reason, was_open):
        self.is_closed = True

    def send(self, *packed):
        """Send a message as an array of its kind and fields."""
        self.protocol.send_binary(cbor2.dumps(list(packed)))
        self._flush()

    def list_facts(self, kind):
        """Return the fields of the facts of a kind that were received."""
        return [
            fact[1:]
            for message, fields in self.received
            if message == 'facts'
            for fact in fields['facts']
            if fact[0] == kind
        ]

    def list_keys(self):
        """Return the keys that digests listed."""
        return {
            key
            for message, fields in self.received
            if message == 'digest'
            for key in fields['versions']
        }

    def _read(self, frame):
        try:
            kind, fields = self.reader.read(frame)
        except old_reader.Unreadable as error:
            self.failure = str(error)
            self.host.sockets.close(self.connection, str(error))
            return
        self.received.append((kind, fields))
        if kind == 'hello':
            digest = messages.compute_proof(
                self.secret,
                messages.Role.client,
                self.name,
                fields['nonce'],
                self.nonce,
            )
            self.send('proof', digest)

    def _flush(self):
        for chunk in self.protocol.data_to_send():
            if chunk:
                self.host.sockets.send(self.connection, chunk)
