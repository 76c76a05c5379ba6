"""Command line of the soak: runs seeds and prints violated invariants."""

import multiprocessing
import os
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import typer
from absl import logging

from soak import builds, regressions, running, upgrading
from soak.virtual import drawing, playing, served

app = typer.Typer(add_completion=False)
HASH_SEED = 'PYTHONHASHSEED'
UPGRADE_DRAW = 1  # in which entries keep their names
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


@app.command()
def upgrade(
    commit: Annotated[
        str, typer.Option('--from', help='commit of the build to start with')
    ],
    to: Annotated[
        str, typer.Option(help='commit of the other build; default: this code')
    ] = '',
    back: Annotated[
        bool, typer.Option(help='go back to that build afterwards')
    ] = False,
    planned: Annotated[
        bool, typer.Option(help='kill no entry, and cut nothing')
    ] = False,
    seed: Annotated[int, typer.Option(help='first seed')] = 1,
    runs: Annotated[int, typer.Option(help='number of seeds to run')] = 1,
    entries: Annotated[
        int, typer.Option(help='number of gateway processes')
    ] = 4,
) -> None:
    """Replace the entries of an earlier build one by one, under load."""
    failures = 0
    with tempfile.TemporaryDirectory() as extracted:
        old, new = extract_builds(pathlib.Path(extracted), commit, to)
        for number in range(seed, seed + runs):
            plan = upgrading.Plan(number, old, new, back, entries, planned)
            failures += run_upgrade(plan)
    raise typer.Exit(1 if failures else 0)


@app.command()
def search(
    seed: Annotated[int, typer.Option(help='first seed')] = 1,
    runs: Annotated[int, typer.Option(help='number of seeds to run')] = 100,
    entries: Annotated[int, typer.Option(help='number of gateways')] = 5,
    seconds: Annotated[
        float, typer.Option(help='duration of the fault phase')
    ] = 30.0,
    jobs: Annotated[int, typer.Option(help='processes to use')] = 4,
    draw: Annotated[
        int, typer.Option(help='version of the draw of faults')
    ] = drawing.CURRENT,
    only: Annotated[
        str, typer.Option(help='positions of the faults to play, from 0')
    ] = '',
    commit: Annotated[
        str, typer.Option('--from', help='commit of a build to upgrade from')
    ] = '',
    serving: Annotated[
        int,
        typer.Option(help='gateways that serve at least; others stand by'),
    ] = 8,
    held: Annotated[
        bool, typer.Option(help='cuts deliver later what they held up')
    ] = False,
) -> None:
    """Run consecutive seeds in virtual time; a seed always plays the same."""
    fix_hash_seed()
    if commit:
        with tempfile.TemporaryDirectory() as extracted:
            extract_builds(pathlib.Path(extracted), commit, '')
    logging.set_verbosity(logging.ERROR)
    chosen = tuple(int(number) for number in only.split(',') if number)
    plans = [
        playing.Plan(
            number,
            entries,
            seconds,
            UPGRADE_DRAW if commit else draw,
            only=chosen,
            old=commit,
            serving=serving,
            holds_bytes=held,
        )
        for number in range(seed, seed + runs)
    ]
    failures = 0
    with multiprocessing.Pool(jobs) as pool:
        for summary, is_violated in pool.imap(play_plan, plans):
            failures += is_violated
            typer.echo(summary)
    typer.echo(f'{failures} of {runs} seeds violate an invariant')
    raise typer.Exit(1 if failures else 0)


@app.command()
def quotas(
    seed: Annotated[int, typer.Option(help='seed of the run')] = 1,
    entries: Annotated[int, typer.Option(help='number of gateways')] = 7,
    factor: Annotated[
        float, typer.Option(help='what is asked, in multiples of the limit')
    ] = 2.0,
    seconds: Annotated[float, typer.Option(help='duration of the run')] = 40.0,
    *,
    faulty: Annotated[
        bool, typer.Option(help='disturb a third of the entries')
    ] = False,
) -> None:
    """Show how much of its limit a busy organisation gets in virtual time."""
    fix_hash_seed()
    logging.set_verbosity(logging.ERROR)
    slack = playing.FAULTY_SLACK if faulty else 0
    plan = playing.Plan(seed, entries, seconds, quota_slack=slack)
    judged = served.judge(plan, factor)
    typer.echo(judged.summarise())
    is_low = min(judged.served) < judged.required
    raise typer.Exit(1 if judged.violations or is_low else 0)


def fix_hash_seed() -> None:
    """Start again with a fixed order of sets of strings, unless it is fixed."""
    if os.environ.get(HASH_SEED) != '0':
        os.environ[HASH_SEED] = '0'
        os.execv(sys.executable, sys.orig_argv)


def play_plan(plan: playing.Plan) -> tuple[str, bool]:
    """Play a plan; return its summary and whether it violates an invariant."""
    report = playing.play(plan)
    return report.summarise(), bool(report.violations)


def extract_builds(
    folder: pathlib.Path, old: str, new: str
) -> tuple[builds.Build, builds.Build]:
    """Return the builds of two commits; exit with status 2 without them."""
    try:
        return (
            builds.extract(old, folder),
            builds.extract(new, folder) if new else builds.PRESENT,
        )
    except builds.BuildError as error:
        typer.echo(f'soak: {error}', err=True)
        raise typer.Exit(2) from error


def run_upgrade(plan: upgrading.Plan) -> bool:
    """Run an upgrade and print its report; return whether it broke a rule."""
    folder = make_folder(plan.seed)
    run = upgrading.Run(plan, folder)
    report = run.upgrade_all()
    typer.echo(report.summarise())
    if run.is_interrupted:
        raise typer.Exit(1)
    if report.violations:
        typer.echo(f'  logs: {folder}')
    return bool(report.violations)


def make_folder(seed: int) -> pathlib.Path:
    """Create the folder for settings and logs of a run."""
    LOGS.mkdir(parents=True, exist_ok=True)
    return pathlib.Path(tempfile.mkdtemp(prefix=f'{seed}-', dir=LOGS))


def run_plans(plans: list[running.Plan]) -> None:
    """Run plans one after another; exit with status 1 if any fails."""
    failures = 0
    for plan in plans:
        folder = make_folder(plan.seed)
        report = running.Run(plan, folder).execute()
        typer.echo(report.summarise())
        if report.violations or report.late:
            failures += 1
            typer.echo(f'  logs: {folder}')
    raise typer.Exit(1 if failures else 0)


if __name__ == '__main__':
    app()
