"""The timer for silence ends although rounding leaves a tiny rest."""

import math

from citronjunction.transport import http_client, sockets

NOW = 130.0
ACTIVE_AT = math.nextafter(63.0, 64.0)  # finer than the clock at NOW
SILENCE_S = 67.0


class Timers:
    """A clock that stands still, and the delays that were asked for."""

    def __init__(self):
        self.delays_s = []

    def now(self):
        return NOW

    def call_later(self, delay_s, call):
        self.delays_s.append(delay_s)


# Guards against a timer that fires again and again at the same time.
def test_a_rest_below_the_clock_s_precision_is_not_scheduled_as_it_is():
    timers = Timers()
    client = http_client.HttpClient(None, timers)
    call = http_client.Call('10.0.0.1:80', 'GET', '/', silence_s=SILENCE_S)
    exchange = http_client.Exchange(client, call, None)
    exchange.connection = sockets.Connection(None, call.address)
    exchange.connection.active_at = ACTIVE_AT
    exchange.opened_at = NOW

    exchange.timer.check()

    assert timers.now() + timers.delays_s[0] > timers.now()
