"""Rules for responses without a length, which end with their connection.

A server that closes a connection with a part of the request unread resets it,
before or after the end of its stream, and the response may lack its end. The
acknowledgement of a request says only that the server's kernel has it, and how
much a server reads along with a head is not known.
"""

from citronjunction.transport import sockets

FIRST_FAILURE = 400  # HTTP status
RESET_WAIT_S = 1.5  # after the end of a success to a request with a body
# After the end of a failure, whose status says most, and of a success where the
# call ends sooner. Some servers close half a second after the end of their
# stream, so that the response is read before the reset.
MIN_RESET_WAIT_S = 0.5


def may_begin(status: int, undelivered: int) -> bool:
    """Return whether a response may come before so many bytes are acknowledged.

    Its server can't have read the request; it may reject it all the same.
    """
    return not undelivered or status >= FIRST_FAILURE


def build_linger(
    status: int, body_bytes: int, latest_at: float
) -> sockets.Linger:
    """Return how long a reset may still follow the end of a response.

    A request without a body has been read by the time of its response.
    ``latest_at`` is when the call ends, in monotonic seconds.
    """
    if not body_bytes:
        return sockets.Linger(0, 0, latest_at)
    wait_s = RESET_WAIT_S if status < FIRST_FAILURE else MIN_RESET_WAIT_S
    return sockets.Linger(wait_s, MIN_RESET_WAIT_S, latest_at)
