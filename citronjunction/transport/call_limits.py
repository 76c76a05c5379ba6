"""Limits of a call in time: its silence, its duration and its permission."""

from typing import TYPE_CHECKING

from citronjunction.transport import timer_queue

if TYPE_CHECKING:
    from citronjunction.transport import http_client

MIN_CHECK_S = 0.001  # a shorter delay may be lost in rounding, without end
EXPIRY_CHECK_S = 0.05  # between checks whether a call has expired
EXPIRED = 'the call has expired'


def has_expired(call: 'http_client.Call') -> bool:
    """Return whether a call must not be delivered any more."""
    return call.has_expired is not None and call.has_expired()


class CallTimer:
    """Give a call up once it exceeds one of its limits."""

    __slots__ = ('exchange', 'timer', 'timers')

    def __init__(
        self,
        timers: timer_queue.TimerQueue,
        exchange: 'http_client.Exchange',
    ) -> None:
        self.timers = timers
        self.exchange = exchange
        self.timer: timer_queue.Timer | None = None

    def start(self) -> None:
        """Begin to check the call, which has just been sent."""
        call = self.exchange.call
        self._check_later(min(call.silence_s, call.limit_s))

    def check(self) -> None:
        """Give the call up, or check it again when it may exceed a limit."""
        exchange = self.exchange
        call = exchange.call
        now = self.timers.now()
        silence_left_s = call.silence_s - now + exchange.connection.active_at
        left_s = min(silence_left_s, call.limit_s - now + exchange.opened_at)
        if has_expired(call):
            exchange.give_up(EXPIRED)
        elif silence_left_s <= 0:
            exchange.give_up(f'no byte sent or received for {call.silence_s} s')
        elif left_s <= 0:
            exchange.give_up(f'no complete response within {call.limit_s} s')
        else:
            self._check_later(left_s)

    def cancel(self) -> None:
        """End the checks."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _check_later(self, left_s: float) -> None:
        if self.exchange.call.has_expired is not None:
            left_s = min(left_s, EXPIRY_CHECK_S)
        self.timer = self.timers.call_later(
            max(left_s, MIN_CHECK_S), self.check
        )
