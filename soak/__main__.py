"""Command line of the soak: runs seeds and prints violated invariants."""

import pathlib
import tempfile
import time
from typing import Annotated

import typer

from soak import regressions, running

app = typer.Typer(add_completion=False)
LOGS = pathlib.Path('build') / 'soak'


@app.command()
def run(
    seed: Annotated[
        int,
        typer.Option(help='first seed; 0 uses the current time'),
    ] = 0,
    runs: Annotated[
        int, typer.Option(help='number of consecutive seeds to run')
    ] = 1,
    seconds: Annotated[
        float, typer.Option(help='duration of the fault phase')
    ] = 20.0,
    entries: Annotated[
        int, typer.Option(help='number of gateway processes')
    ] = 3,
    serving: Annotated[
        int,
        typer.Option(help='maximum number of serving entries; others stand by'),
    ] = 12,
) -> None:
    """Run consecutive seeds; a seed always draws the same faults."""
    first = seed or int(time.time())
    run_plans(
        [
            running.Plan(number, seconds, entries, serving)
            for number in range(first, first + runs)
        ],
    )


@app.command()
def replay() -> None:
    """Run all seeds of earlier failures again."""
    run_plans(
        [running.Plan(case.seed, case.seconds) for case in regressions.ALL],
    )


def run_plans(plans: list[running.Plan]) -> None:
    """Run plans one after another; exit with status 1 if any fails."""
    failures = 0
    for plan in plans:
        LOGS.mkdir(parents=True, exist_ok=True)
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'{plan.seed}-', dir=LOGS),
        )
        report = running.Run(plan, folder).execute()
        typer.echo(report.summarise())
        if report.violations or report.late:
            failures += 1
            typer.echo(f'  logs: {folder}')
    raise typer.Exit(1 if failures else 0)


if __name__ == '__main__':
    app()
