"""Command of the soak: runs seeds and reports what broke."""

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
        typer.Option(help='first seed; 0 takes a fresh one'),
    ] = 0,
    runs: Annotated[int, typer.Option(help='seeds to run')] = 1,
    seconds: Annotated[float, typer.Option(help='time with faults')] = 20.0,
    entries: Annotated[int, typer.Option(help='gateway processes')] = 3,
    serving: Annotated[
        int,
        typer.Option(help='entries that serve in a larger fleet'),
    ] = 12,
) -> None:
    """Run seeds; the same seed draws the same faults again."""
    first = seed or int(time.time())
    play_all(
        [
            running.Plan(number, seconds, entries, serving)
            for number in range(first, first + runs)
        ],
    )


@app.command()
def replay() -> None:
    """Run the seeds again that once failed."""
    play_all(
        [running.Plan(held.seed, held.seconds) for held in regressions.ALL],
    )


def play_all(plans: list[running.Plan]) -> None:
    """Play plans one after another; exit with 1 if any fails."""
    failures = 0
    for plan in plans:
        LOGS.mkdir(parents=True, exist_ok=True)
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'{plan.seed}-', dir=LOGS),
        )
        report = running.Run(plan, folder).play()
        typer.echo(report.summarise())
        if report.broken or report.late:
            failures += 1
            typer.echo(f'  logs: {folder}')
    raise typer.Exit(1 if failures else 0)


if __name__ == '__main__':
    app()
