"""Spread workers over data centres, some of which may be short of them."""

from collections import abc

from citronjunction.gateway import models as gateway


def spread(
    need: int,
    zones: abc.Sequence[str],
    short_zones: abc.Collection[str],
    scaling: gateway.Scaling,
) -> dict[str, int]:
    """Divide workers evenly; the first data centres get the remainder.

    The share of short data centres is added to the others, as far as they have
    places. It is ordered from the short ones as well, in case they have
    workers again.
    """
    shares = _divide(need, zones, scaling)
    open_zones = [zone for zone in zones if zone not in short_zones]
    for zone, share in _divide(need, open_zones, scaling).items():
        shares[zone] = max(shares[zone], share)
    return shares


def retain_surplus(
    shares: abc.Mapping[str, int], started: abc.Mapping[str, int]
) -> dict[str, int]:
    """Keep workers above a share while other data centres lack some of theirs.

    ``started`` are the numbers of workers in use.
    """
    lacking = sum(
        max(0, share - started[zone]) for zone, share in shares.items()
    )
    retained = {}
    for zone, share in shares.items():
        kept = min(lacking, max(0, started[zone] - share))
        lacking -= kept
        retained[zone] = share + kept
    return retained


def take(count: int, places: abc.Mapping[str, int]) -> dict[str, int]:
    """Take a number from places, as far as there are some, in their order."""
    taken = {}
    for zone, available in places.items():
        taken[zone] = min(count, max(0, available))
        count -= taken[zone]
    return taken


def _divide(
    need: int, zones: abc.Sequence[str], scaling: gateway.Scaling
) -> dict[str, int]:
    share, remainder = divmod(need, max(1, len(zones)))
    return {
        zone: min(
            max(share + (order < remainder), scaling.minimum),
            scaling.maximum,
        )
        for order, zone in enumerate(zones)
    }
