"""What a configuration changes, by name and effect."""

import dataclasses
from collections import abc

from citronjunction.conf import exceptions
from citronjunction.gateway import models as gateway
from citronjunction.inspection import models

ROUTE_EFFECTS = {
    'name': 'is renamed',
    'kind': 'other requests may be repeated',
    'targets': 'requests go elsewhere',
    'timeout_s': 'the longest time of an answer changes',
    'latency_target_s': 'the target latency changes',
    'max_workers': 'the number of workers that are tried changes',
    'rank': 'the urgency changes',
    'is_public': 'whether a key is needed changes',
    'can_resume': 'whether broken streams are resumed changes',
    'is_prompt': 'whether prompts are routed by their shared parts changes',
    'event_gap_s': 'the longest pause between events changes',
}


def check_version(
    draft: gateway.Configuration, current: gateway.Configuration
) -> abc.Iterator[exceptions.Problem]:
    """Yield a problem if the version is not above the one in force."""
    if draft.version <= current.version:
        yield exceptions.Problem(
            'E131',
            f'version {draft.version}',
            f'version {current.version} is in force.',
            'number a new version above it',
        )


def compare(
    draft: gateway.Configuration, current: gateway.Configuration
) -> list[models.Change]:
    """Return the changes of routes, services, organisations and limits."""
    return [
        *_compare_routes(draft, current),
        *_compare_upstreams(draft, current),
        *_compare_organisations(draft, current),
        *_compare_keys(draft, current),
        *_list_changed('limits', draft.limits, current.limits),
    ]


def _compare_routes(
    draft: gateway.Configuration, current: gateway.Configuration
) -> abc.Iterator[models.Change]:
    new = _index_routes(draft)
    old = _index_routes(current)
    for key in sorted(old.keys() - new.keys()):
        yield models.Change(
            models.describe_route(old[key]), _describe_removal(key, new)
        )
    for key, route in new.items():
        subject = models.describe_route(route)
        if key not in old:
            targets = _describe_targets(route)
            yield models.Change(subject, f'added: requests go to {targets}')
            continue
        yield from _compare_route(subject, route, old[key])


def _describe_removal(
    key: tuple[str, str],
    remaining: abc.Mapping[tuple[str, str], gateway.Route],
) -> str:
    """Return what happens to the requests of a route that is removed."""
    host, prefix = key
    shorter = [
        other
        for other in remaining
        if other[0] == host and prefix.startswith(other[1])
    ]
    if not shorter:
        return 'removed: its requests get 404'
    longest = max(shorter, key=_measure_prefix)
    name = models.describe_route(remaining[longest])
    return f'removed: its requests match {name}'


def _measure_prefix(key: tuple[str, str]) -> int:
    _, prefix = key
    return len(prefix)


def _compare_route(
    subject: str, new: gateway.Route, old: gateway.Route
) -> abc.Iterator[models.Change]:
    for name, effect in ROUTE_EFFECTS.items():
        before = getattr(old, name)
        after = getattr(new, name)
        if before == after:
            continue
        if name == 'targets':
            before = _describe_targets(old)
            after = _describe_targets(new)
        elif name == 'kind':
            before, after = before.value, after.value
        yield models.Change(subject, f'{effect}: {before} -> {after}')


def _compare_upstreams(
    draft: gateway.Configuration, current: gateway.Configuration
) -> abc.Iterator[models.Change]:
    yield from _list_names('service', draft.upstreams, current.upstreams)
    for name, new in draft.upstreams.items():
        old = current.upstreams.get(name)
        if old is not None:
            yield from _list_changed(f'service {name}', new, old)


def _compare_organisations(
    draft: gateway.Configuration, current: gateway.Configuration
) -> abc.Iterator[models.Change]:
    yield from _list_names(
        'organisation', draft.organisations, current.organisations
    )
    for name, new in draft.organisations.items():
        old = current.organisations.get(name)
        if old is not None:
            yield from _list_changed(f'organisation {name}', new, old)


def _compare_keys(
    draft: gateway.Configuration, current: gateway.Configuration
) -> abc.Iterator[models.Change]:
    for key, organisation in current.keys.items():
        if draft.keys.get(key) != organisation:
            yield models.Change(
                f'organisation {organisation}',
                f'key {models.mask_key(key)} is taken away: requests with it'
                ' get 401 or count for another organisation',
            )
    for key, organisation in draft.keys.items():
        if current.keys.get(key) != organisation:
            yield models.Change(
                f'organisation {organisation}',
                f'key {models.mask_key(key)} is added',
            )


def _list_names(
    kind: str, new: abc.Iterable[str], old: abc.Iterable[str]
) -> abc.Iterator[models.Change]:
    for name in sorted(set(old) - set(new)):
        yield models.Change(f'{kind} {name}', 'removed')
    for name in sorted(set(new) - set(old)):
        yield models.Change(f'{kind} {name}', 'added')


def _list_changed(
    subject: str, new: object, old: object
) -> abc.Iterator[models.Change]:
    """Yield the fields of two data classes of one type that differ."""
    for field in dataclasses.fields(new):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield models.Change(subject, f'{field.name}: {before} -> {after}')


def _index_routes(
    configuration: gateway.Configuration,
) -> dict[tuple[str, str], gateway.Route]:
    return {
        (route.host.lower(), route.prefix): route
        for route in configuration.routes
    }


def _describe_targets(route: gateway.Route) -> str:
    return ', '.join(
        f'{target.upstream} ({target.weight:g})' for target in route.targets
    )
