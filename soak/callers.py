"""Callers that ask for addresses, keep them, and record what they get."""

import dataclasses
import itertools
import json

from citronjunction.transport import http_client
from soak import system
from tests.support import platform_system

KINDS = ('safe', 'unsafe', 'stream')
DEADLINE_S = 2.0
PAUSE_S = 0.05  # between a caller's requests
RESOLVE_S = 1.0  # between a caller's questions for addresses


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a request, what came back, and when; times are monotonic."""

    name: str
    kind: str
    address: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    ended_at: float | None = None
    failure: str = ''


class Caller:
    """Send one request after another."""

    numbers = itertools.count(1)

    def __init__(self, held: 'Traffic', name: str) -> None:
        """Take what all callers share."""
        self.traffic = held
        self.name = name
        self.addresses: list[str] = []
        self.current: Request | None = None
        self.call: http_client.Exchange | None = None

    def resolve(self) -> None:
        """Ask a random entry for addresses; keep the old ones if it fails."""
        loop = self.traffic.system.loop
        entry = loop.random.choice(list(self.traffic.system.entries.values()))
        call = dataclasses.replace(
            platform_system.make_directory_call(entry.ports['directory']),
            silence_s=1.0,
        )
        reply = http_client.ReplyCollector(
            self._on_addresses, self._on_addresses
        )
        loop.client.send(call, reply)
        loop.timers.call_later(RESOLVE_S, self.resolve)

    def _on_addresses(self, result: object) -> None:
        match result:
            case http_client.Reply(status=200, body=body):
                self.addresses = json.loads(body)['addrs']

    def send(self) -> None:
        """Send the next request to one of the known addresses."""
        loop = self.traffic.system.loop
        if self.traffic.is_over:
            return
        if not self.addresses:
            loop.timers.call_later(PAUSE_S, self.send)
            return
        kind = loop.random.choice(KINDS)
        name = f'{self.name}-{next(self.numbers)}'
        address = loop.random.choice(self.addresses)
        self.current = Request(name, kind, address, loop.timers.now())
        self.traffic.requests.append(self.current)
        call = dataclasses.replace(
            platform_system.make_call(
                address,
                'GET' if kind == 'safe' else 'POST',
                f'/{kind}/{name}',
                name,
                DEADLINE_S,
            ),
            silence_s=DEADLINE_S * 2,
            echo=platform_system.make_echo(name),
        )
        self.call = loop.client.send(call, self)

    def on_head(self, head: http_client.Head) -> None:
        """Take the head of the answer."""
        self.current.status = head.status
        self.current.headers = head.headers

    def on_data(self, chunk: bytes) -> None:
        """Take a part of the answer."""
        self.current.body += chunk

    def on_end(self) -> None:
        """Note a whole answer and go on."""
        self.current.is_complete = True
        self._go_on()

    def on_failure(self, failure: object) -> None:
        """Note a lost answer and go on."""
        self.current.failure = getattr(failure, 'reason', str(failure))
        self._go_on()

    def _go_on(self) -> None:
        loop = self.traffic.system.loop
        self.current.ended_at = loop.timers.now()
        pause_s = float(self.current.headers.get('retry-after', 0))
        loop.timers.call_later(pause_s + PAUSE_S, self.send)


class Traffic:
    """All callers and all that they sent."""

    def __init__(self, held: system.System, count: int) -> None:
        """Take the system and the number of callers."""
        self.system = held
        self.requests: list[Request] = []
        self.is_over = False
        self.callers = [Caller(self, f'c{number}') for number in range(count)]

    def start(self) -> None:
        """Start all callers."""
        for caller in self.callers:
            caller.resolve()
            caller.send()
