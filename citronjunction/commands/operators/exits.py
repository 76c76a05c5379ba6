"""Exit codes and options of the citronctl commands."""

from typing import Annotated

import typer

INVALID = 1
CONFLICT = 3
UNAVAILABLE = 4
TAKEN_BACK = 5

NoteArgument = Annotated[str, typer.Argument(help='release note in INI')]
JsonOption = Annotated[bool, typer.Option('--json', help='print JSON')]


def fail_unavailable() -> None:
    """Report that the store did not answer, and exit."""
    typer.echo('store unavailable: it did not answer', err=True)
    raise typer.Exit(UNAVAILABLE)
