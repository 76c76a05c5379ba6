"""Hidden queues: first events that are overdue tell of a worker's wait.

The load: more requests than slots, or a slow spell, at some workers; the
prompts that wait there are not in any report yet.
"""

import pytest

from citronjunction.gateway import shedding
from citronjunction.pacing import outstanding, worker_pace
from tests.gateway import patterns

LATENCY_TARGET_S = 0.5


def choose(chooser, urgency=1, now=patterns.NOW):
    return chooser.choose(
        'llm',
        patterns.prompt(shared=700, own=600),
        urgency,
        (),
        now,
        lambda worker: True,
    )


def expect(worker, urgency=1, expected_s=0.05, now=patterns.NOW):
    request = object()
    worker.pace.outstanding.expect(request, urgency, expected_s, now)
    return request


def test_a_first_event_is_not_overdue_before_twice_its_estimate():
    waiting = outstanding.Outstanding()
    waiting.expect('r', 1, 0.2, 10)

    assert waiting.get_overdue_s(1, 10.5) == 0
    assert waiting.get_overdue_s(1, 10.8) == pytest.approx(0.3)


def test_the_earliest_due_counts_until_it_is_settled():
    waiting = outstanding.Outstanding()
    waiting.expect('first', 1, 0, 10)
    waiting.expect('second', 1, 0, 11)

    assert waiting.get_overdue_s(1, 12) == pytest.approx(1.9)
    waiting.settle('first')
    assert waiting.get_overdue_s(1, 12) == pytest.approx(0.9)
    waiting.settle('second')
    assert waiting.get_overdue_s(1, 12) == 0


def test_less_urgent_requests_that_wait_tell_nothing_of_urgent_ones():
    waiting = outstanding.Outstanding()
    waiting.expect('r', 2, 0, 10)

    assert waiting.get_overdue_s(1, 12) == 0
    assert waiting.get_overdue_s(2, 12) > 0


def test_settling_twice_or_an_unknown_request_changes_nothing():
    pace = worker_pace.WorkerPace()
    assert pace.outstanding.settle('unknown') is None
    assert pace.record_answer('unknown', 1, 10) is None
    assert pace.get_overdue_s(2, 10) == 0


def test_a_worker_in_a_slow_spell_is_avoided_until_it_answers():
    pool, chooser = patterns.build()
    slow = choose(chooser).worker
    request = expect(slow)
    later = patterns.NOW + 1

    assert choose(chooser, now=later).worker is not slow
    slow.pace.record_answer(request, 1, later)
    assert choose(chooser, now=later).worker is slow


def test_prompts_are_refused_while_all_workers_are_behind():
    pool, chooser = patterns.build(count=3)
    for worker in pool.workers.values():
        expect(worker)

    later = patterns.NOW + 1
    candidate = choose(chooser, now=later)
    assert shedding.check_queue(LATENCY_TARGET_S, candidate.queue_s) is not None
    urgent = choose(chooser, urgency=0, now=later)
    assert shedding.check_queue(LATENCY_TARGET_S, urgent.queue_s) is None


def test_one_worker_that_keeps_up_serves_while_the_others_are_behind():
    pool, chooser = patterns.build(count=3)
    for worker in list(pool.workers.values())[1:]:
        expect(worker)

    candidate = choose(chooser, now=patterns.NOW + 1)
    assert candidate.worker.registration.name == 'w0'
    assert shedding.check_queue(LATENCY_TARGET_S, candidate.queue_s) is None
