"""Validation of a release note against the configuration."""

import dataclasses
from collections import abc

import expression

from citronjunction.configuration import models as configuration
from citronjunction.releases import exceptions, models

MAX_MOVES = 200  # kept in the configuration, unless more are open
MAX_NOTES = 200  # names of applied notes kept in the configuration

Problem = exceptions.NoteProblem
PlanResult = expression.Result[configuration.Configuration, tuple]


def plan_note(
    current: configuration.Configuration,
    note: models.ReleaseNote,
    open_moves: abc.Set[str],
    operation: str,
) -> PlanResult:
    """Return the configuration after a note, or all problems of the note.

    ``open_moves`` has the names of unfinished moves.
    """
    problems = [
        *_check_note(current, note),
        *_check_open_moves(current, note, open_moves),
    ]
    for change in note.changes:
        problems.extend(_check_change(current, note, change))
    if problems:
        return expression.Error(tuple(problems))
    revision = current.revision + 1
    planned = current
    for change in note.changes:
        planned = _apply_change(planned, change)
    declared = tuple(_declare_move(change, revision) for change in note.changes)
    return expression.Ok(
        dataclasses.replace(
            planned,
            revision=revision,
            operation=operation,
            note=note.name,
            moves=_limit_moves(planned.moves, open_moves, declared),
            notes=(*current.notes, note.name)[-MAX_NOTES:],
        ),
    )


def find_conflicts(
    base: configuration.Configuration,
    current: configuration.Configuration,
    note: models.ReleaseNote,
) -> list[str]:
    """Describe the moves since ``base`` on subjects that the note changes.

    An upstream and its versions count as one subject.
    """
    changed_keys = {
        _get_conflict_key(models.get_subject(change)) for change in note.changes
    }
    return [
        f'{move.action} {move.subject} (revision {move.revision})'
        for move in current.moves
        if move.revision > base.revision
        and _get_conflict_key(move.subject) in changed_keys
    ]


def _limit_moves(
    moves: tuple[configuration.DeclaredMove, ...],
    open_moves: abc.Set[str],
    declared: tuple[configuration.DeclaredMove, ...],
) -> tuple[configuration.DeclaredMove, ...]:
    """Add the declared moves; drop the oldest finished ones over the limit."""
    excess = len(moves) + len(declared) - MAX_MOVES
    finished = [move for move in moves if move.name not in open_moves]
    dropped = {move.name for move in finished[: max(0, excess)]}
    kept = (move for move in moves if move.name not in dropped)
    return (*kept, *declared)


def _get_conflict_key(subject: str) -> str:
    kind, name = subject.split()[:2]
    return name if kind in {'upstream', 'version'} else subject


def _declare_move(
    change: models.Change,
    revision: int,
) -> configuration.DeclaredMove:
    subject = models.get_subject(change)
    slug = subject.replace(' ', '-')
    version = ''
    match change:
        case models.AddVersion() | models.WithdrawVersion():
            version = change.version
        case models.AddUpstream(spec=spec):
            version = spec.version
    return configuration.DeclaredMove(
        f'{revision}-{slug}',
        models.get_action(change),
        subject,
        revision,
        change.deadline_at,
        version,
    )


def _check_note(
    current: configuration.Configuration,
    note: models.ReleaseNote,
) -> abc.Iterator[Problem]:
    if note.name in current.notes:
        hint = 'a note is applied once; use another id'
        yield Problem(
            'N020', 'note', f'"{note.name}" was already applied.', hint
        )
    adds = [
        change
        for change in note.changes
        if isinstance(change, models.AddVersion)
    ]
    names = [change.upstream for change in adds]
    if len(note.changes) > MAX_MOVES:
        hint = f'split the note; the limit is {MAX_MOVES} changes'
        yield Problem('N031', 'note', 'has too many changes.', hint)
    for name in sorted({name for name in names if names.count(name) > 1}):
        hint = 'add one version of an upstream at a time'
        where = f'upstream {name}'
        yield Problem('N021', where, 'several versions are added.', hint)
    owners_by_token: dict[str, str] = {
        org.token_sha256: org.name for org in current.organisations.values()
    }
    for change in note.changes:
        match change:
            case (
                models.AddOrganisation(organisation=organisation)
                | models.ChangeOrganisation(organisation=organisation)
            ) if organisation.token_sha256:
                owner = owners_by_token.setdefault(
                    organisation.token_sha256,
                    organisation.name,
                )
                if owner != organisation.name:
                    where = f'organisation {organisation.name}'
                    text = f'has the same token as organisation {owner}.'
                    yield Problem('N022', where, text)


def _check_open_moves(
    current: configuration.Configuration,
    note: models.ReleaseNote,
    open_moves: abc.Set[str],
) -> abc.Iterator[Problem]:
    open_by_upstream = {
        move.subject.split()[1]: move
        for move in current.moves
        if move.name in open_moves and move.subject.startswith('version ')
    }
    for change in note.changes:
        match change:
            case models.AddVersion(upstream=upstream) if (
                upstream in open_by_upstream
            ):
                open_move = open_by_upstream[upstream]
                yield Problem(
                    'N023',
                    models.get_subject(change),
                    f'{open_move.subject} is still moving ({open_move.name}).',
                    'wait until the move is finished, or withdraw that version',
                )


