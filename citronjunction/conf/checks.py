"""Validation beyond the types of single settings keys."""

import ipaddress
from collections import abc

from citronjunction.conf import exceptions, models

MIN_SECRET_CHARS = 16
PLATFORM_KEYS = ('object_api', 'cloud_api', 'host_list')


def check_settings(
    settings: models.Settings,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    """Yield all problems of settings whose keys have valid types."""
    yield from _check_addresses(settings, path)
    yield from _check_secret(settings, path)
    control = settings.control
    if control.margin_s >= control.lease_s:
        yield exceptions.Problem(
            'E008',
            f'{path} [control] margin_s',
            f'{control.margin_s} is not below lease_s {control.lease_s}.',
            'a lease holder must stop before its lease expires',
        )
    membership = settings.membership
    if membership.lost_after_s <= membership.heartbeat_s:
        yield exceptions.Problem(
            'E009',
            f'{path} [membership] lost_after_s',
            f'{membership.lost_after_s} is not above heartbeat_s.',
            'allow for several missed heartbeats',
        )


def _check_addresses(
    settings: models.Settings,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    if not _is_ip_address(settings.process.address):
        yield exceptions.Problem(
            'E006',
            f'{path} [process] address',
            f'"{settings.process.address}" is not an IP address.',
            'processes connect by IP address, for example 10.1.2.3',
        )
    for key in PLATFORM_KEYS:
        text = getattr(settings.platform, key)
        host, _, port = text.rpartition(':')
        if not (_is_ip_address(host) and port.isdecimal()):
            yield exceptions.Problem(
                'E007',
                f'{path} [platform] {key}',
                f'"{text}" is not IP:PORT.',
                'write for example 10.1.2.3:7000',
            )


def _check_secret(
    settings: models.Settings,
    path: str,
) -> abc.Iterator[exceptions.Problem]:
    if len(settings.membership.secret) < MIN_SECRET_CHARS:
        yield exceptions.Problem(
            'E010',
            f'{path} [membership] secret',
            f'shorter than {MIN_SECRET_CHARS} characters.',
            'set the same random secret in all processes',
        )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
