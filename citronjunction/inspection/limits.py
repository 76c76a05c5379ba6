"""Checks for limits of a configuration that contradict each other."""

from collections import abc

from citronjunction.conf import exceptions
from citronjunction.gateway import models as gateway
from citronjunction.inspection import models


def check(
    configuration: gateway.Configuration,
) -> abc.Iterator[exceptions.Problem]:
    """Yield the contradictions between limits."""
    for route in configuration.routes:
        yield from _check_times(route)
        yield from _check_attempts(route, configuration)
    for upstream in configuration.upstreams.values():
        yield from _check_scaling(upstream)
        yield from _check_connections(upstream)
    for organisation in configuration.organisations.values():
        yield from _check_quota(organisation)
    yield from _check_callers(configuration.limits)


def _check_times(route: gateway.Route) -> abc.Iterator[exceptions.Problem]:
    where = models.describe_route(route)
    if route.timeout_s <= 0:
        yield exceptions.Problem(
            'E121',
            where,
            f'a timeout of {route.timeout_s} s lets no request be answered.',
            'set the longest time that a caller is kept waiting',
        )
    elif route.timeout_s < route.latency_target_s:
        yield exceptions.Problem(
            'W121',
            where,
            f'the timeout of {route.timeout_s} s is below the target latency'
            f' of {route.latency_target_s} s.',
            'raise the timeout, or lower the target',
        )
    is_stream = route.kind is gateway.RouteKind.stream
    has_long_pause = route.event_gap_s >= route.timeout_s
    if route.event_gap_s and has_long_pause:
        yield exceptions.Problem(
            'W122',
            where,
            f'a pause of {route.event_gap_s} s between events is as long as'
            f' the timeout of {route.timeout_s} s.',
            'raise the timeout, or lower the pause',
        )
    if route.can_resume and not is_stream:
        yield exceptions.Problem(
            'W123',
            where,
            f'only streams are resumed, and the route is {route.kind.value}.',
            'make it a stream, or not resumable',
        )


def _check_attempts(
    route: gateway.Route, configuration: gateway.Configuration
) -> abc.Iterator[exceptions.Problem]:
    for target in route.targets:
        upstream = configuration.upstreams.get(target.upstream)
        if upstream is None or upstream.scaling is None:
            continue
        most = upstream.scaling.maximum * len(upstream.scaling.prices)
        if route.max_workers > most:
            yield exceptions.Problem(
                'W124',
                models.describe_route(route),
                f'{route.max_workers} attempts, but {target.upstream} has at'
                f' most {most} workers.',
                'lower the attempts, or raise the most workers',
            )


def _check_scaling(
    upstream: gateway.UpstreamPolicy,
) -> abc.Iterator[exceptions.Problem]:
    scaling = upstream.scaling
    if scaling is None:
        return
    where = f'service {upstream.name}'
    if scaling.minimum > scaling.maximum:
        yield exceptions.Problem(
            'E122',
            where,
            f'at least {scaling.minimum} workers in a data centre, but at'
            f' most {scaling.maximum}.',
            'raise the most, or lower the least',
        )
    if scaling.maximum and not scaling.prices:
        yield exceptions.Problem(
            'W125',
            where,
            'no data centre has a price, so no worker is ordered.',
            'list the price of each data centre that it may use',
        )


def _check_connections(
    upstream: gateway.UpstreamPolicy,
) -> abc.Iterator[exceptions.Problem]:
    engine = upstream.engine
    limit = upstream.max_connections
    if engine is not None and 0 < limit < engine.slots:
        yield exceptions.Problem(
            'W126',
            f'service {upstream.name}',
            f'{limit} connections cannot fill the {engine.slots} slots of a'
            ' worker.',
            'allow a connection for each slot',
        )


def _check_quota(
    organisation: gateway.Organisation,
) -> abc.Iterator[exceptions.Problem]:
    quota = organisation.quota
    if quota is None or not quota.rate_per_s:
        return
    cost: float = 1
    if quota.unit is gateway.QuotaUnit.tokens:
        cost = quota.plain_cost
    if quota.rate_per_s + quota.burst < cost:
        yield exceptions.Problem(
            'W127',
            f'organisation {organisation.name}',
            f'{quota.rate_per_s} {quota.unit.value} a second and a burst of'
            f' {quota.burst} are less than one request ({cost}).',
            'raise the rate or the burst',
        )


def _check_callers(
    limits: gateway.CallerLimits,
) -> abc.Iterator[exceptions.Problem]:
    if limits.head_s > limits.idle_s:
        yield exceptions.Problem(
            'W128',
            'limits',
            f'a head may take {limits.head_s} s, but a connection is idle'
            f' after {limits.idle_s} s.',
            'raise the idle timeout, or lower the time for a head',
        )
    for name, size in (
        ('head', limits.head_bytes),
        ('body', limits.body_bytes),
    ):
        if size <= 0:
            yield exceptions.Problem(
                'E123',
                'limits',
                f'a {name} of {size} bytes lets no request in.',
                'set the size of the largest request',
            )