def _check_change(
    current: configuration.Configuration,
    note: models.ReleaseNote,
    change: models.Change,
) -> abc.Iterator[Problem]:
    where = models.get_subject(change)
    match change:
        case models.AddUpstream(spec=spec):
            if spec.name in current.upstreams:
                yield Problem('N024', where, 'exists.', 'use action = change')
        case models.ChangeUpstream(spec=spec):
            yield from _check_upstream(current, where, spec.name)
            if 'version' in change.keys:
                hint = 'use [version UPSTREAM VERSION]'
                yield Problem(
                    'N025', where, 'the version cannot be changed here.', hint
                )
        case models.WithdrawUpstream(name=name):
            yield from _check_upstream(current, where, name)
            yield from _check_contradiction(note, where, name)
        case models.AddVersion() | models.WithdrawVersion():
            known = _get_added_upstreams(note)
            if change.upstream not in known:
                yield from _check_upstream(current, where, change.upstream)
            yield from _check_version(current, where, change)
        case models.AddOrganisation(organisation=organisation):
            if organisation.name in current.organisations:
                yield Problem('N024', where, 'exists.', 'use action = change')
        case models.ChangeOrganisation(organisation=organisation):
            yield from _check_organisation(current, where, organisation.name)
        case models.WithdrawOrganisation(name=name):
            yield from _check_organisation(current, where, name)


def _get_added_upstreams(note: models.ReleaseNote) -> set[str]:
    return {
        change.spec.name
        for change in note.changes
        if isinstance(change, models.AddUpstream)
    }


def _check_upstream(
    current: configuration.Configuration,
    where: str,
    name: str,
) -> abc.Iterator[Problem]:
    if name not in current.upstreams:
        known = ', '.join(sorted(current.upstreams)) or 'none'
        text = f'unknown upstream "{name}".'
        yield Problem('N026', where, text, f'known: {known}')


def _check_organisation(
    current: configuration.Configuration,
    where: str,
    name: str,
) -> abc.Iterator[Problem]:
    if name not in current.organisations:
        known = ', '.join(sorted(current.organisations)) or 'none'
        text = f'unknown organisation "{name}".'
        yield Problem('N027', where, text, f'known: {known}')


def _check_contradiction(
    note: models.ReleaseNote,
    where: str,
    name: str,
) -> abc.Iterator[Problem]:
    for change in note.changes:
        match change:
            case models.AddVersion(upstream=upstream) if upstream == name:
                text = (
                    f'is withdrawn, but its version {change.version} is added.'
                )
                yield Problem('N028', where, text)


def _check_version(
    current: configuration.Configuration,
    where: str,
    change: models.AddVersion | models.WithdrawVersion,
) -> abc.Iterator[Problem]:
    spec = current.upstreams.get(change.upstream)
    if spec is None:
        return
    declared = _get_declared_versions(current, change.upstream)
    is_known = change.version in declared
    match change:
        case models.AddVersion() if change.version == spec.version:
            yield Problem('N029', where, 'is already the stable version.')
        case models.WithdrawVersion() if not is_known:
            known = ', '.join(sorted(declared))
            text = f'unknown version "{change.version}".'
            yield Problem('N030', where, text, f'known: {known}')


def _get_declared_versions(
    current: configuration.Configuration,
    upstream: str,
) -> set[str]:
    versions = {current.upstreams[upstream].version}
    for move in current.moves:
        if move.version and move.subject.split()[1] == upstream:
            versions.add(move.version)
    return versions


def _apply_change(
    current: configuration.Configuration,
    change: models.Change,
) -> configuration.Configuration:
    upstreams = dict(current.upstreams)
    organisations = dict(current.organisations)
    match change:
        case models.AddUpstream(spec=spec):
            upstreams[spec.name] = spec
        case models.ChangeUpstream(spec=spec):
            old_spec = upstreams[spec.name]
            keys = change.keys - {'action', 'deadline'}
            changed_values = {key: getattr(spec, key) for key in keys}
            upstreams[spec.name] = dataclasses.replace(
                old_spec, **changed_values
            )
        case models.WithdrawUpstream(name=name):
            upstreams.pop(name)
        case models.AddOrganisation(organisation=organisation):
            organisations[organisation.name] = organisation
        case models.ChangeOrganisation(organisation=organisation):
            old_organisation = organisations[organisation.name]
            keys = change.keys - {'action', 'deadline'}
            changed_values = {key: getattr(organisation, key) for key in keys}
            changed = dataclasses.replace(old_organisation, **changed_values)
            organisations[organisation.name] = changed
        case models.WithdrawOrganisation(name=name):
            organisations.pop(name)
    return dataclasses.replace(
        current,
        upstreams=upstreams,
        organisations=organisations,
    )
