"""citronctl explain: show recent decisions of an entry."""

import json
from typing import Annotated

import typer

from citronjunction.commands import blocking_client, common
from citronjunction.commands.operators import exits
from citronjunction.transport import http_client

OK = 200
SubjectArgument = Annotated[
    str,
    typer.Argument(help='request id, host or move'),
]


def run(subject: SubjectArgument, config: common.ConfigOption) -> None:
    """Show the decisions of this host's entry about a subject."""
    settings = common.load_settings(config, only_check=False)
    process = settings.process
    call = http_client.Call(
        f'{process.address}:{process.port}',
        'GET',
        f'/v1/decisions/{subject}',
        {'Authorization': f'Bearer {process.operator_token}'},
    )
    reply = blocking_client.BlockingClient(settings).send(call)
    if not isinstance(reply, http_client.Reply) or reply.status != OK:
        typer.echo(
            f'the entry returned no decisions: {reply}',
            err=True,
        )
        raise typer.Exit(exits.UNAVAILABLE)
    for line in json.loads(reply.body)['decisions']:
        typer.echo(json.dumps(line))
