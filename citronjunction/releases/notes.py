"""Parser of release notes in INI format."""

import configparser
import dataclasses
import datetime
import re
from collections import abc
from typing import Annotated, Literal

import expression
import pydantic

from citronjunction.organisations import models as organisations
from citronjunction.releases import exceptions, models
from citronjunction.upstreams import models as upstreams

MAX_NOTE_CHARS = 1 << 20
NAME = r'[a-z0-9][a-z0-9._-]{0,62}'
DURATION = re.compile(r'(\d+(?:\.\d+)?)(s|m|h|d)')
UNIT_S: abc.Mapping[str, float] = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}
DEFAULT_DEADLINE_S = 600.0

Name = Annotated[str, pydantic.Field(pattern=f'^{NAME}$')]
Problems = list[exceptions.NoteProblem]
ParseResult = expression.Result[models.ReleaseNote, tuple]


class Section(pydantic.BaseModel, extra='forbid'):
    """Keys of all sections."""

    action: Literal['add', 'change', 'withdraw'] = 'add'
    deadline: str = ''


class UpstreamSection(Section):
    """Keys of an upstream section; ``repeatable`` is a comma-separated list."""

    kind: upstreams.UpstreamKind = upstreams.UpstreamKind.engine
    version: Name = 'v1'
    repeatable: str = ''
    checks_fencing: bool = False
    workers: Annotated[int, pydantic.Field(ge=1, le=10000)] = 1


class OrganisationSection(Section):
    """Keys of an organisation section."""

    share: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1
    token_sha256: Annotated[
        str,
        pydantic.Field(pattern='^([0-9a-f]{64})?$'),
    ] = ''


