"""Samples of a build's messages, facts and stored records, with its own code.

Run in a process that imports the build under record; prints JSON.
"""

import collections
import dataclasses
import json
import pathlib
import sys
import typing
import uuid

import citronjunction
from citronjunction.membership import facts, messages, table

NOW_S = 1_800_000_000.0
AGES_S = (1, 5, 15, 25, 45, 90, 150, 250, 400, 700, 1000, 2000)
STORED_KINDS = (
    'citron-leases',
    'citron-checkpoints',
    'citron-usage',
    'rollouts',
)
# Fields whose text is one of a few.
CHOICES = {'constraint': 'requests'}
# Seconds; together a usage window, its report and a rollout.
PHASES = {'begun': 6, 'over': 18}


def main() -> None:
    """Print the samples of the build whose folder is given."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    if folder not in pathlib.Path(citronjunction.__file__).resolve().parents:
        raise SystemExit('the code under record is not first on the path')
    json.dump(collect(), sys.stdout, indent=1, sort_keys=True)


def collect() -> dict:
    """Return the schema, the frames and the stored records of the build."""
    message_classes = typing.get_args(messages.Message)
    fact_classes = typing.get_args(facts.Fact)
    classes = (*message_classes, *fact_classes, facts.EvidenceRow)
    return {
        'protocol': messages.PROTOCOL_VERSION,
        'schema': {
            get_kind(sampled_class): describe(sampled_class)
            for sampled_class in classes
        },
        'messages': {
            get_kind(sampled_class): sample_message(sampled_class)
            for sampled_class in message_classes
        },
        'facts': {
            get_kind(sampled_class): sample_fact(sampled_class)
            for sampled_class in fact_classes
        },
        'stored': sample_stored(),
    }


def get_kind(sampled_class: type) -> str:
    """Return the kind with which arrays of a class start."""
    field = sampled_class.__dataclass_fields__.get('kind')
    return 'evidence_row' if field is None else field.default


def describe(sampled_class: type) -> list:
    """Return the name, type and default, if any, of each field."""
    fields = []
    for field in dataclasses.fields(sampled_class):
        if field.name == 'kind':
            continue
        described = [field.name, spell(resolve(sampled_class)[field.name])]
        if field.default is not dataclasses.MISSING:
            described.append(to_json(field.default))
        elif field.default_factory is not dataclasses.MISSING:
            described.append(to_json(field.default_factory()))
        fields.append(described)
    return fields


def resolve(sampled_class: type) -> dict:
    """Return the types of a class's fields, without annotations."""
    return typing.get_type_hints(sampled_class)


def spell(hint: object) -> str:
    """Return the text of a type."""
    if typing.get_origin(hint) is None:
        return hint.__name__ if isinstance(hint, type) else str(hint)
    if typing.get_origin(hint) is typing.Union:
        names = sorted(map(spell, typing.get_args(hint)))
        return '|'.join(names)
    return str(hint).replace('typing.', '').rpartition('membership.')[2]


def sample(sampled_class: type) -> object:
    """Return an instance; each field has a value other than its default."""
    hints = resolve(sampled_class)
    return sampled_class(
        **{
            field.name: sample_value(field.name, hints[field.name])
            for field in dataclasses.fields(sampled_class)
            if field.name != 'kind'
        }
    )


def sample_value(name: str, hint: object) -> object:
    """Return a value of a type; times lie in the past few seconds."""
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if name in CHOICES:
        return CHOICES[name]
    if name == 'facts':
        return tuple(map(sample, typing.get_args(facts.Fact)))
    if origin is dict:
        key, value = arguments
        return {sample_value(name, key): sample_value(name, value)}
    if origin is tuple:
        items = [inner for inner in arguments if inner is not Ellipsis]
        return tuple(sample_value(name, inner) for inner in items)
    if origin is typing.Union:
        return sample_value(name, arguments[0])
    if dataclasses.is_dataclass(hint):
        return sample(hint)
    return sample_scalar(name, hint)


def sample_scalar(name: str, hint: type) -> object:
    if hint is str:
        return '7' if name == 'windows' else f'{name}-1'
    if hint is bool:
        return True
    if hint is int:
        return 3 + len(name)
    if hint is bytes:
        return bytes(range(32))
    if hint is float:
        return NOW_S - 0.5 if is_time(name) else 1.5
    return name


def is_time(name: str) -> bool:
    """Return whether the values of a field are times of day."""
    return name.endswith('_at') or name == 'crashes'


def sample_message(sampled_class: type) -> dict:
    """Return the frame of a message and its fields."""
    message = sample(sampled_class)
    return {
        'frame': messages.encode(message).hex(),
        'fields': to_json(message),
    }


def sample_fact(sampled_class: type) -> dict:
    """Return the frame of a fact, its fields, key, version and age."""
    fact = sample(sampled_class)
    return {
        'frame': messages.encode(messages.Facts((fact,))).hex(),
        'fields': to_json(fact),
        'key': facts.get_key(fact),
        'version': list(facts.get_version(fact)),
        'is_urgent': facts.is_urgent(fact),
        'kept_s': [
            age_s
            for age_s in AGES_S
            if not table.is_outdated(fact, NOW_S + age_s)
        ],
    }


def to_json(value: object) -> object:
    """Return a value as JSON, bytes in hexadecimal digits."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {key: to_json(inner) for key, inner in value.items()}
    if isinstance(value, (tuple, list)):
        return [to_json(inner) for inner in value]
    return value


def sample_stored() -> dict:
    """Return what two entries have stored, by the phase of a rollout."""
    from citronjunction.duties import lease_client
    from tests.support import platform_system

    lease_client.uuid.uuid4 = lambda: uuid.UUID(int=0)
    system = platform_system.PlatformSystem()
    system.configuration['tenants'][0].update({'ratePerS': 20, 'burst': 10})
    system.build(gateways=2)
    spec = {'service': 'app', 'target': 'v2', 'durationS': 10}
    system.store.put('rollouts', 'app', spec)
    system.add_worker('app-new', 'app', version='v2')
    stored = {}
    for phase, seconds in PHASES.items():
        for number in range(seconds * 4):
            system.send('/safe/x', gateway=f'gateway-{number % 2}')
            system.world.run(0.25)
        stored[phase] = {
            'at': system.world.now,
            'objects': list_stored(system.store),
        }
    return stored


def list_stored(store: object) -> dict:
    """Return the objects that entries store, by kind and name."""
    stored = collections.defaultdict(dict)
    for (kind, name), found in sorted(store.objects.items()):
        if kind in STORED_KINDS:
            stored[kind][name] = {
                'spec': found['spec'],
                'status': found.get('status', {}),
            }
    return stored


if __name__ == '__main__':
    main()
