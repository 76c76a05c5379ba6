"""Time for which a client may reuse an idle connection."""

import re
from collections import abc

MAX_IDLE_S = 8.0  # if the server states no timeout
REUSE_SHARE = 0.7  # of the idle timeout that the server states
TIMEOUT = re.compile(r'timeout=(\d{1,9})')


def get_idle_s(headers: abc.Mapping[str, str]) -> float:
    """Return the idle seconds after which a connection is not reused."""
    stated = TIMEOUT.search(headers.get('keep-alive', ''))
    if stated is None:
        return MAX_IDLE_S
    return REUSE_SHARE * int(stated.group(1))
