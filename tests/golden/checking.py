"""Comparison of the present build with the recorded samples of another."""

import dataclasses
import typing

from citronjunction.membership import facts, messages, table
from tests.golden import sampling


def list_classes():
    """Return the classes of the present build by kind."""
    classes = (
        *typing.get_args(messages.Message),
        *typing.get_args(facts.Fact),
        facts.EvidenceRow,
    )
    return {sampling.get_kind(listed): listed for listed in classes}


def check_schema(recorded, classes):
    """Return what keeps the classes from reading and writing as recorded."""
    problems = []
    for kind, fields in recorded.items():
        if kind not in classes:
            problems.append(f'{kind} is not known')
            continue
        present = sampling.describe(classes[kind])
        for position, field in enumerate(fields):
            found = present[position : position + 1]
            if found != [field]:
                problems.append(f'{kind}: {field} is now {found}')
        problems.extend(
            f'{kind}: {name} has no default'
            for name, _, *default in present[len(fields) :]
            if not default
        )
    return problems


def check_message(sample):
    """Return how a recorded message is read otherwise than it was written."""
    try:
        message = messages.decode(bytes.fromhex(sample['frame']))
    except messages.MessageError as error:
        return [str(error)]
    if message is None:
        return ['the kind is not known']
    return check_fields(message, sample['fields'])


def check_fact(sample):
    """Return how a recorded fact is read otherwise than it was written."""
    try:
        message = messages.decode(bytes.fromhex(sample['frame']))
    except messages.MessageError as error:
        return [str(error)]
    if not message.facts:
        return ['the kind is not known']
    (fact,) = message.facts
    present = {
        'key': facts.get_key(fact),
        'version': list(facts.get_version(fact)),
        'is_urgent': facts.is_urgent(fact),
        'kept_s': [
            age_s
            for age_s in sampling.AGES_S
            if not table.is_outdated(fact, sampling.NOW_S + age_s)
        ],
    }
    problems = check_fields(fact, sample['fields'])
    problems.extend(
        f'{name} is {value}, recorded {sample[name]}'
        for name, value in present.items()
        if value != sample[name]
    )
    return problems


def check_fields(read, recorded):
    """Return the fields that differ; those added since have defaults."""
    present = sampling.to_json(read)
    problems = [
        f'{name}: {present.get(name)!r}, recorded {value!r}'
        for name, value in recorded.items()
        if name != 'facts' and present.get(name) != value
    ]
    for field in dataclasses.fields(read):
        if field.name not in recorded:
            value = getattr(read, field.name)
            if value != field.default and value != field.default_factory():
                problems.append(f'{field.name}: {value!r} is not the default')
    return problems
