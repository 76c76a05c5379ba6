"""citronctl validate: check a release note offline."""

import typer

from citronjunction.commands.operators import exits, note_file


def run(note: exits.NoteArgument) -> None:
    """Check a release note without reading the store."""
    parsed = note_file.load_note(note)
    typer.echo(
        f'{parsed.name}: {len(parsed.changes)} changes, no problem found'
    )
