"""Load release notes from files and print their problems."""

import time

import typer

from citronjunction.commands.operators import exits
from citronjunction.releases import models, notes


def load_note(path: str) -> models.ReleaseNote:
    """Return a parsed release note, or print every problem and exit."""
    try:
        with open(path, encoding='utf-8') as source:
            text = source.read()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f'citron.N000: {path}: {error}', err=True)
        raise typer.Exit(exits.INVALID) from error
    parsed = notes.parse_note(text, time.time())
    if parsed.is_ok():
        return parsed.ok
    print_problems(parsed.error)
    raise typer.Exit(exits.INVALID)


def print_problems(problems: tuple[object, ...]) -> None:
    """Print problems to standard error, one per line."""
    for problem in problems:
        typer.echo(str(problem), err=True)
