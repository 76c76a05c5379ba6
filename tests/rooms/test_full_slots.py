"""Load: all slots are taken although the prefill queues are short."""

import dataclasses
import random

import pytest

from citronjunction.gateway import choosing, shedding
from citronjunction.rooms import estimates, models
from tests.gateway import patterns as fleets
from tests.rooms import patterns


def choose(chooser, urgency=1):
    return chooser.choose(
        'llm',
        fleets.prompt(shared=700, own=600),
        urgency,
        (),
        fleets.NOW,
        lambda worker: True,
    )


def test_no_wait_for_a_slot_while_one_is_free():
    for slots in (4, 16, 160):
        occupancy = models.Occupancy(slots, slots - 1, 0, 0)
        assert estimates.estimate_slot_wait_s(occupancy, 5) == 0


def test_the_wait_grows_with_the_requests_ahead_and_falls_with_the_slots():
    few = models.Occupancy(4, 12, 8, 8)
    many = dataclasses.replace(few, slots=8)
    assert estimates.estimate_slot_wait_s(few, 1) == pytest.approx(9 / 4)
    assert estimates.estimate_slot_wait_s(many, 1) == pytest.approx(5 / 8)


def test_urgent_requests_wait_only_for_those_as_urgent():
    pool, chooser = fleets.build(count=1)
    for worker in pool.workers.values():
        worker.running = 16
        worker.waiting[2] = 10

    assert choose(chooser, 0).slot_wait_s < choose(chooser, 2).slot_wait_s


def test_a_prompt_leaves_its_workers_when_their_slots_are_taken():
    pool, chooser = fleets.build()
    first = choose(chooser).worker
    first.running = 30
    first.waiting[1] = 24

    assert choose(chooser).worker is not first


def test_prompts_are_refused_when_every_worker_has_a_long_wait_for_slots():
    pool, chooser = fleets.build()
    for worker in pool.workers.values():
        worker.running = 30
        worker.waiting[1] = 24
    assert shedding.check_queue(0.5, choose(chooser).queue_s)

    next(iter(pool.workers.values())).running = 0
    next(iter(pool.workers.values())).waiting[1] = 0
    assert shedding.check_queue(0.5, choose(chooser).queue_s) is None


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(
    ('slots', 'share'), [(4, 0.65), (12, 0.75), (16, 0.75)]
)
def test_admitted_prompts_are_in_time_at_one_and_a_half_times_the_room(
    seed, slots, share
):
    source = random.Random(seed)
    engines = {
        f'w{number}': patterns.Engine(slots, source.uniform(20e3, 200e3))
        for number in range(10)
    }
    rate_per_s = 1.5 * slots * 10 / 0.8
    outcomes = patterns.Simulation(engines, seed=seed).run(
        patterns.draw_arrivals(seed, rate_per_s, 12)
    )

    sent = [outcome for outcome in outcomes if not outcome.is_refused]
    assert patterns.measure_in_time(sent) > share
    assert patterns.measure_in_time(outcomes) > 0.45
    urgent, middle, last = (
        patterns.measure_in_time(outcomes, urgency) for urgency in range(3)
    )
    assert urgent >= middle >= last


@pytest.mark.parametrize('seed', range(3))
def test_more_is_in_time_than_without_slots_at_eight_entries(seed):
    def measure(rule):
        engines = {
            f'w{number}': patterns.Engine(16, 66e3) for number in range(10)
        }
        arrivals = patterns.draw_arrivals(seed, 1.5 * 16 * 10 / 0.8, 12)
        return patterns.measure_in_time(
            patterns.Simulation(engines, 8, seed, rule).run(arrivals)
        )

    assert measure('rooms') > 1.2 * measure('prefill')


def test_a_hot_key_is_not_one_hot_worker():
    engines = {f'w{number}': patterns.Engine(12, 60e3) for number in range(10)}
    arrivals = patterns.draw_arrivals(5, 90, 10, keys=1)
    outcomes = patterns.Simulation(engines, seed=5).run(arrivals)

    assert patterns.measure_in_time(outcomes) > 0.9
    assert len({outcome.worker for outcome in outcomes}) == 10


def test_the_prior_reduces_to_the_prefill_queue_while_slots_are_free():
    pool, chooser = fleets.build(count=1)
    worker = pool.workers['w0']
    worker.prefill_tokens[1] = 58_000
    worker.waiting[1] = 3
    worker.running = 5

    assert choose(chooser).queue_s == pytest.approx(
        58_000 / choosing.PREFILL_TOKENS_PER_S
    )
