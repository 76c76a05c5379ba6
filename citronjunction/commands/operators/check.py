"""citronctl check: check a configuration before it is sent."""

import dataclasses
import json
import sys
from collections import abc
from typing import Annotated

import expression
import typer

from citronjunction.commands import stored_configuration
from citronjunction.commands.operators import exits
from citronjunction.conf import exceptions
from citronjunction.documents import parts
from citronjunction.inspection import differences, limits, matching, models
from citronjunction.platform import configuration
from citronjunction.store import records

HAS_WARNINGS = 1
HAS_ERRORS = 2
STANDARD_INPUT = '-'

Problems = list[exceptions.Problem]
ReadDraft = expression.Result[models.Draft, Problems]


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Problems of a configuration, and what differs from the one in force."""

    problems: Problems
    changes: list[models.Change]


def run(
    file: Annotated[
        str, typer.Argument(help='configuration in JSON; -: standard input')
    ],
    against: Annotated[
        str,
        typer.Option(help='file with the version in force', metavar='FILE'),
    ] = '',
    store: Annotated[
        str,
        typer.Option(
            help='IP:PORT of the store with the version in force',
            metavar='IP:PORT',
        ),
    ] = '',
    strict: Annotated[
        bool, typer.Option('--strict', help='exit with 1 for warnings')
    ] = False,
    as_json: exits.JsonOption = False,
) -> None:
    """Check a configuration without sending it.

    Exit codes: 0 no error, 1 warnings with --strict, 2 errors, 4 store
    unavailable.
    """
    report = _inspect(file, _read_current(against, store))
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(report)))
    else:
        _print(report, file)
    levels = {models.get_level(problem) for problem in report.problems}
    if models.Level.error in levels:
        raise typer.Exit(HAS_ERRORS)
    if strict and levels:
        raise typer.Exit(HAS_WARNINGS)


def _inspect(path: str, current: models.Draft | None) -> Report:
    match _read_file(path):
        case expression.Result(tag='ok', ok=draft):
            return _build_report(draft, current)
        case expression.Result(error=problems):
            return Report(problems, [])


def _build_report(draft: models.Draft, current: models.Draft | None) -> Report:
    problems = [
        *matching.check(draft),
        *limits.check(draft.configuration),
    ]
    changes: list[models.Change] = []
    if current is not None:
        pair = (draft.configuration, current.configuration)
        problems.extend(differences.check_version(*pair))
        changes = differences.compare(*pair)
    return Report(problems, changes)


def _read_current(path: str, address: str) -> models.Draft | None:
    """Return the version in force if one is named, or exit if it is bad."""
    if path:
        read = _read_file(path)
    elif address:
        read = _read_stored(address)
    else:
        return None
    match read:
        case expression.Result(tag='ok', ok=draft):
            return draft
        case expression.Result(error=problems):
            _print_problems(problems)
    raise typer.Exit(HAS_ERRORS)


def _read_stored(address: str) -> ReadDraft:
    match stored_configuration.read(address):
        case records.Record(spec=spec):
            return _decode(spec, address)
        case records.Absent():
            return _fail('E104', address, 'the store has no configuration')
    exits.fail_unavailable()


def _read_file(path: str) -> ReadDraft:
    try:
        document = parts.decode(_read_bytes(path))
    except OSError as error:
        return _fail('E101', path, f'cannot read the file: {error}')
    except parts.PartError as error:
        return _fail('E102', path, f'not JSON: {error}')
    match document:
        case {'spec': dict(spec)}:
            return _decode(spec, path)
    return _decode(document, path)


def _read_bytes(path: str) -> bytes:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    with open(path, 'rb') as source:
        return source.read()


def _decode(spec: object, path: str) -> ReadDraft:
    read = configuration.read_draft(spec, path)
    if isinstance(read, models.Draft):
        return expression.Ok(read)
    return expression.Error(read)


def _fail(code: str, path: str, text: str) -> ReadDraft:
    hint = 'pass the configuration as the platform would get it'
    return expression.Error([exceptions.Problem(code, path, text, hint)])


def _print(report: Report, path: str) -> None:
    _print_problems(report.problems)
    for change in report.changes:
        typer.echo(f'{change.subject}: {change.effect}')
    if not report.problems:
        typer.echo(f'{path}: no problem found')


def _print_problems(problems: abc.Iterable[exceptions.Problem]) -> None:
    for problem in problems:
        typer.echo(str(problem), err=True)
