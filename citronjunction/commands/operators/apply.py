"""citronctl apply."""

import uuid

import typer

from citronjunction.commands import common, console
from citronjunction.commands.operators import exits, note_file, stored
from citronjunction.configuration import models as configuration
from citronjunction.releases import applying


def run(note: exits.NoteArgument, config: common.ConfigOption) -> None:
    """Declare a release note; print the accepted revision."""
    settings = common.load_settings(config, only_check=False)
    terminal = console.Console(settings)
    parsed = note_file.load_note(note)
    open_moves = stored.find_open_moves(terminal)
    work = applying.NoteApplication(parsed, open_moves, uuid.uuid4().hex)
    _finish(_drive(terminal, work))


def _drive(
    terminal: console.Console,
    work: applying.NoteApplication,
) -> applying.Action:
    action: applying.Action = applying.ReadConfiguration()
    while True:
        match action:
            case applying.ReadConfiguration():
                held = terminal.read(configuration.KIND, configuration.NAME)
                action = work.on_read(held)
            case applying.WriteConfiguration(planned=planned):
                written = terminal.write(
                    configuration.KIND,
                    configuration.NAME,
                    configuration.encode(planned),
                    action.expected_version,
                )
                action = work.on_write(written, planned)
            case _:
                return action


def _finish(action: applying.Action) -> None:
    match action:
        case applying.Accepted(revision=revision):
            typer.echo(f'accepted as revision {revision}')
        case applying.Invalid(problems=problems):
            note_file.print_problems(problems)
            raise typer.Exit(exits.INVALID)
        case applying.Conflict(moves=moves):
            typer.echo('another note was accepted meanwhile:', err=True)
            for move in moves:
                typer.echo(f'  clashes with {move}', err=True)
            raise typer.Exit(exits.CONFLICT)
        case applying.Unavailable(reason=reason, may_be_accepted=is_open):
            known = 'may be accepted' if is_open else 'is not accepted'
            typer.echo(
                f'store unavailable: {reason}; the note {known}', err=True
            )
            raise typer.Exit(exits.UNAVAILABLE)
