"""Checks for entries of a configuration that can never match."""

import collections
from collections import abc

from citronjunction.conf import exceptions
from citronjunction.gateway import models as gateway
from citronjunction.inspection import models


def check(draft: models.Draft) -> abc.Iterator[exceptions.Problem]:
    """Yield the problems of entries that no request can match."""
    yield from _check_prefixes(draft.configuration)
    yield from _check_targets(draft.configuration)
    yield from _check_duplicates('service', draft.upstreams)
    yield from _check_duplicates('organisation', draft.organisations)
    yield from _check_keys(draft)
    yield from _check_unused(draft)


def _check_prefixes(
    configuration: gateway.Configuration,
) -> abc.Iterator[exceptions.Problem]:
    seen: dict[tuple[str, str], gateway.Route] = {}
    for route in configuration.routes:
        where = models.describe_route(route)
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield exceptions.Problem(
                'E111',
                where,
                'no path matches a prefix without a slash at both ends.',
                'begin and end the prefix with a slash',
            )
        key = (route.host.lower(), route.prefix)
        replaced = seen.get(key)
        if replaced is not None:
            yield exceptions.Problem(
                'E112',
                models.describe_route(replaced),
                f'route {route.name} has the same host and prefix and'
                ' replaces it.',
                'remove one of the two',
            )
        seen[key] = route


def _check_targets(
    configuration: gateway.Configuration,
) -> abc.Iterator[exceptions.Problem]:
    for route in configuration.routes:
        where = models.describe_route(route)
        for target in route.targets:
            if target.upstream not in configuration.upstreams:
                yield exceptions.Problem(
                    'E113',
                    where,
                    f'there is no service "{target.upstream}".',
                    'add the service, or name one that is listed',
                )
            if target.weight < 0:
                yield exceptions.Problem(
                    'E114',
                    where,
                    f'the weight of {target.upstream} is {target.weight}.',
                    'weights are 0 or more',
                )
        if sum(max(0, target.weight) for target in route.targets) <= 0:
            yield exceptions.Problem(
                'E115',
                where,
                'no service of the split has a weight above 0.',
                'give one of them a weight',
            )


def _check_duplicates(
    kind: str, names: abc.Iterable[str]
) -> abc.Iterator[exceptions.Problem]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield exceptions.Problem(
                'E116',
                f'{kind} {name}',
                f'listed {count} times; only the last one counts.',
                'remove the others',
            )


def _check_keys(draft: models.Draft) -> abc.Iterator[exceptions.Problem]:
    owners: dict[str, str] = {}
    for key, organisation in draft.keys:
        owner = owners.setdefault(key, organisation)
        if owner != organisation:
            yield exceptions.Problem(
                'E117',
                f'organisation {owner}',
                f'key {models.mask_key(key)} also belongs to {organisation},'
                ' which gets its requests.',
                'give each organisation keys of its own',
            )


def _check_unused(draft: models.Draft) -> abc.Iterator[exceptions.Problem]:
    targets = {
        target.upstream
        for route in draft.configuration.routes
        for target in route.targets
        if target.weight > 0
    }
    for name in dict.fromkeys(draft.upstreams):
        if name not in targets:
            yield exceptions.Problem(
                'W111',
                f'service {name}',
                'no route sends requests to it.',
                'add a route, or remove the service',
            )
    with_keys = {organisation for _, organisation in draft.keys}
    for name in dict.fromkeys(draft.organisations):
        if name not in with_keys:
            yield exceptions.Problem(
                'W112',
                f'organisation {name}',
                'it has no key, so no request is its own.',
                'add a key, or remove the organisation',
            )
