"""Peer links: authenticated WebSocket connections between nodes.

The sans-I/O protocol of the websockets library runs on the process's sockets.
"""

import hmac
import secrets
from typing import Protocol

from websockets import client, frames, http11, server, uri

from citronjunction.conf import models as conf
from citronjunction.membership import dialects, facts, messages
from citronjunction.transport import sockets

CONNECT_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 4194304  # more unsent bytes close a link
PATH = '/peer'


class Hub(Protocol):
    """Receive the events of peer links."""

    def on_link_open(self, link: 'Link') -> None:
        """Receive a link on which both sides have proved the secret."""

    def on_link_message(self, link: 'Link', message: messages.Message) -> None:
        """Receive a message of an authenticated peer."""

    def on_link_close(self, link: 'Link', reason: str) -> None:
        """Receive the end of a link, also of one that never opened."""

    def on_link_rejected(self, reason: str) -> None:
        """Receive the reason for closing an invalid link."""

    def on_unknown_kind(self, link: 'Link', kind: str) -> None:
        """Receive the kind of a message or fact that is left out."""


class Link:
    """Exchange messages with one peer.

    ``peer_name`` is empty until the peer's hello. ``dialect`` is what the peer
    reads; ``is_named`` says whether it has named it, as new builds do.
    """

    __slots__ = (
        'connection',
        'dialect',
        'hub',
        'is_authenticated',
        'is_named',
        'nonce',
        'own_name',
        'peer_address',
        'peer_name',
        'peer_nonce',
        'peer_role',
        'protocol',
        'received_at',
        'role',
        'sent_bytes',
        'settings',
        'sockets',
    )

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        hub: Hub,
        settings: conf.Membership,
        own_name: str,
        protocol: client.ClientProtocol | server.ServerProtocol,
    ) -> None:
        """Use the client or server side of the WebSocket protocol."""
        self.sockets = process_sockets
        self.hub = hub
        self.settings = settings
        self.own_name = own_name
        self.protocol = protocol
        self.connection: sockets.Connection | None = None
        self.nonce = dialects.mark_nonce(
            secrets.token_bytes(dialects.NONCE_BYTES)
        )
        self.peer_nonce = b''
        self.role = messages.Role.server
        self.peer_role = messages.Role.client
        if isinstance(protocol, client.ClientProtocol):
            self.role = messages.Role.client
            self.peer_role = messages.Role.server
        self.peer_name = ''
        self.peer_address = ''
        self.is_authenticated = False
        self.dialect = dialects.OLDEST
        self.is_named = False
        self.received_at: float = 0
        self.sent_bytes = 0

    def on_open(self) -> None:
        """Send the upgrade request if this side is the client."""
        if isinstance(self.protocol, client.ClientProtocol):
            self.protocol.send_request(self.protocol.connect())
            self._flush()

    def on_bytes(self, chunk: bytes) -> None:
        """Process bytes that the peer sent."""
        self.received_at = self.sockets.timers.now()
        self.protocol.receive_data(chunk)
        for event in self.protocol.events_received():
            if self.connection.is_closed:
                return
            self._handle_event(event)
        if not self.connection.is_closed:
            self._flush()
            if self.protocol.close_expected():
                self.sockets.finish(self.connection)

    def on_close(self, reason: str, was_open: bool) -> None:
        """Report the end of the link to the hub."""
        self.is_authenticated = False
        self.hub.on_link_close(self, reason)

    def send(self, message: messages.Message) -> None:
        """Send what the peer reads of a message, if the link is open."""
        read = messages.restrict(message, self.dialect)
        if read is not None:
            self._transmit(messages.encode(read, self.dialect))

    def close(self, reason: str) -> None:
        """Close the link now."""
        self.sockets.close(self.connection, reason)

    def _transmit(self, frame: bytes) -> None:
        if self.connection.is_closed or self.protocol.state.name != 'OPEN':
            return
        self.protocol.send_binary(frame)
        self._flush()

    def _flush(self) -> None:
        for chunk in self.protocol.data_to_send():
            if chunk:
                self.sent_bytes += len(chunk)
                self.sockets.send(self.connection, chunk)

    def _handle_event(self, event: object) -> None:
        match event:
            case http11.Request():
                self.protocol.send_response(self.protocol.accept(event))
                self._send_hello()
            case http11.Response():
                self._send_hello()
            case frames.Frame(opcode=frames.Opcode.BINARY, data=data):
                self._handle_message(bytes(data))
            case frames.Frame(opcode=frames.Opcode.TEXT):
                self._reject('text frame on a peer link')
            case _:
                return

    def _send_hello(self) -> None:
        if self.protocol.state.name != 'OPEN':
            self._reject('upgrade refused')
            return
        hello = messages.Hello(
            self.own_name,
            messages.PROTOCOL_VERSION,
            self.nonce,
        )
        self.send(hello)

    def _handle_message(self, frame: bytes) -> None:
        unknown_kinds: list[str] = []
        try:
            message = messages.decode(frame, unknown_kinds.append)
        except messages.MessageError as error:
            self._reject(str(error))
            return
        match message:
            case messages.Hello():
                self._handle_hello(message)
            case messages.Proof():
                self._handle_proof(message)
            case messages.Speaks():
                self._handle_speaks(message)
            case _ if not self.is_authenticated:
                self._reject('message before authentication')
            case _ if dialects.is_marked(self.peer_nonce) and not self.is_named:
                self._reject('message before the peer said what it reads')
            case _:
                self._handle_others(message, unknown_kinds)

    def _handle_others(
        self, message: messages.Message | None, unknown_kinds: list[str]
    ) -> None:
        for kind in unknown_kinds:
            self.hub.on_unknown_kind(self, kind)
        if message is None:
            return
        if not self.is_named:
            self.dialect = dialects.infer(self.dialect, _list_kinds(message))
        self.hub.on_link_message(self, message)

    def _handle_hello(self, hello: messages.Hello) -> None:
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
        if dialects.is_marked(hello.nonce):
            speaks = messages.Speaks(messages.OWN_DIALECT.field_counts)
            self._transmit(messages.encode(speaks))

    def _handle_proof(self, proof: messages.Proof) -> None:
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
            if not dialects.is_marked(self.peer_nonce):
                self.hub.on_link_open(self)

    def _handle_speaks(self, speaks: messages.Speaks) -> None:
        if not self.is_authenticated or self.is_named:
            self._reject('unexpected naming of what the peer reads')
            return
        self.is_named = True
        self.dialect = dialects.Dialect(speaks.field_counts)
        self.hub.on_link_open(self)

    def _reject(self, reason: str) -> None:
        self.hub.on_link_rejected(reason)
        self.close(reason)


