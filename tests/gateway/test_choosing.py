"""Selection of workers for prompts and plain requests."""

import collections

import pytest

from citronjunction.gateway import choosing
from tests.gateway import patterns

ALL = 1000  # requests of a pattern


def choose(chooser, wanted, tried=()):
    return chooser.choose(
        'llm', wanted, 1, tried, patterns.NOW, lambda worker: True
    )


def test_prompts_that_share_a_part_go_to_the_same_worker():
    _, chooser = patterns.build()
    other = patterns.build()[1]

    names = {
        choose(balancer, patterns.prompt()).worker.registration.name
        for balancer in (chooser, other)
        for _ in range(10)
    }

    assert len(names) == 1


def test_prompts_with_different_parts_spread_over_all_workers():
    _, chooser = patterns.build()

    counts = collections.Counter(
        choose(chooser, patterns.prompt(f'p{number}')).worker.registration.name
        for number in range(ALL)
    )

    assert len(counts) == 8
    assert max(counts.values()) < 2 * ALL / 8


def test_a_part_in_high_demand_spreads_to_its_second_worker_first():
    pool, chooser = patterns.build()
    counts = collections.Counter()
    for _ in range(4):
        candidate = choose(chooser, patterns.prompt())
        candidate.worker.prefill_tokens[1] += candidate.prefill_tokens
        counts[candidate.worker.registration.name] += 1

    affine = choosing.rank_by_affinity('p1', pool.select('llm'))
    assert set(counts) <= {worker.registration.name for worker in affine[:2]}
    assert len(counts) == 2


def test_a_prompt_that_shares_little_avoids_a_busy_worker():
    pool, chooser = patterns.build()
    small = patterns.prompt(shared=200 + 500, own=600)
    first = choose(chooser, small).worker
    first.prefill_tokens[1] = 60_000

    assert choose(chooser, small).worker is not first


def test_the_load_of_other_entries_counts():
    pool, chooser = patterns.build()
    first = choose(chooser, patterns.prompt()).worker
    pool.set_peer_loads([{first.registration.name: (4, 0, 120_000, 0)}])

    assert choose(chooser, patterns.prompt()).worker is not first


@pytest.mark.parametrize('wanted', [patterns.prompt(), None])
def test_draining_and_tried_workers_are_left_out(wanted):
    pool, chooser = patterns.build(count=3)
    tried = pool.workers['w0']
    pool.remove(pool.workers['w1'])

    names = {
        choose(chooser, wanted, tried=[tried]).worker.registration.name
        for _ in range(20)
    }

    assert names == {'w2'}


def test_an_ejected_worker_gets_no_requests():
    pool, chooser = patterns.build(count=4)
    for _ in range(3):
        pool.workers['w1'].health.record_failure(patterns.NOW)

    names = {choose(chooser, None).worker.registration.name for _ in range(50)}

    assert 'w1' not in names
    assert names


def test_ejection_is_ignored_if_most_workers_are_ejected():
    pool, chooser = patterns.build(count=4)
    for worker in pool.workers.values():
        worker.health.record_unreachable(patterns.NOW)

    names = {choose(chooser, None).worker.registration.name for _ in range(50)}

    assert len(names) > 1


def test_plain_requests_go_to_the_least_busy_worker():
    pool, chooser = patterns.build(count=4)
    for name, running in (('w0', 3), ('w1', 2), ('w2', 5)):
        pool.workers[name].running = running

    assert choose(chooser, None).worker.registration.name == 'w3'


def test_a_worker_whose_registration_vanished_is_the_last_choice():
    pool, chooser = patterns.build(count=2)
    pool.mark_absent('w1')
    pool.workers['w0'].running = 5

    assert choose(chooser, None).worker.registration.name == 'w0'
