"""citronctl settings: list the settings keys."""

import dataclasses
import json

import rich
import typer
from rich import table

from citronjunction.commands import reports
from citronjunction.commands.operators import exits
from citronjunction.conf import models as conf


def run(as_json: exits.JsonOption = False) -> None:
    """Print all settings keys with type, unit and default."""
    rows = list(reports.list_settings(conf.Settings()))
    if as_json:
        typer.echo(json.dumps([dataclasses.asdict(row) for row in rows]))
        return
    grid = table.Table('section', 'key', 'type', 'unit', 'default', 'meaning')
    for row in rows:
        grid.add_row(*dataclasses.astuple(row))
    rich.print(grid)
