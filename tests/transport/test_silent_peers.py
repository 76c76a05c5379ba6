"""A sound peer may be silent for a while without losing its connections."""

import socket

import pytest

from citronjunction.transport import sockets

FIRST_RETRANSMISSION_S = 0.2  # doubled each time, as by Linux
MS_PER_S = 1000


def read_options():
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sockets.set_tcp_options(sock)
    idle_s, interval_s, user_timeout_ms = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_USER_TIMEOUT,
        )
    )
    sock.close()
    return idle_s, interval_s, user_timeout_ms / MS_PER_S


def survives_idle(silent_s):
    """Return whether keep-alive probes outlast a silence, as on Linux.

    With a user timeout set, it alone decides when unanswered probes give up.
    """
    idle_s, interval_s, user_timeout_s = read_options()
    at = idle_s
    has_probed = False
    while at < silent_s:
        if has_probed and at >= user_timeout_s:
            return False
        has_probed = True
        at += interval_s
    # The probe at this time is answered, unless the connection ends before it.
    return not (has_probed and at >= user_timeout_s)


def survives_sending(silent_s):
    """Return whether sent bytes are repeated after a silence and in time."""
    _, _, user_timeout_s = read_options()
    at, wait_s = 0, FIRST_RETRANSMISSION_S
    while at < silent_s:
        at += wait_s
        wait_s *= 2
    return at < user_timeout_s


# Guards against lost requests at a sound worker that pauses for a moment.
@pytest.mark.parametrize('silent_s', [0.8, 1.0, 1.2, 1.5, 1.9])
def test_a_connection_outlasts_a_silence_of_a_second_or_so(silent_s):
    assert survives_idle(silent_s)
    assert survives_sending(silent_s)


def test_a_peer_that_stays_silent_is_noticed():
    assert not survives_idle(10)
    assert not survives_sending(10)
