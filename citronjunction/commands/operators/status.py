"""citronctl status: show the progress of moves."""

from typing import Annotated

import typer

from citronjunction.commands import blocking_client, common, reports
from citronjunction.commands.operators import exits, store_queries

FOLLOW_INTERVAL_S = 1.0
FollowOption = Annotated[
    bool,
    typer.Option('--follow', help='repeat until no move is open'),
]


def run(
    config: common.ConfigOption,
    follow: FollowOption = False,
    as_json: exits.JsonOption = False,
) -> None:
    """Show the state of each move."""
    settings = common.load_settings(config, only_check=False)
    client = blocking_client.BlockingClient(settings)
    rows = store_queries.read_rows(client)
    while follow and _list_open(rows):
        reports.print_moves(_list_open(rows), as_json=as_json)
        client.sleep(FOLLOW_INTERVAL_S)
        rows = store_queries.read_rows(client)
    reports.print_moves(rows, as_json=as_json)
    last = max((row.revision for row in rows), default=0)
    states = {row.state for row in rows if row.revision == last}
    if follow and 'taken back' in states:
        raise typer.Exit(exits.TAKEN_BACK)


def _list_open(rows: list[reports.MoveRow]) -> list[reports.MoveRow]:
    return [row for row in rows if not row.is_final]
