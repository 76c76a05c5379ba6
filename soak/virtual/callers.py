"""Callers that look addresses up, keep them, and repeat what they may."""

from citronjunction.verdicts import http, models
from soak.virtual import history, tenancy
from tests.support import platform_system

REQUESTS_PER_S = 40
KEEP_ADDRESSES_S = 2.0
DEADLINE_S = 3.0
WAIT_SHARE = 1 / 3  # of the time left that callers wait as asked
MAX_RETRIES = 1
# Path, whether it is a stream, whether it may be repeated.
PATHS = (
    ('/safe/', False, True),
    ('/unsafe/', False, False),
    ('/stream/', True, False),
    ('/stream/r/', True, True),
)


class CallerAnswer(platform_system.Answer):
    """Record the answer to a request and repeat it if that is allowed."""

    def __init__(
        self, traffic: 'Traffic', request: history.Request, retries: int
    ) -> None:
        super().__init__(traffic.world)
        self.traffic = traffic
        self.request = request
        self.retries = retries

    def on_end(self) -> None:
        """Record a complete answer."""
        super().on_end()
        self._record()

    def on_failure(self, failure: models.Failure) -> None:
        """Record a connection that failed."""
        super().on_failure(failure)
        self._record()

    def _record(self) -> None:
        request = self.request
        request.status = self.status
        request.is_complete = self.is_complete
        request.is_not_run = http.is_not_run(self.headers)
        request.body = self.body
        request.signature = self.headers.get('signature', '')
        request.ended_at = self.world.now
        is_promised = request.is_not_run or isinstance(
            self.failure, models.NotRun
        )
        may_repeat = request.may_repeat or is_promised
        if not request.is_served and may_repeat and self.retries:
            self._repeat()

    def _repeat(self) -> None:
        left_s = self.request.sent_at + DEADLINE_S - self.world.now
        wait_s = float(self.headers.get('retry-after', 0))
        if wait_s <= left_s * WAIT_SHARE:
            self.traffic.host.timers.call_later(
                wait_s,
                lambda: self.traffic.repeat(
                    self.request, left_s - wait_s, self.retries - 1
                ),
            )


class Traffic:
    """Send requests at a rate; ``factor`` multiplies it.

    A ``stray_share`` of them goes to any entry, listed or not. With ``demand``, they are of several organisations and have a cost.
    """

    def __init__(
        self,
        deployed: platform_system.PlatformSystem,
        record: history.History,
        demand: tenancy.Demand | None = None,
    ) -> None:
        self.deployed = deployed
        self.demand = demand
        self.record = record
        self.world = deployed.world
        self.host = deployed.caller_host
        self.random = deployed.world.random
        self.factor = 1.0
        self.is_ending = False
        self.due: float = 0
        self.sent_at = deployed.world.now
        self.paths = list(PATHS)
        self.stray_share: float = 0
        self.addresses: list[str] = []
        self.looked_up_at = float('-inf')
        self.count = 0

    def add_path(self, prefix: str) -> None:
        """Send requests of a safe route as well."""
        self.paths.append((prefix, False, True))

    def send_due(self) -> None:
        """Send the requests that are due by now."""
        passed_s = self.world.now - self.sent_at
        self.sent_at = self.world.now
        self.due += passed_s * REQUESTS_PER_S * self.factor
        while self.due >= 1:
            self.due -= 1
            self._send_new(self.demand and self.demand.choose())
        if self.demand is not None:
            for load in self.demand.take_due(passed_s):
                self._send_new(load)

    def repeat(
        self, request: history.Request, left_s: float, retries: int
    ) -> None:
        """Send a request again, as an attempt of its own."""
        if not self.is_ending and left_s > 0:
            again = self._build(
                request.path_prefix,
                request.is_stream,
                request.may_repeat,
                left_s,
            )
            again.origin = request.origin
            again.organisation = request.organisation
            again.tokens = request.tokens
            self._send(again, retries)

    def _send_new(self, load: tenancy.Load | None) -> None:
        prefix, is_stream, may_repeat = self.random.choice(self.paths)
        request = self._build(prefix, is_stream, may_repeat, DEADLINE_S)
        if load is not None:
            request.organisation = load.organisation
            request.tokens = load.tokens
        self._send(request, MAX_RETRIES)

    def _build(
        self, prefix: str, is_stream: bool, may_repeat: bool, left_s: float
    ) -> history.Request:
        self.count += 1
        name = f'q-{self.count}'
        return history.Request(
            name,
            name,
            prefix,
            is_stream,
            may_repeat,
            '',
            self.world.now,
            left_s,
        )

    def _send(self, request: history.Request, retries: int) -> None:
        self.record.requests.append(request)
        address = self._choose_address()
        request.entry = self._name_entry(address)
        call = platform_system.make_call(
            address,
            'POST',
            f'{request.path_prefix}{request.name}',
            request.name,
            request.deadline_s,
            request.organisation,
        )
        if request.tokens:
            platform_system.add_tokens(call, request.tokens)
        answer = CallerAnswer(self, request, retries)
        self.host.client.send(call, answer)

    def _choose_address(self) -> str:
        if self.world.now - self.looked_up_at > KEEP_ADDRESSES_S:
            self.looked_up_at = self.world.now
            live = [
                gateway
                for name, gateway in self.deployed.gateways.items()
                if self._is_running(name)
            ]
            asked = self.random.choice(live) if live else None
            self.addresses = (
                asked and asked.list_addresses()
            ) or self.addresses
        if self.stray_share and self.random.random() < self.stray_share:
            return self._choose_any()
        return self.random.choice(self.addresses)

    def _choose_any(self) -> str:
        """Return the address of an entry, which may stand by."""
        gateway = self.random.choice(list(self.deployed.gateways.values()))
        return gateway.settings.listeners.front

    def _is_running(self, name: str) -> bool:
        host = self.deployed.gateway_hosts[name]
        return host.is_alive and host.paused_until <= self.world.now

    def _name_entry(self, address: str) -> str:
        for name, gateway in self.deployed.gateways.items():
            if gateway.settings.listeners.front == address:
                return name
        return history.GONE
