"""Peer links: websockets' sans-I/O protocol on the process's sockets."""

import hmac
import secrets
from typing import Protocol

from websockets import client, frames, http11, server, uri

from citronjunction.conf import models as conf
from citronjunction.membership import messages
from citronjunction.transport import sockets

CONNECT_S = 2.0
MAX_UNSENT = 4194304  # bytes
PATH = '/peer'


class Hub(Protocol):
    """Take what happens on links."""

    def on_link_open(self, link: 'Link') -> None:
        """Start to use an authenticated link."""

    def on_link_message(self, link: 'Link', message: messages.Message) -> None:
        """Take a message."""

    def on_link_close(self, link: 'Link', reason: str) -> None:
        """Stop to use a link."""

    def on_link_rejected(self, reason: str) -> None:
        """Count a link that broke the protocol."""


class Link:
    """Carry messages to one peer."""

    __slots__ = (
        'connection',
        'hub',
        'is_authenticated',
        'nonce',
        'own_name',
        'owner',
        'peer_address',
        'peer_name',
        'peer_nonce',
        'peer_role',
        'protocol',
        'received_at',
        'role',
        'sent_bytes',
        'settings',
    )

    def __init__(
        self,
        owner: sockets.Sockets,
        hub: Hub,
        settings: conf.Membership,
        own_name: str,
        protocol: client.ClientProtocol | server.ServerProtocol,
    ) -> None:
        """Take the sockets, the hub and one side of the protocol."""
        self.owner = owner
        self.hub = hub
        self.settings = settings
        self.own_name = own_name
        self.protocol = protocol
        self.connection: sockets.Connection | None = None
        self.nonce = secrets.token_bytes(32)
        self.peer_nonce = b''
        self.role = messages.Role.server
        self.peer_role = messages.Role.client
        if isinstance(protocol, client.ClientProtocol):
            self.role = messages.Role.client
            self.peer_role = messages.Role.server
        self.peer_name = ''
        self.peer_address = ''
        self.is_authenticated = False
        self.received_at: float = 0
        self.sent_bytes = 0

    def on_open(self) -> None:
        """Ask for the upgrade, as the client."""
        if isinstance(self.protocol, client.ClientProtocol):
            self.protocol.send_request(self.protocol.connect())
            self._pump()

    def on_bytes(self, chunk: bytes) -> None:
        """Take bytes of the peer."""
        self.received_at = self.owner.timers.now()
        self.protocol.receive_data(chunk)
        for event in self.protocol.events_received():
            self._take_event(event)
        if not self.connection.is_closed:
            self._pump()
            if self.protocol.close_expected():
                self.owner.finish(self.connection)

    def on_close(self, reason: str, was_open: bool) -> None:
        """Tell the hub that the link is gone."""
        self.is_authenticated = False
        self.hub.on_link_close(self, reason)

    def send(self, message: messages.Message) -> None:
        """Send a message."""
        if self.connection.is_closed or self.protocol.state.name != 'OPEN':
            return
        self.protocol.send_binary(messages.encode(message))
        self._pump()

    def close(self, reason: str) -> None:
        """Close the link now."""
        self.owner.close(self.connection, reason)

    def _pump(self) -> None:
        for chunk in self.protocol.data_to_send():
            if chunk:
                self.sent_bytes += len(chunk)
                self.owner.send(self.connection, chunk)

    def _take_event(self, event: object) -> None:
        match event:
            case http11.Request():
                self.protocol.send_response(self.protocol.accept(event))
                self._greet()
            case http11.Response():
                self._greet()
            case frames.Frame(opcode=frames.Opcode.BINARY, data=data):
                self._take_message(bytes(data))
            case frames.Frame(opcode=frames.Opcode.TEXT):
                self._reject('text frame on a peer link')
            case _:
                return

    def _greet(self) -> None:
        if self.protocol.state.name != 'OPEN':
            self._reject('upgrade refused')
            return
        hello = messages.Hello(
            self.own_name,
            messages.PROTOCOL_VERSION,
            self.nonce,
        )
        self.send(hello)

    def _take_message(self, frame: bytes) -> None:
        try:
            message = messages.decode(frame)
        except messages.MessageError as error:
            self._reject(str(error))
            return
        match message:
            case messages.Hello():
                self._take_hello(message)
            case messages.Proof():
                self._take_proof(message)
            case _ if self.is_authenticated:
                self.hub.on_link_message(self, message)
            case _:
                self._reject('message before authentication')

    def _take_hello(self, hello: messages.Hello) -> None:
        if hello.protocol != messages.PROTOCOL_VERSION:
            self._reject(f'unknown protocol version {hello.protocol}')
            return
        if self.peer_name or hello.nonce == self.nonce:
            self._reject('repeated hello')
            return
        self.peer_name = hello.name
        self.peer_nonce = hello.nonce
        digest = messages.compute_proof(
            self.settings.secret,
            self.role,
            self.own_name,
            hello.nonce,
            self.nonce,
        )
        self.send(messages.Proof(digest))

    def _take_proof(self, proof: messages.Proof) -> None:
        expected = messages.compute_proof(
            self.settings.secret,
            self.peer_role,
            self.peer_name,
            self.nonce,
            self.peer_nonce,
        )
        if not self.peer_name or not hmac.compare_digest(
            proof.digest, expected
        ):
            self._reject('wrong proof')
            return
        if not self.is_authenticated:
            self.is_authenticated = True
            self.hub.on_link_open(self)

    def _reject(self, reason: str) -> None:
        self.hub.on_link_rejected(reason)
        self.close(reason)


class LinkFactory:
    """Dial and accept peer links."""

    def __init__(
        self,
        owner: sockets.Sockets,
        hub: Hub,
        settings: conf.Membership,
        own_name: str,
    ) -> None:
        """Take what every link needs."""
        self.owner = owner
        self.hub = hub
        self.settings = settings
        self.own_name = own_name

    def dial(self, address: str) -> Link:
        """Open a link to ``IP:PORT``."""
        target = uri.parse_uri(f'ws://{address}{PATH}')
        protocol = client.ClientProtocol(
            target,
            max_size=self.settings.max_message,
        )
        link = self._build(protocol)
        link.peer_address = address
        link.connection = self.owner.dial(address, link, CONNECT_S)
        link.connection.max_unsent = MAX_UNSENT
        return link

    def accept(self, connection: sockets.Connection) -> Link:
        """Take an accepted connection as a link."""
        protocol = server.ServerProtocol(max_size=self.settings.max_message)
        link = self._build(protocol)
        link.peer_address = connection.peer_address
        link.connection = connection
        connection.max_unsent = MAX_UNSENT
        return link

    def _build(
        self,
        protocol: client.ClientProtocol | server.ServerProtocol,
    ) -> Link:
        return Link(
            self.owner,
            self.hub,
            self.settings,
            self.own_name,
            protocol,
        )
