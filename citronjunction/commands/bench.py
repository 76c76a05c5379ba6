"""citron-bench: run experiments and compare their figures."""

import json
import pathlib
from collections import abc
from typing import Annotated

import rich
import typer
from rich import table

from citronjunction.bench import experiments
from citronjunction.commands import common

ALL = 'all'
EXIT_UNKNOWN = 2

app = typer.Typer(add_completion=False, no_args_is_help=True)
NameArgument = Annotated[str, typer.Argument(help='experiment, or all')]
QuickOption = Annotated[bool, typer.Option('--quick', help='shorter runs')]
SeedOption = Annotated[int, typer.Option(help='seed of the random decisions')]
FileOption = Annotated[
    str, typer.Option('--json', help='file to write the JSON to')
]


@app.callback()
def configure(version: common.VersionOption = False) -> None:
    """Run experiments; the same seed gives the same simulated figures."""


@app.command(name='list')
def list_experiments() -> None:
    """List the experiments."""
    for name, measure in experiments.EXPERIMENTS.items():
        typer.echo(f'{name:12} {measure.__doc__}')


@app.command()
def run(
    name: NameArgument,
    quick: QuickOption = False,
    seed: SeedOption = 1,
    json_file: FileOption = '',
) -> None:
    """Run one experiment or all of them, and print or write JSON."""
    scale = experiments.QUICK if quick else experiments.FULL
    if name == ALL:
        document = experiments.run_all(seed, scale)
    else:
        document = _find_experiment(name)(seed, scale)
    text = json.dumps(document, indent=1)
    if json_file:
        pathlib.Path(json_file).write_text(text, encoding='utf-8')
    else:
        typer.echo(text)


@app.command()
def compare(
    before: Annotated[str, typer.Argument(help='first JSON file')],
    after: Annotated[str, typer.Argument(help='second JSON file')],
) -> None:
    """Compare the figures of two JSON files and show their ratios."""
    first = _read_figures(before)
    second = _read_figures(after)
    grid = table.Table('figure', 'before', 'after', 'ratio')
    for key in sorted(first.keys() | second.keys()):
        grid.add_row(key, *_compare_figures(first.get(key), second.get(key)))
    rich.print(grid)


def _find_experiment(name: str) -> experiments.Experiment:
    for known, measure in experiments.EXPERIMENTS.items():
        if known == name:
            return measure
    typer.echo(f'no experiment "{name}"; see citron-bench list', err=True)
    raise typer.Exit(EXIT_UNKNOWN)


def _read_figures(path: str) -> dict[str, float]:
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return dict(_flatten(json.loads(text)))


def _compare_figures(
    before: float | None,
    after: float | None,
) -> tuple[str, str, str]:
    ratio = f'{after / before:.2f}' if before and after else ''
    return str(before), str(after), ratio


def _flatten(
    document: object,
    path: str = '',
) -> abc.Iterator[tuple[str, float]]:
    if isinstance(document, dict):
        for key, inner in document.items():
            yield from _flatten(inner, f'{path}.{key}' if path else key)
    elif isinstance(document, int | float):
        yield path, document


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
