"""Decoding of the platform's configuration and rollout objects."""

from collections import abc
from typing import Annotated

import pydantic
from absl import logging
from pydantic import alias_generators

from citronjunction.conf import exceptions
from citronjunction.gateway import models
from citronjunction.inspection import models as inspection

MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1000000
KIND = 'config'
NAME = 'main'
ROLLOUT_KIND = 'rollouts'
MAX_ENGINE_FIGURE = 1e15  # a larger one is wrong
MAX_COLD_S = 3600.0
MAX_COLD_PER_S = 1e6

Number = float
Figure = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class WireModel(pydantic.BaseModel):
    """Decode camel-case names and ignore unknown fields."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        alias_generator=alias_generators.to_camel,
    )


class WireTarget(WireModel):
    """One upstream of a route that splits its traffic."""

    service: str
    weight: Number = 1


class WireRoute(WireModel):
    """One route."""

    name: str = ''
    host: str
    path_prefix: str
    type: models.RouteKind = models.RouteKind.unsafe
    service: str = ''
    split: tuple[WireTarget, ...] = ()
    timeout_ms: Number = 15000
    target_latency_ms: Number = 0  # answers within it are worth most
    gap_aim_ms: Number = 0  # longest pause between events, if any is stated
    attempts: int = 1  # limit on the workers that one request is sent to
    priority: int = 5
    public: bool = False
    resumable: bool = False
    sticky: bool = False  # true for routes whose requests describe a prompt


class WireScaling(WireModel):
    """Bounds and prices of workers in a data centre."""

    min: int = 0
    max: int = 0
    boot_s: Number = 0
    spot_price: Number = 1
    zone_prices: dict[str, Number] = {}


class WireEngine(WireModel):
    """Capacity and abilities of a model engine."""

    slots: int = 1
    kv_capacity: int = 0
    moves: bool = False
    backups: bool = False
    kv_token_bytes: object = 0
    link_mbps: object = 0


class WireColdStart(WireModel):
    """What a worker bears while it is cold."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    cold_s: float = pydantic.Field(
        default=0, ge=0, le=MAX_COLD_S, allow_inf_nan=False
    )
    cold_per_s: float = pydantic.Field(
        default=0, ge=0, le=MAX_COLD_PER_S, allow_inf_nan=False
    )


class WireService(WireModel):
    """One upstream; its figures of a cold start are decoded by themselves."""

    model_config = pydantic.ConfigDict(extra='allow')

    name: str
    health_path: str = ''
    max_conns: int = 0
    scaling: WireScaling | None = None
    engine: WireEngine | None = None


class WireQuota(WireModel):
    """The quota of an organisation."""

    unit: models.QuotaUnit = models.QuotaUnit.requests
    plain_tokens: Figure = 1  # cost of a request without a token count
    rate_per_s: Figure = 0
    burst: Figure = 0


class WireTenant(WireModel):
    """One organisation with its keys; its quota is decoded by itself."""

    model_config = pydantic.ConfigDict(extra='allow')

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class WireLimits(WireModel):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: Number = 3000
    idle_timeout_ms: Number = 15000


