"""Limits of the HTTP server that follow from those of the process."""

import resource

from citronjunction.conf import models

RESERVED_DESCRIPTORS = 200  # files, and sockets of the event loop
# Of the others, for workers, peers, the store and readiness.
RESERVED_SHARE = 0.25
# For what is no socket, and sockets of attempts that repeat.
RESERVED_FILES = 32
MIN_CONNECTIONS = 256  # of callers
BYTES_PER_MB = 1_000_000
PROCESS_MB = 100  # resident without any body
BODY_COPIES = 3  # received, sent on, and waiting in a buffer


def limit_http(settings: models.Settings) -> None:
    """Lower the limits of the HTTP server to what the process may use."""
    http = settings.http
    process = settings.process
    descriptors = process.descriptors or _get_soft_limit()
    usable = (descriptors - RESERVED_DESCRIPTORS) * (1 - RESERVED_SHARE)
    http.max_connections = min(
        http.max_connections, max(MIN_CONNECTIONS, int(usable))
    )
    http.max_sockets = min(
        http.max_sockets,
        max(MIN_CONNECTIONS, int(descriptors) - RESERVED_FILES),
    )
    if process.memory_mb:
        spare_mb = max(0, process.memory_mb - PROCESS_MB)
        spare = int(spare_mb * BYTES_PER_MB / BODY_COPIES)
        http.max_cost = min(http.max_cost, max(1, int(spare_mb * BYTES_PER_MB)))
        http.max_bodies = min(http.max_bodies, max(http.max_body, spare))


def _get_soft_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