SECTIONS: abc.Mapping[str, type[Section]] = {
    'upstream': UpstreamSection,
    'version': Section,
    'organisation': OrganisationSection,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Heading:
    """Section heading: the whole text, its first word and the other words."""

    where: str
    kind: str
    names: tuple[str, ...]


def parse_note(text: str, now: float) -> ParseResult:
    """Parse a release note, or return all its problems.

    ``now`` is in epoch seconds; relative deadlines count from it.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(text[: MAX_NOTE_CHARS + 1])
    except configparser.Error as error:
        reason = str(error).replace('\n', ' ')
        problem = exceptions.NoteProblem('N001', 'note', reason)
        return expression.Error((problem,))
    problems: Problems = []
    if len(text) > MAX_NOTE_CHARS:
        _add_problem(problems, 'N002', 'note', 'the note is longer than 1 MiB')
    name = _parse_name(parser, problems)
    changes = []
    for where in parser.sections():
        if where != 'note':
            change = _parse_section(where, dict(parser[where]), now, problems)
            changes.append(change)
    if not changes:
        hint = 'add sections such as [version atelier-llm v2]'
        _add_problem(problems, 'N003', 'note', 'the note has no changes.', hint)
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(models.ReleaseNote(name, tuple(changes)))


def _add_problem(
    problems: Problems,
    code: str,
    where: str,
    text: str,
    hint: str = '',
) -> None:
    problems.append(exceptions.NoteProblem(code, where, text, hint))


def _parse_name(parser: configparser.ConfigParser, problems: Problems) -> str:
    keys = dict(parser['note']) if 'note' in parser else {}
    name = keys.pop('id', '')
    if not re.fullmatch(NAME, name):
        hint = 'write id = UNIQUE-NAME in the section [note]'
        _add_problem(problems, 'N004', 'note', f'invalid id "{name}".', hint)
    keys.pop('author', '')
    for key in keys:
        hint = 'the keys are id, author'
        _add_problem(problems, 'N005', 'note', f'unknown key "{key}".', hint)
    return name


def _parse_section(
    where: str,
    keys: dict[str, str],
    now: float,
    problems: Problems,
) -> models.Change | None:
    kind, *names = where.split()
    name_count = {'upstream': 1, 'version': 2, 'organisation': 1}.get(kind)
    if name_count is None or len(names) != name_count:
        hint = (
            'write [upstream NAME], [version UPSTREAM VERSION] '
            'or [organisation NAME]'
        )
        _add_problem(problems, 'N006', where, 'unknown section.', hint)
        return None
    for name in names:
        if not re.fullmatch(NAME, name):
            hint = 'use lower case, digits, ".", "_" and "-"'
            _add_problem(
                problems, 'N007', where, f'invalid name "{name}".', hint
            )
    try:
        section = SECTIONS[kind].model_validate(keys)
    except pydantic.ValidationError as error:
        _add_field_problems(problems, where, error)
        return None
    deadline_at = _parse_deadline(section.deadline, now)
    if deadline_at is None or deadline_at <= now:
        hint = 'write a time in the future: 30m or 2026-12-06T18:00:00+01:00'
        text = f'invalid deadline "{section.deadline}".'
        _add_problem(problems, 'N009', where, text, hint)
        return None
    heading = Heading(where, kind, tuple(names))
    return _build_change(heading, section, deadline_at, problems)


def _add_field_problems(
    problems: Problems,
    where: str,
    error: pydantic.ValidationError,
) -> None:
    for field_error in error.errors(include_input=False, include_url=False):
        key = '.'.join(str(part) for part in field_error['loc'])
        _add_problem(
            problems, 'N008', where, f'key "{key}": {field_error["msg"]}.'
        )


def _parse_deadline(text: str, now: float) -> float | None:
    if not text:
        return now + DEFAULT_DEADLINE_S
    match = DURATION.fullmatch(text)
    if match is not None:
        return now + float(match[1]) * UNIT_S[match[2]]
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    return None if parsed.tzinfo is None else parsed.timestamp()


def _build_change(
    heading: Heading,
    section: Section,
    deadline_at: float,
    problems: Problems,
) -> models.Change | None:
    name = heading.names[0]
    keys = frozenset(section.model_fields_set)
    match heading.kind, section.action:
        case 'upstream', 'withdraw':
            return models.WithdrawUpstream(name, deadline_at)
        case 'upstream', action:
            spec = _build_spec(name, section)
            if action == 'add':
                return models.AddUpstream(spec, deadline_at)
            return models.ChangeUpstream(spec, deadline_at, keys)
        case 'version', 'add':
            return models.AddVersion(name, heading.names[1], deadline_at)
        case 'version', 'withdraw':
            return models.WithdrawVersion(name, heading.names[1], deadline_at)
        case 'organisation', 'withdraw':
            return models.WithdrawOrganisation(name, deadline_at)
        case 'organisation', action:
            return _build_organisation(
                heading, section, deadline_at, problems,
            )  # fmt: skip
    hint = 'use action = add or action = withdraw'
    _add_problem(
        problems, 'N010', heading.where, 'a version cannot be changed.', hint
    )
    return None


def _build_spec(
    name: str,
    section: UpstreamSection,
) -> upstreams.UpstreamSpec:
    patterns = [part.strip() for part in section.repeatable.split(',')]
    return upstreams.UpstreamSpec(
        name,
        section.kind,
        section.version,
        tuple(part for part in patterns if part),
        section.checks_fencing,
        section.workers,
    )


def _build_organisation(
    heading: Heading,
    section: OrganisationSection,
    deadline_at: float,
    problems: Problems,
) -> models.Change | None:
    organisation = organisations.Organisation(
        heading.names[0],
        section.token_sha256,
        section.share,
    )
    if section.action == 'change':
        keys = frozenset(section.model_fields_set)
        return models.ChangeOrganisation(organisation, deadline_at, keys)
    if not section.token_sha256:
        hint = 'set token_sha256; citronctl token creates one'
        _add_problem(
            problems, 'N011', heading.where, 'token_sha256 is missing.', hint
        )
        return None
    return models.AddOrganisation(organisation, deadline_at)
