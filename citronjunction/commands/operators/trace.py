"""citronctl trace."""

import json
import pathlib
import sys
import tempfile
from collections import abc
from typing import Annotated

import typer

from citronjunction.commands.operators import exits
from citronjunction.observability import tracing

STDIN = '-'

SubjectArgument = Annotated[
    str,
    typer.Argument(help='request id, worker, organisation, lease or rollout'),
]
FilesArgument = Annotated[
    list[str],
    typer.Argument(help='log files; - reads standard input'),
]


def run(
    subject: SubjectArgument,
    files: FilesArgument,
    as_json: exits.JsonOption = False,
) -> None:
    """Tell what the logs of all hosts say about a subject, in order of time.

    For a request also what happened to its workers shortly before.
    """
    with tempfile.TemporaryFile('w+', encoding='utf-8') as spool:
        if STDIN in files:
            # The logs are read twice, which a pipe does not allow.
            spool.writelines(sys.stdin)
        story = tracing.trace_subject(subject, lambda: read_lines(files, spool))
    if not story.lines:
        typer.echo(f'no line about {subject}', err=True)
        raise typer.Exit(exits.INVALID)
    for line in story.lines:
        typer.echo(json.dumps(line) if as_json else tracing.format_line(line))
    if story.dropped:
        typer.echo(f'{story.dropped} more lines', err=True)


def read_lines(
    files: list[str],
    spool: abc.Iterable[str],
) -> abc.Iterator[str]:
    """Yield the lines of all files."""
    for name in files:
        if name == STDIN:
            spool.seek(0)
            yield from spool
            continue
        path = pathlib.Path(name)
        with path.open(encoding='utf-8', errors='replace') as source:
            yield from source
