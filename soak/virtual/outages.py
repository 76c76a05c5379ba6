"""Outages of entries and of the store, with their ends."""

import functools

from citronjunction.transport import http_server
from soak.virtual import drawing, history
from tests.support import platform_system, virtual

CHECK_S = 0.5  # between looks whether a stopped process has ended
MAX_DELAY_S = 1.5  # of a slow store's answer
MAX_LOST_ANSWERS = 8


class Outages:
    """End, freeze and replace entries, and record when they are disturbed."""

    def __init__(
        self, deployed: platform_system.PlatformSystem, record: history.History
    ) -> None:
        self.deployed = deployed
        self.record = record
        self.timers = deployed.caller_host.timers
        self.killed: set[virtual.Host] = set()
        self.replacement_count = 0

    def list_holders(self) -> list[str]:
        """Return the entries that say that they hold the duties' lease."""
        return [
            name
            for name, gateway in self.deployed.gateways.items()
            if self.deployed.gateway_hosts[name].is_alive
            and gateway.sharing.lease_version
        ]

    def replace(self, name: str, after_s: float) -> None:
        """End an entry for good; another with a new name starts later."""
        if self._end(name, after_s):
            self.timers.call_later(
                after_s, functools.partial(self._start_replacement, name)
            )

    def kill(self, name: str, after_s: float) -> None:
        """End an entry and start it again later."""
        if self._end(name, after_s):
            self.timers.call_later(
                after_s, functools.partial(self.deployed.start_again, name)
            )

    def freeze(self, name: str, seconds: float) -> None:
        """Stop an entry from running for a time."""
        host = self.deployed.gateway_hosts[name]
        if host.is_alive:
            host.pause(seconds)
            self._disturb(name, seconds)

    def terminate(self, name: str, after_s: float) -> None:
        """Ask an entry to stop and start it again after it has ended."""
        host = self.deployed.gateway_hosts[name]
        stopper = self.deployed.gateways[name].stopper
        if host.is_alive and not stopper.is_stopping:
            host.on_stop()
            self._await_end(name, host, after_s)

    def _await_end(self, name: str, host: virtual.Host, after_s: float) -> None:
        # The fault that kills a host also starts it again.
        if host in self.killed:
            return
        if host.is_alive:
            self._disturb(name, CHECK_S)
            self.timers.call_later(
                CHECK_S, functools.partial(self._await_end, name, host, after_s)
            )
            return
        self._disturb(name, after_s)
        self.timers.call_later(
            after_s, functools.partial(self.deployed.start_again, name)
        )

    def _end(self, name: str, after_s: float) -> bool:
        host = self.deployed.gateway_hosts[name]
        was_alive = host.is_alive
        if was_alive:
            host.kill()
            self.killed.add(host)
            self._disturb(name, after_s)
        return was_alive

    def _start_replacement(self, name: str) -> None:
        self.deployed.gateways.pop(name)
        self.deployed.gateway_hosts.pop(name)
        self.record.lost_at[name] = self.deployed.world.now
        self.replacement_count += 1
        replacement = f'gateway-new-{self.replacement_count}'
        self.deployed.add_gateway(replacement)
        self._disturb(replacement, 0)

    def _disturb(self, name: str, seconds: float) -> None:
        now = self.deployed.world.now
        self.record.disturbances.append(
            history.Span(frozenset((name,)), now, now + seconds)
        )


class StoreTrouble:
    """Make the store unavailable, slow or forgetful for a time."""

    def __init__(
        self, deployed: platform_system.PlatformSystem, record: history.History
    ) -> None:
        self.store = deployed.store
        self.world = deployed.world
        self.timers = deployed.caller_host.timers
        self.record = record
        self.down_count = 0
        self.delays_s: list[float] = []
        self.handle_at_once = deployed.store.handle
        deployed.store.handle = self._handle

    def begin(self, fault: drawing.Fault) -> None:
        """Begin a fault of the store, and schedule its end."""
        seconds = fault.duration_s
        match fault.kind:
            case drawing.Kind.store_down:
                self.down_count += 1
                self.store.is_down = True
                self.timers.call_later(seconds, self._restore)
            case drawing.Kind.store_slow:
                delay_s = fault.amount * MAX_DELAY_S
                self.delays_s.append(delay_s)
                self.timers.call_later(
                    seconds, functools.partial(self.delays_s.remove, delay_s)
                )
            case drawing.Kind.store_loses:
                self.store.lost_answers += 1 + fault.target % MAX_LOST_ANSWERS
        now = self.world.now
        self.record.disturbances.append(
            history.Span(frozenset((history.STORE,)), now, now + seconds)
        )

    def _restore(self) -> None:
        self.down_count -= 1
        self.store.is_down = self.down_count > 0

    def _handle(self, exchange: http_server.Exchange) -> None:
        if not self.delays_s:
            self.handle_at_once(exchange)
            return
        self.timers.call_later(
            max(self.delays_s), functools.partial(self._handle_late, exchange)
        )

    def _handle_late(self, exchange: http_server.Exchange) -> None:
        if not exchange.is_done:
            self.handle_at_once(exchange)
