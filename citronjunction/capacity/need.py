"""Workers that a demand needs: the largest of prefill, slots and KV cache."""

import dataclasses
import math

from citronjunction.capacity import observing, queueing

# Prefill speed that the figures below belong to, measured at first events.
REFERENCE_TOKENS_PER_S = 58000.0
# Prompt tokens a worker of that speed, whatever the size of the prompts: at the
# planned load, and the load above which first events are late.
TARGET_WORKER_TOKENS_PER_S = 18000.0
MAX_WORKER_TOKENS_PER_S = 34000.0
WAIT_SHARE = 0.05  # share of requests that may wait for a slot
TARGET_SHARE = 0.8  # of the objective, in which a prompt must be read
CACHE_SHARE = 0.8  # of the KV cache that runs may take; the rest keeps prefixes
# Data centres whose reclaimable workers one wave may take, and without which the
# planned number is enough: an on-demand worker takes its time to boot.
LOST_ZONES = 2
MAX_SPEED_RATIO = 3.0  # of the reference, beyond which a speed isn't believed


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Describe a worker: its slots, and its KV cache, 0 if unknown."""

    slots: int
    cache_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Describe the demand: prompt tokens a second and slots that they take.

    ``slots`` is 0 until it is measured.
    """

    tokens_per_s: float
    slots: float


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """Count workers: at the planned load, and the least that callers need.

    ``prefill``, ``slots`` and ``cache`` say what each kind of room asks for.
    """

    planned: int
    least: int
    prefill: float
    slots: float
    cache: float


def compute_need(
    demand: Demand,
    room: Room,
    profile: observing.Profile | None,
    zones: int,
) -> Need:
    """Return the need of a demand on workers in a number of data centres.

    The planned number stays enough without those of ``LOST_ZONES``.
    """
    left = max(1, zones - LOST_ZONES)
    spare = max(1, zones) / left
    slots = demand.slots / queueing.compute_busy_limit(
        max(1, room.slots), WAIT_SHARE
    )
    speed_ratio = _get_speed_ratio(profile)
    least = demand.tokens_per_s / MAX_WORKER_TOKENS_PER_S / speed_ratio
    planned = demand.tokens_per_s / TARGET_WORKER_TOKENS_PER_S / speed_ratio
    cache: float = 0
    if profile is not None:
        by_target = _compute_prefill_need(demand, profile) * spare
        planned = max(least, min(planned, by_target))
        if room.cache_tokens:
            resident = demand.slots * profile.resident_tokens
            cache = resident / (room.cache_tokens * CACHE_SHARE)
    return Need(
        math.ceil(max(planned, slots * spare, cache * spare)),
        math.ceil(max(least, slots, cache)),
        planned,
        slots,
        cache,
    )


def _get_speed_ratio(profile: observing.Profile | None) -> float:
    if profile is None:
        return 1
    ratio = profile.prefill_tokens_per_s / REFERENCE_TOKENS_PER_S
    return min(MAX_SPEED_RATIO, max(1 / MAX_SPEED_RATIO, ratio))


def _compute_prefill_need(demand: Demand, profile: observing.Profile) -> float:
    """Return the workers with which the largest prompts are read in time."""
    utilisation = queueing.compute_utilisation_limit(
        profile.longest_share, TARGET_SHARE
    )
    if not utilisation:
        return math.inf
    prefilled = demand.tokens_per_s * profile.prefill_share
    return prefilled / profile.prefill_tokens_per_s / utilisation
