"""citronctl apply: declare a release note."""

import uuid

import typer

from citronjunction.commands import blocking_client, common
from citronjunction.commands.operators import exits, note_file, store_queries
from citronjunction.configuration import models as configuration
from citronjunction.releases import applying


def run(note: exits.NoteArgument, config: common.ConfigOption) -> None:
    """Declare a release note and print the accepted revision."""
    settings = common.load_settings(config, only_check=False)
    client = blocking_client.BlockingClient(settings)
    parsed = note_file.load_note(note)
    open_moves = store_queries.find_open_moves(client)
    application = applying.NoteApplication(parsed, open_moves, uuid.uuid4().hex)
    _finish(_run_steps(client, application))


def _run_steps(
    client: blocking_client.BlockingClient,
    application: applying.NoteApplication,
) -> applying.Action:
    action: applying.Action = applying.ReadConfiguration()
    while True:
        match action:
            case applying.ReadConfiguration():
                result = client.read(configuration.KIND, configuration.NAME)
                action = application.on_read(result)
            case applying.WriteConfiguration(planned=planned):
                result = client.write(
                    configuration.KIND,
                    configuration.NAME,
                    configuration.encode(planned),
                    action.expected_version,
                )
                action = application.on_write(result, planned)
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
            typer.echo(
                'another note was accepted meanwhile and conflicts:', err=True
            )
            for move in moves:
                typer.echo(f'  conflicts with {move}', err=True)
            raise typer.Exit(exits.CONFLICT)
        case applying.Unavailable(
            reason=reason, may_be_accepted=may_be_accepted
        ):
            outcome = (
                'may be accepted' if may_be_accepted else 'is not accepted'
            )
            typer.echo(
                f'store unavailable: {reason}; the note {outcome}', err=True
            )
            raise typer.Exit(exits.UNAVAILABLE)
