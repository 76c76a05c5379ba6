"""Where prompts and plain requests go, pattern by pattern."""

import collections

import pytest

from citronjunction.gateway import choosing
from tests.gateway import patterns

ALL = 1000  # requests of a pattern


def choose(chooser, wanted, tried=()):
    return chooser.choose(
        'llm', wanted, 1, tried, patterns.NOW, lambda worker: True
    )


def test_prompts_that_share_a_part_meet_at_one_worker():
    _, chooser = patterns.build()
    other = patterns.build()[1]

    names = {
        choose(held, patterns.prompt()).worker.entry.name
        for held in (chooser, other)
        for _ in range(10)
    }

    assert len(names) == 1


def test_different_parts_spread_over_all_workers():
    _, chooser = patterns.build()

    counts = collections.Counter(
        choose(chooser, patterns.prompt(f'p{number}')).worker.entry.name
        for number in range(ALL)
    )

    assert len(counts) == 8
    assert max(counts.values()) < 2 * ALL / 8


def test_a_hot_part_spreads_to_its_second_worker_before_others():
    held, chooser = patterns.build()
    counts = collections.Counter()
    for _ in range(4):
        found = choose(chooser, patterns.prompt())
        found.worker.prefill_tokens[1] += found.prefill_tokens
        counts[found.worker.entry.name] += 1

    affine = choosing.rank_by_affinity('p1', held.select('llm'))
    assert set(counts) <= {worker.entry.name for worker in affine[:2]}
    assert len(counts) == 2


def test_a_busy_worker_loses_a_prompt_that_shares_little():
    held, chooser = patterns.build()
    small = patterns.prompt(shared=200 + 500, own=600)
    first = choose(chooser, small).worker
    first.prefill_tokens[1] = 60_000

    assert choose(chooser, small).worker is not first


def test_what_other_entries_wait_for_counts():
    held, chooser = patterns.build()
    first = choose(chooser, patterns.prompt()).worker
    held.set_peer_loads([{first.entry.name: (4, 0, 120_000, 0)}])

    assert choose(chooser, patterns.prompt()).worker is not first


@pytest.mark.parametrize('wanted', [patterns.prompt(), None])
def test_draining_and_tried_workers_are_left_out(wanted):
    held, chooser = patterns.build(count=3)
    tried = held.workers['w0']
    held.remove(held.workers['w1'])

    names = {
        choose(chooser, wanted, tried=[tried]).worker.entry.name
        for _ in range(20)
    }

    assert names == {'w2'}


def test_an_ejected_worker_rests():
    held, chooser = patterns.build(count=4)
    for _ in range(3):
        held.workers['w1'].health.record_failure(patterns.NOW)

    names = {choose(chooser, None).worker.entry.name for _ in range(50)}

    assert 'w1' not in names
    assert names


def test_a_common_cause_does_not_eject_the_fleet():
    held, chooser = patterns.build(count=4)
    for worker in held.workers.values():
        worker.health.record_unreachable(patterns.NOW)

    names = {choose(chooser, None).worker.entry.name for _ in range(50)}

    assert len(names) > 1


def test_plain_requests_go_to_the_least_busy_worker():
    held, chooser = patterns.build(count=4)
    for name, running in (('w0', 3), ('w1', 2), ('w2', 5)):
        held.workers[name].running = running

    assert choose(chooser, None).worker.entry.name == 'w3'


def test_a_worker_whose_entry_vanished_is_the_last_choice():
    held, chooser = patterns.build(count=2)
    held.mark_absent('w1')
    held.workers['w0'].running = 5

    assert choose(chooser, None).worker.entry.name == 'w0'
