"""The computed need carries loads on drawn engines, without a network."""

import heapq
import random

import pytest

from citronjunction.capacity import need, observing, occupancy, queueing

ZONES = 4
SEEDS = range(12)


def draw_engine(source):
    """Return the slots and prompt tokens a second of an engine."""
    return source.choice([4, 8, 12, 16, 64, 160]), source.uniform(20e3, 200e3)


def observe(source, speed, *, count=200, target_s=1.0):
    """Return observations of prompts that an idle engine has read."""
    seen = observing.Observations()
    for _ in range(count):
        tokens = min(40_000, round(source.lognormvariate(8, 0.8)))
        prefill = tokens // 2 + 1
        first_s = prefill / speed + source.uniform(0.005, 0.02)
        seen.record(
            'llm',
            observing.FirstEvent(
                tokens, prefill, tokens + 400, first_s, target_s
            ),
        )
    return seen


def share_that_waits(source, workers, slots, rate, held_s):
    """Send calls to the least busy of the workers; return who finds none."""
    running = [0] * workers
    ends = []
    now = 0.0
    waited = 0
    count = 4000
    for _ in range(count):
        now += source.expovariate(rate)
        while ends and ends[0][0] <= now:
            running[heapq.heappop(ends)[1]] -= 1
        pair = source.sample(range(workers), min(2, workers))
        best = min(pair, key=running.__getitem__)
        waited += running[best] >= slots
        running[best] += 1
        heapq.heappush(ends, (now + source.expovariate(1 / held_s), best))
    return waited / count


@pytest.mark.parametrize('seed', SEEDS)
def test_slots_suffice_after_the_loss_of_data_centres(seed):
    # Long runs of short prompts: prefill is no limit, slots are.
    source = random.Random(seed)
    slots, _ = draw_engine(source)
    held_s = source.uniform(0.2, 4)
    rate = slots * source.uniform(3, 10) / held_s
    demand = need.Demand(rate * 10, rate * held_s)
    needed = need.compute_need(demand, need.Room(slots, 0), None, ZONES)

    left = needed.planned * (ZONES - need.LOST_ZONES) // ZONES
    waits = share_that_waits(source, left, slots, rate, held_s)
    assert waits <= 2 * need.WAIT_SHARE
    # What is bought is not idle for the most part.
    assert rate * held_s / slots / needed.planned > 0.15


@pytest.mark.parametrize('seed', SEEDS)
def test_the_largest_prompts_are_read_in_time_if_the_engine_can(seed):
    source = random.Random(seed)
    _, speed = draw_engine(source)
    profile = observe(source, speed).describe('llm')
    tokens_per_s = source.uniform(2e5, 3e6)
    needed = need.compute_need(
        need.Demand(tokens_per_s, 0), need.Room(64, 0), profile, ZONES
    )

    left = needed.planned * (ZONES - need.LOST_ZONES) / ZONES
    utilisation = tokens_per_s * profile.prefill_share / speed / left
    reference = (
        (need.TARGET_WORKER_TOKENS_PER_S / need.REFERENCE_TOKENS_PER_S)
        * ZONES
        / (ZONES - need.LOST_ZONES)
    )
    alone_s = profile.longest_share / (1 - utilisation)
    assert alone_s <= need.TARGET_SHARE * 1.1 or utilisation <= reference


def test_a_faster_engine_needs_fewer_workers_and_a_slower_one_more():
    room = need.Room(64, 0)
    demand = need.Demand(1e6, 0)
    profiles = [
        observe(random.Random(1), speed).describe('llm')
        for speed in (20e3, 70e3, 200e3)
    ]
    slow, usual, fast = (
        need.compute_need(demand, room, profile, ZONES).planned
        for profile in profiles
    )

    assert slow > 2 * usual
    assert fast < 0.7 * usual


def test_without_observations_the_need_is_that_of_the_reference_engine():
    demand = need.Demand(1_400_000, 0)
    needed = need.compute_need(demand, need.Room(12, 0), None, ZONES)

    assert (needed.planned, needed.least) == (78, 42)


def test_prompts_that_fill_the_cache_need_workers():
    # Few, long runs: their KV cache is taken before slots or prefill are.
    profile = observing.Profile(100e3, 0.1, 0.1, 50_000)
    demand = need.Demand(50_000, 100)
    needed = need.compute_need(demand, need.Room(160, 500_000), profile, ZONES)

    assert needed.cache > max(needed.slots, needed.prefill)
    assert needed.planned >= 13


def test_refused_requests_do_not_lower_the_slot_time():
    slot_time = occupancy.SlotTime()
    slot_time.record(200, 1e6, 1e6, 0)
    # An overload: the demand triples, and two thirds of it are refused.
    slot_time.record(200, 3e6, 3e6, 1)

    assert slot_time.measure(1) > 0.9 * 200 / 1e6


def test_runs_that_outlast_their_demand_do_not_raise_the_slot_time():
    slot_time = occupancy.SlotTime()
    slot_time.record(200, 1e6, 1e6, 0)
    # All entries are lost: callers reach none, and runs go on for a while.
    slot_time.record(150, 1e4, 1e6, 1)

    assert slot_time.measure(1) <= 200 / 1e6


def test_few_or_odd_observations_are_no_profile():
    seen = observe(random.Random(2), 70e3, count=observing.MIN_SAMPLES - 1)
    assert seen.describe('llm') is None
    assert seen.describe('other') is None
    seen.record('llm', observing.FirstEvent(5000, 5000, 5400, 0, 0))

    profile = seen.describe('llm')
    assert 20e3 < profile.prefill_tokens_per_s < 200e3


@pytest.mark.parametrize('slots', [1, 4, 12, 160])
def test_the_busy_limit_grows_with_the_slots(slots):
    limit = queueing.compute_busy_limit(slots, need.WAIT_SHARE)
    probability = queueing.compute_wait_probability(slots, limit)

    assert 0 < limit < slots
    assert abs(probability - need.WAIT_SHARE) < 0.001
