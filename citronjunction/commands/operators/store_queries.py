"""Queries of the configuration and the moves in the store."""

import time

from citronjunction.commands import blocking_client, reports
from citronjunction.commands.operators import exits
from citronjunction.configuration import models as configuration
from citronjunction.releases import status


def read_configuration(
    client: blocking_client.BlockingClient,
) -> configuration.Configuration:
    """Return the accepted configuration, or exit if the store fails."""
    objects = client.list_objects(configuration.KIND)
    if objects is None:
        exits.fail_unavailable()
    current = configuration.decode(objects[0].spec) if objects else None
    return current or configuration.Configuration()


def read_statuses(
    client: blocking_client.BlockingClient,
) -> list[status.Status]:
    """Return the status of every owner, or exit if the store fails."""
    objects = client.list_objects(status.KIND)
    if objects is None:
        exits.fail_unavailable()
    decoded = [status.decode(stored.spec) for stored in objects]
    return [item for item in decoded if item is not None]


def read_rows(client: blocking_client.BlockingClient) -> list[reports.MoveRow]:
    """Return a row per declared move."""
    current = read_configuration(client)
    return reports.list_moves(current, read_statuses(client), time.time())


def find_open_moves(client: blocking_client.BlockingClient) -> frozenset[str]:
    """Return the names of moves that are not finished."""
    return frozenset(row.name for row in read_rows(client) if not row.is_final)
