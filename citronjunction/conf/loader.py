"""Loading of settings from INI files."""

import configparser
import dataclasses
import re
from collections import abc

import expression
import pydantic

from citronjunction.conf import checks, exceptions, models

LoadResult = expression.Result[models.Settings, tuple[exceptions.Problem, ...]]
ReadResult = expression.Result[
    configparser.ConfigParser, tuple[exceptions.Problem, ...]
]
PLACEHOLDER = re.compile(r'\{\{.*?\}\}')
# What a template renders for a field without a value, plain or as JSON.
NO_VALUE = frozenset(('', 'null'))


def load_file(path: str) -> LoadResult:
    """Load settings from an INI file, or return all problems."""
    return _read_file(path).bind(lambda parser: _load(parser, path))


def load_text(text: str, path: str) -> LoadResult:
    """Load settings from INI text; problems name it by ``path``."""
    return _read_text(text, path).bind(lambda parser: _load(parser, path))


def load_usable_file(
    path: str,
    on_replaced: abc.Callable[[exceptions.Problem], None],
) -> LoadResult:
    """Load settings like ``load_file``, but replace unusable values.

    Each number that a key does not accept is reported to ``on_replaced``, as is
    each placeholder that is not filled in, and the key keeps its default. So
    does a key without a value, which is not reported. Texts without which a
    process has no identity must be filled in.
    """
    return _read_file(path).bind(
        lambda parser: _load_usable(parser, path, on_replaced)
    )


def _load(parser: configparser.ConfigParser, path: str) -> LoadResult:
    problems = [*_find_unknown(parser, path), *_find_unfilled(parser, path)]
    settings = models.Settings()
    for section in dataclasses.fields(models.Settings):
        values_by_key = (
            dict(parser[section.name]) if section.name in parser else {}
        )
        problems.extend(_fill_section(settings, section, values_by_key, path))
    if not problems:
        problems.extend(checks.check_settings(settings, path))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(settings)


def _load_usable(
    parser: configparser.ConfigParser,
    path: str,
    on_replaced: abc.Callable[[exceptions.Problem], None],
) -> LoadResult:
    for problem in _remove_unset(parser, path):
        on_replaced(problem)
    loaded = _load(parser, path)
    if loaded.is_ok():
        return loaded
    for problem in _remove_unusable(parser, path):
        on_replaced(problem)
    return _load(parser, path)


def _remove_unset(
    parser: configparser.ConfigParser,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    """Remove optional keys without a value; yield those with placeholders."""
    for section, key, text in _iterate_known(parser):
        if not _is_optional(key):
            continue
        if text in NO_VALUE:
            parser.remove_option(section.name, key.name)
        elif PLACEHOLDER.search(text):
            parser.remove_option(section.name, key.name)
            yield _build_unfilled(section.name, key.name, path)


def _remove_unusable(
    parser: configparser.ConfigParser,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    for section, key, text in _iterate_known(parser):
        if not _is_number(key):
            continue
        problem = _check_key(section, key.name, text, path)
        if problem is not None:
            parser.remove_option(section.name, key.name)
            yield problem


def _iterate_known(
    parser: configparser.ConfigParser,
) -> abc.Iterator[tuple[dataclasses.Field, dataclasses.Field, str]]:
    """Yield the section, key and text of each known key of the file."""
    for section in dataclasses.fields(models.Settings):
        if section.name not in parser:
            continue
        for key in dataclasses.fields(section.type):
            text = parser[section.name].get(key.name)
            if text is not None:
                yield section, key, text


def _is_optional(key: dataclasses.Field) -> bool:
    return _is_number(key) or not key.default


def _is_number(key: dataclasses.Field) -> bool:
    return isinstance(key.default, int | float)


def _check_key(
    section: dataclasses.Field,
    name: str,
    text: str,
    path: str,
) -> exceptions.Problem | None:
    problems = _fill_section(models.Settings(), section, {name: text}, path)
    return next(problems, None)


def _read_file(path: str) -> ReadResult:
    try:
        with open(path, encoding='utf-8') as source:
            text = source.read()
    except (OSError, UnicodeDecodeError) as error:
        return _build_error(
            'E001',
            path,
            f'cannot read the file: {error}',
            'check path, permissions and encoding',
        )
    return _read_text(text, path)


def _read_text(text: str, path: str) -> ReadResult:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        reason = str(error).replace('\n', ' ')
        return _build_error(
            'E002', path, reason, 'write [section] and key = value lines'
        )
    return expression.Ok(parser)


def _build_error(code: str, where: str, text: str, hint: str) -> ReadResult:
    return expression.Error((exceptions.Problem(code, where, text, hint),))


def _find_unknown(
    parser: configparser.ConfigParser,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    known = {field.name: field for field in dataclasses.fields(models.Settings)}
    for name in parser.sections():
        where = f'{path} [{name}]'
        if name not in known:
            hint = f'the sections are {", ".join(known)}'
            yield exceptions.Problem('E003', where, 'unknown section.', hint)
            continue
        keys = [key.name for key in dataclasses.fields(known[name].type)]
        for key in parser[name]:
            if key not in keys:
                hint = f'the keys are {", ".join(keys)}'
                place = f'{where} {key}'
                yield exceptions.Problem('E004', place, 'unknown key.', hint)


def _find_unfilled(
    parser: configparser.ConfigParser,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    for section, key, text in _iterate_known(parser):
        if PLACEHOLDER.search(text):
            yield _build_unfilled(section.name, key.name, path)


def _build_unfilled(section: str, key: str, path: str) -> exceptions.Problem:
    return exceptions.Problem(
        'E011',
        f'{path} [{section}] {key}',
        'a placeholder of the template is not filled in.',
        'give it a value, or leave the key out to use its default',
    )


def _fill_section(
    settings: models.Settings,
    section: dataclasses.Field,
    values_by_key: dict[str, str],
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    keys = {key.name for key in dataclasses.fields(section.type)}
    known_values = {
        key: text for key, text in values_by_key.items() if key in keys
    }
    try:
        loaded = pydantic.TypeAdapter(section.type).validate_python(
            known_values
        )
    except pydantic.ValidationError as error:
        for field_error in error.errors(include_input=False, include_url=False):
            key = '.'.join(str(part) for part in field_error['loc'])
            where = f'{path} [{section.name}] {key}'
            hint = 'citronctl settings prints its type, unit and default'
            yield exceptions.Problem(
                'E005', where, f'{field_error["msg"]}.', hint
            )
        return
    setattr(settings, section.name, loaded)