class LinkFactory:
    """Create peer links, outbound and inbound."""

    def __init__(
        self,
        process_sockets: sockets.Sockets,
        hub: Hub,
        settings: conf.Membership,
        own_name: str,
    ) -> None:
        self.sockets = process_sockets
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
        link.connection = self.sockets.dial(address, link, CONNECT_TIMEOUT_S)
        link.connection.max_unsent = MAX_UNSENT_BYTES
        return link

    def accept(self, connection: sockets.Connection) -> Link:
        """Create the link of an accepted connection."""
        protocol = server.ServerProtocol(max_size=self.settings.max_message)
        link = self._build(protocol)
        link.peer_address = connection.peer_address
        link.connection = connection
        connection.max_unsent = MAX_UNSENT_BYTES
        return link

    def _build(
        self,
        protocol: client.ClientProtocol | server.ServerProtocol,
    ) -> Link:
        return Link(
            self.sockets,
            self.hub,
            self.settings,
            self.own_name,
            protocol,
        )


def _list_kinds(message: messages.Message) -> list[str]:
    """Return the kinds of the facts that a message holds or lists."""
    match message:
        case messages.Facts(facts=sent):
            return [fact.kind for fact in sent]
        case messages.Digest(versions=versions):
            return [facts.get_kind(key) for key in versions]
    return []
