"""Options, settings and logging that the binaries share."""

from collections import abc
from typing import Annotated, Protocol

import expression
import typer
from absl import logging

import citronjunction
from citronjunction.conf import exceptions, loader, models
from citronjunction.transport import runtime

EXIT_INVALID = 1


class Node(Protocol):
    """Define the node of a process that ``run_node`` starts."""

    def start(self) -> None:
        """Start the timers and listeners."""


def show_version(is_requested: bool) -> None:
    """Print the version and exit if ``--version`` is set."""
    if is_requested:
        typer.echo(f'citronjunction {citronjunction.VERSION}')
        raise typer.Exit


ConfigOption = Annotated[
    str,
    typer.Option('--config', help='settings file in INI', metavar='FILE.ini'),
]
CheckOption = Annotated[
    bool,
    typer.Option('--check', help='validate the settings and exit'),
]
VersionOption = Annotated[
    bool,
    typer.Option(
        '--version',
        help='print the version',
        callback=show_version,
        is_eager=True,
    ),
]


def load_settings(
    config: str,
    *,
    only_check: bool,
    is_lenient: bool = False,
) -> models.Settings:
    """Return the settings, or print every problem and exit with 1.

    With ``only_check``, exit with 0 if there is no problem. Otherwise, if
    ``is_lenient``, log unusable numbers and use the defaults instead.
    """
    loaded = (
        loader.load_usable_file(config, log_replaced)
        if is_lenient and not only_check
        else loader.load_file(config)
    )
    match loaded:
        case expression.Result(tag='ok', ok=settings):
            if only_check:
                typer.echo(f'{config}: no problem found')
                raise typer.Exit
            return settings
        case expression.Result(error=problems):
            for problem in problems:
                typer.echo(str(problem), err=True)
    raise typer.Exit(EXIT_INVALID)


def log_replaced(problem: exceptions.Problem) -> None:
    """Log a value of the settings that the default replaces."""
    logging.error('unusable setting, its default is used: %s', problem)


def run_node(
    config: str,
    build: abc.Callable[[runtime.Runtime, models.Settings], Node],
    *,
    only_check: bool,
    is_lenient: bool = False,
) -> None:
    """Build a node from the settings file and run it until it stops."""
    settings = load_settings(
        config, only_check=only_check, is_lenient=is_lenient
    )
    loop = runtime.Runtime()
    build(loop, settings).start()
    loop.run()


def start_logging() -> None:
    """Set up logging to standard error at level INFO."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
