"""Rules for responses without a length, which end with their connection.

A server that closes a connection with a part of the request unread resets it,
before or after the end of its stream, and the response may lack its end. The
acknowledgement of a request says only that the server's kernel has it.
"""

FIRST_FAILURE = 400  # HTTP status
LONG_BODY_BYTES = 16384  # a server reads shorter ones along with their heads
RESET_WAIT_S = 1.5  # after the end of a response to a long body


def may_begin(status: int, undelivered: int) -> bool:
    """Return whether a response may come before so many bytes are acknowledged.

    Its server can't have read the request; it may reject it all the same.
    """
    return not undelivered or status >= FIRST_FAILURE


def get_linger_s(body_bytes: int) -> float:
    """Return for how long a reset may still follow the end of a response."""
    return RESET_WAIT_S if body_bytes > LONG_BODY_BYTES else 0
