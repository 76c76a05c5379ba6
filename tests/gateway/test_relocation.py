"""Streams that a reclaim would cut off are moved to another worker."""

import pytest

from tests.support import moving, platform_system, scripted

EVENTS = moving.EVENTS
numbers = moving.read_numbers
drain = moving.drain
reclaim = moving.reclaim


@pytest.fixture
def deployed():
    return moving.build()


def start_stream(deployed):
    answer = deployed.send('/stream/x', method='POST', deadline_ms=15000)
    deployed.world.run(0.5)
    signer = answer.headers['signature'].removeprefix('sig.')
    other = 'llm-1' if signer == 'llm-0' else 'llm-0'
    return answer, signer, other


def test_a_stream_resumes_from_its_kv_cache_at_another_worker(deployed):
    answer, source, target = start_stream(deployed)
    reclaim(deployed, source, 2.4)
    deployed.world.run(6)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.headers['signature'] == f'sig.{source}'
    (run,) = deployed.workers[target].runs
    assert run.headers['kv-from'].startswith('10.8.0.')
    assert run.headers['kv-from'].endswith('/h-request-1')
    assert run.headers['last-event-id']
    stops = [move['last'] for move in deployed.workers[source].moves]
    assert stops == [True]


def test_a_stream_that_ends_in_time_is_not_stopped(deployed):
    for worker in deployed.workers.values():
        worker.behaviour.event_count = 12
    answer, source, target = start_stream(deployed)
    reclaim(deployed, source, 2.4)
    deployed.world.run(2)

    assert answer.is_complete
    assert not deployed.workers[target].runs
    assert not deployed.workers[source].moves


def test_a_stream_resumes_at_its_worker_if_the_copy_is_refused(deployed):
    answer, source, target = start_stream(deployed)
    deployed.workers[source].move_status = 503
    drain(deployed, source, 2.4)
    deployed.world.run(8)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))
    assert len(deployed.workers[source].runs) == 2
    assert not deployed.workers[target].runs


def test_a_stream_is_cut_if_the_kv_cache_of_its_stopped_run_is_lost(deployed):
    answer, source, target = start_stream(deployed)
    deployed.workers[source].omits_handle = True
    reclaim(deployed, source, 2.4)
    deployed.world.run(4)

    assert answer.status == 200
    assert not answer.is_complete
    assert not deployed.workers[target].runs


def test_the_stream_of_a_caller_that_left_is_not_moved(deployed):
    answer, source, target = start_stream(deployed)
    drain(deployed, source, 2.4)
    deployed.world.run(1.0)
    answer.call.cancel()
    deployed.world.run(4)

    assert not deployed.workers[target].runs
    assert not deployed.gateways['gateway-0'].services.flows


def test_no_stream_is_moved_from_a_worker_that_drains_without_an_end_time(
    deployed,
):
    answer, source, _ = start_stream(deployed)
    deployed.set_state(source, 'draining')
    deployed.world.run(6)

    assert answer.is_complete
    assert not deployed.workers[source].moves


def move_unframed_stream(deployed, *, has_run):
    """Close a stream as it is moved; its run has ended unless ``has_run``."""
    status, body = (200, b'{"handle": "h"}') if has_run else (404, b'{}')

    def answer_move(source, connection):
        source.stream.close_later(0)
        connection.send_later(0.05, scripted.respond(status, body))

    return moving.move(deployed, answer_move)


def test_an_unframed_stream_that_a_move_stops_is_not_complete(deployed):
    answer, _ = move_unframed_stream(deployed, has_run=True)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))


def test_an_unframed_stream_that_ends_as_it_is_moved_is_complete(deployed):
    answer, source = move_unframed_stream(deployed, has_run=False)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, source.number + 1))
    assert not deployed.workers['llm-1'].runs


def test_a_moved_stream_is_moved_again():
    deployed = moving.build(workers=3)
    answer, first, _ = start_stream(deployed)
    drain(deployed, first, 1.2)
    deployed.world.run(1.2)
    (second,) = (
        name
        for name, worker in deployed.workers.items()
        if worker.runs and name != first
    )
    drain(deployed, second, 1.2)
    deployed.world.run(8)

    assert answer.is_complete
    assert numbers(answer) == list(range(1, EVENTS + 1))
    assert deployed.count_runs('request-1') == 3
    assert len(deployed.workers[second].moves) == 1


# Guards against a result of the first move that hides that of the second.
def test_a_moved_stream_whose_second_move_fails_is_not_complete():
    deployed = moving.build(workers=3)
    answer, first, _ = start_stream(deployed)
    deployed.workers[first].move_status = 503
    drain(deployed, first, 1.2)
    deployed.world.run(1.2)
    assert len(deployed.workers[first].runs) == 2
    deployed.workers[first].move_status = 500
    node = deployed.gateways['gateway-0']
    node.relocations.schedule(node.services.fleet.workers[first])
    deployed.world.run(8)

    assert len(deployed.workers[first].moves) == 2
    assert answer.ended_at is not None
    assert not answer.is_complete


FORWARDED = {
    'moved': (200, b'{"handle": "h"}', True),
    'ended': (404, b'{}', True),
    'unclear': (500, b'{}', False),
}


# Guards against half a stream that a peer passes on as a whole one.
@pytest.mark.parametrize('kind', FORWARDED)
def test_a_stream_by_a_peer_ends_as_its_move_says(kind):
    status, body, is_complete = FORWARDED[kind]

    def answer_move(source, connection):
        source.end()
        connection.send_later(0.05, scripted.respond(status, body))

    deployed = moving.build(gateways=2)
    platform_system.forward_from_first(deployed)
    answer, source = moving.move(deployed, answer_move)

    assert len(source.moves) == 1
    assert answer.ended_at is not None
    assert answer.is_complete is is_complete
    if kind == 'moved':
        assert numbers(answer) == list(range(1, EVENTS + 1))
