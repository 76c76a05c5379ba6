"""citronctl trace: show log lines about a subject."""

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
    typer.Argument(help='log files; - for standard input'),
]


def run(
    subject: SubjectArgument,
    files: FilesArgument,
    as_json: exits.JsonOption = False,
) -> None:
    """Show log lines of all hosts about a subject, ordered by time.

    For a request, include events of its workers from shortly before.
    """
    with tempfile.TemporaryFile('w+', encoding='utf-8') as spool:
        if STDIN in files:
            # The logs are read twice, but a pipe can be read only once.
            spool.writelines(sys.stdin)
        trace = tracing.trace_subject(subject, lambda: read_lines(files, spool))
    if not trace.lines:
        typer.echo(f'no log line about {subject}', err=True)
        raise typer.Exit(exits.INVALID)
    for line in trace.lines:
        typer.echo(json.dumps(line) if as_json else tracing.format_line(line))
    if trace.dropped:
        typer.echo(f'{trace.dropped} more lines not shown', err=True)


def read_lines(
    files: list[str],
    spool: abc.Iterable[str],
) -> abc.Iterator[str]:
    """Yield the lines of all files, and of the spooled standard input."""
    for name in files:
        if name == STDIN:
            spool.seek(0)
            yield from spool
            continue
        path = pathlib.Path(name)
        with path.open(encoding='utf-8', errors='replace') as source:
            yield from source