class WireConfiguration(WireModel):
    """The whole configuration."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    tenants: tuple[WireTenant, ...] = ()
    limits: WireLimits = WireLimits()


class WireRollout(WireModel):
    """A request to move an upstream to a version."""

    service: str
    target: str  # the version to move to
    duration_s: Number = 60


class WireRolloutStatus(WireModel):
    """The progress that this system has reported for a rollout."""

    state: models.RolloutState
    target: str


def decode(spec: object) -> models.Configuration | None:
    """Return the configuration, or log the first error and return None."""
    try:
        wire = WireConfiguration.model_validate(spec)
    except pydantic.ValidationError as error:
        logging.error(
            'configuration object is malformed: %s', _summarise(error)
        )
        return None
    return _build(wire)


def _build(wire: WireConfiguration) -> models.Configuration:
    return models.Configuration(
        wire.version,
        tuple(_build_route(route) for route in wire.routes),
        {service.name: _build_upstream(service) for service in wire.services},
        {tenant.name: _build_organisation(tenant) for tenant in wire.tenants},
        {
            key: tenant.name
            for tenant in wire.tenants
            for key in tenant.api_keys
        },
        models.CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def read_draft(
    spec: object, path: str
) -> inspection.Draft | list[exceptions.Problem]:
    """Return a configuration to inspect, or all errors of its fields.

    The errors name ``path`` and the place in the document. Quotas and figures
    of a cold start that can't be used are among them, though a running gateway
    keeps the last ones.
    """
    try:
        wire = WireConfiguration.model_validate(spec)
    except pydantic.ValidationError as error:
        return _list_errors(error, f'{path} ')
    problems = [
        *_check_extras(wire.services, WireColdStart, f'{path} services'),
        *_check_extras(wire.tenants, WireQuota, f'{path} tenants'),
    ]
    if problems:
        return problems
    return inspection.Draft(
        _build(wire),
        tuple(service.name for service in wire.services),
        tuple(tenant.name for tenant in wire.tenants),
        tuple(
            (key, tenant.name)
            for tenant in wire.tenants
            for key in tenant.api_keys
        ),
    )


def decode_rollout(
    spec: object,
    status: object,
    revision: int,
) -> models.Rollout | None:
    """Return the rollout, or log the first error and return None."""
    try:
        wire = WireRollout.model_validate(spec)
    except pydantic.ValidationError as error:
        logging.error('rollout object is malformed: %s', _summarise(error))
        return None
    return models.Rollout(
        wire.service,
        wire.target,
        wire.duration_s,
        revision,
        _read_state(status, wire.target),
    )


def encode_rollout_status(
    target: str,
    state: models.RolloutState,
) -> dict[str, object]:
    """Encode the status of a rollout for the store."""
    return {'state': state.value, 'target': target}


def _read_state(status: object, target: str) -> models.RolloutState | None:
    if not status:
        return None
    try:
        wire = WireRolloutStatus.model_validate(status)
    except pydantic.ValidationError as error:
        logging.warning('rollout status is malformed: %s', _summarise(error))
        return None
    return wire.state if wire.target == target else None


def _build_route(wire: WireRoute) -> models.Route:
    targets = tuple(
        models.Target(target.service, target.weight) for target in wire.split
    )
    return models.Route(
        wire.name,
        wire.host,
        wire.path_prefix,
        wire.type,
        targets or (models.Target(wire.service, 1),),
        wire.timeout_ms / MS_PER_S,
        wire.target_latency_ms / MS_PER_S,
        max(1, wire.attempts),
        wire.priority,
        wire.public,
        wire.resumable,
        wire.sticky,
        wire.gap_aim_ms / MS_PER_S,
    )


def compute_token_copy_s(wire: WireEngine) -> float:
    """Return the time to copy a token's KV cache, 0 if it is not stated."""
    match wire.kv_token_bytes, wire.link_mbps:
        case (int() | float()) as size, (int() | float()) as rate:
            if 0 < size < MAX_ENGINE_FIGURE and 0 < rate < MAX_ENGINE_FIGURE:
                return size * BITS_PER_BYTE / (rate * BITS_PER_MBIT)
    return 0


def _build_upstream(wire: WireService) -> models.UpstreamPolicy:
    scaling = None
    if wire.scaling is not None:
        scaling = models.Scaling(
            wire.scaling.min,
            wire.scaling.max,
            wire.scaling.boot_s,
            wire.scaling.spot_price,
            wire.scaling.zone_prices,
        )
    engine = None
    if wire.engine is not None:
        engine = models.Engine(
            wire.engine.slots,
            wire.engine.kv_capacity,
            wire.engine.moves,
            wire.engine.backups,
            compute_token_copy_s(wire.engine),
        )
    return models.UpstreamPolicy(
        wire.name,
        wire.health_path,
        wire.max_conns,
        scaling,
        engine,
        _build_cold_start(wire),
    )


def _build_cold_start(service: WireService) -> models.ColdStart | None:
    """Return the figures, or log why they are unusable and return None."""
    try:
        wire = WireColdStart.model_validate(service.model_extra)
    except pydantic.ValidationError as error:
        logging.error(
            'cold start of %s is unusable, the last one stays in force: %s',
            service.name,
            _summarise(error),
        )
        return None
    return models.ColdStart(wire.cold_s, wire.cold_per_s)


def _build_organisation(wire: WireTenant) -> models.Organisation:
    return models.Organisation(wire.name, wire.priority, _build_quota(wire))


def _build_quota(tenant: WireTenant) -> models.Quota | None:
    """Return the quota, or log why it is unusable and return None."""
    try:
        wire = WireQuota.model_validate(tenant.model_extra)
    except pydantic.ValidationError as error:
        logging.error(
            'quota of %s is unusable, the last one stays in force: %s',
            tenant.name,
            _summarise(error),
        )
        return None
    return models.Quota(
        wire.rate_per_s, wire.burst, wire.unit, wire.plain_tokens
    )


def _summarise(error: pydantic.ValidationError) -> str:
    first = _list_errors(error)[0]
    return f'{first.where}: {first.text} ({error.error_count()} errors)'


def _check_extras(
    items: abc.Iterable[WireModel], model: type[WireModel], where: str
) -> abc.Iterator[exceptions.Problem]:
    """Yield the errors in what a model decodes of each item by itself."""
    for order, item in enumerate(items):
        try:
            model.model_validate(item.model_extra)
        except pydantic.ValidationError as error:
            yield from _list_errors(error, f'{where}.{order}.')


def _list_errors(
    error: pydantic.ValidationError, prefix: str = ''
) -> list[exceptions.Problem]:
    """Return the fields that are malformed, by their place in the document."""
    return [
        exceptions.Problem(
            'E103',
            prefix + '.'.join(str(part) for part in item['loc']),
            item['msg'],
            'write the field as the platform describes it',
        )
        for item in error.errors(include_input=False, include_url=False)
    ]
