"""citronctl history: list finished moves."""

from citronjunction.commands import blocking_client, common, reports
from citronjunction.commands.operators import exits, store_queries


def run(
    config: common.ConfigOption,
    as_json: exits.JsonOption = False,
) -> None:
    """Show finished moves, newest first."""
    settings = common.load_settings(config, only_check=False)
    rows = store_queries.read_rows(blocking_client.BlockingClient(settings))
    finished = [row for row in reversed(rows) if row.is_final]
    reports.print_moves(finished, as_json=as_json)
