"""Load: second attempts with little time left; reports of earlier builds."""

import types

import pytest

from citronjunction.gateway import choosing, dispatching
from citronjunction.rooms import answers
from tests.gateway import patterns as fleets


def build_flow(left_s, last_event=''):
    pool, chooser = fleets.build()
    for _ in range(answers.MIN_ANSWERS):
        chooser.rooms.get('llm').times.record('r', 0.1, 6.0)
    flow = types.SimpleNamespace(
        services=types.SimpleNamespace(chooser=chooser),
        request=types.SimpleNamespace(prompt=fleets.prompt()),
        route=types.SimpleNamespace(name='r'),
        upstream='llm',
        last_event=last_event,
        deadline_at=fleets.NOW + left_s,
    )
    worker = next(iter(pool.workers.values()))
    return flow, choosing.Candidate(worker, 0.1, 0, 0)


@pytest.mark.parametrize(
    ('left_s', 'last_event', 'is_sent'),
    [(1.8, '', False), (15.0, '', True), (1.8, '40', True)],
)
def test_an_attempt_is_made_only_if_it_may_end(left_s, last_event, is_sent):
    flow, candidate = build_flow(left_s, last_event)

    assert dispatching.can_end(flow, candidate, fleets.NOW) is is_sent


def test_requests_of_earlier_builds_wait_while_they_have_prompt_tokens():
    pool, _ = fleets.build(count=1)
    worker = pool.workers['w0']
    pool.set_peer_loads([{'w0': (4, 0, 3_000, 1_000)}])
    assert worker.peer_waiting == [0, 3, 1]

    pool.set_peer_loads([{'w0': (4, 0, 0, 0)}])
    assert worker.measure_occupancy(2).waiting == 0


def test_the_figures_of_a_lost_peer_leave_the_room():
    pool, _ = fleets.build(count=1)
    worker = pool.workers['w0']
    pool.set_peer_loads([{'w0': (9, 0, 500, 0, 0, 5, 0)}])
    assert worker.measure_occupancy(1).excess == 4

    pool.set_peer_loads([])
    assert worker.measure_occupancy(1).excess == 0


def test_drawing_needs_no_known_entries():
    pool, chooser = fleets.build()
    chooser.rooms.count_entries = lambda: 0
    for worker in pool.workers.values():
        worker.running = 30

    assert chooser.choose(
        'llm', fleets.prompt(), 1, (), fleets.NOW, lambda worker: True
    )
