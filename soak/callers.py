"""Callers that look up entries, send them requests and record the answers."""

import dataclasses
import itertools
import json

from citronjunction.transport import http_client
from soak import system
from tests.support import platform_system

REQUEST_KINDS = ('safe', 'unsafe', 'stream')
DEADLINE_S = 2.0
REQUEST_PAUSE_S = 0.05  # between an answer and the caller's next request
RESOLVE_INTERVAL_S = 1.0  # between directory lookups of a caller


@dataclasses.dataclass(slots=True)
class Request:
    """Record a request and its answer; times are in monotonic seconds."""

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
    """Send requests one after another, each to a random known address."""

    request_numbers = itertools.count(1)

    def __init__(self, traffic: 'Traffic', name: str) -> None:
        self.traffic = traffic
        self.name = name
        self.addresses: list[str] = []
        self.current: Request | None = None
        self.exchange: http_client.Exchange | None = None

    def resolve(self) -> None:
        """Look up addresses at a random entry; keep the old ones on failure."""
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
        loop.timers.call_later(RESOLVE_INTERVAL_S, self.resolve)

    def _on_addresses(self, result: object) -> None:
        match result:
            case http_client.Reply(status=200, body=body):
                self.addresses = json.loads(body)['addrs']

    def send(self) -> None:
        """Send the next request; wait first while no address is known."""
        loop = self.traffic.system.loop
        if self.traffic.is_stopped:
            return
        if not self.addresses:
            loop.timers.call_later(REQUEST_PAUSE_S, self.send)
            return
        kind = loop.random.choice(REQUEST_KINDS)
        name = f'{self.name}-{next(self.request_numbers)}'
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
        self.exchange = loop.client.send(call, self)

    def on_head(self, head: http_client.Head) -> None:
        """Record the status and headers of the answer."""
        self.current.status = head.status
        self.current.headers = head.headers

    def on_data(self, chunk: bytes) -> None:
        """Append a chunk of the answer's body."""
        self.current.body += chunk

    def on_end(self) -> None:
        """Record that the answer is complete; schedule the next request."""
        self.current.is_complete = True
        self._schedule_next()

    def on_failure(self, failure: object) -> None:
        """Record why the answer was lost; schedule the next request."""
        self.current.failure = getattr(failure, 'reason', str(failure))
        self._schedule_next()

    def _schedule_next(self) -> None:
        loop = self.traffic.system.loop
        self.current.ended_at = loop.timers.now()
        pause_s = float(self.current.headers.get('retry-after', 0))
        loop.timers.call_later(pause_s + REQUEST_PAUSE_S, self.send)


class Traffic:
    """All callers of a run and the requests that they sent."""

    def __init__(self, target: system.System, count: int) -> None:
        self.system = target
        self.requests: list[Request] = []
        self.is_stopped = False
        self.callers = [Caller(self, f'c{number}') for number in range(count)]

    def start(self) -> None:
        """Start all callers; they run until ``is_stopped`` is set."""
        for caller in self.callers:
            caller.resolve()
            caller.send()
