"""Many streams of one worker are moved, whose copies are made in turn."""

import pytest

from tests.support import moving

STREAMS = 40
COPY_S = 0.085  # of 12,000 tokens between data centres
NOTICE_S = 2.4


@pytest.fixture(params=[1, 2], ids=['one gateway', 'two gateways'])
def deployed(request):
    system = moving.build(gateways=request.param, zones=('z1', 'z2'))
    for worker in system.workers.values():
        worker.copy_s = COPY_S
        worker.copies_serially = True
        worker.behaviour.event_interval_s = 0.25
    return system


def start_streams(deployed):
    """Return the answers to streams that have begun."""
    names = list(deployed.gateways)
    answers = []
    for number in range(STREAMS):
        answers.append(
            deployed.send(
                '/stream/x',
                names[number % len(names)],
                method='POST',
                deadline_ms=15000,
            )
        )
        deployed.world.run(0.01)
    return answers


# Guards against copies that are still in the queue as their worker leaves.
def test_all_streams_of_a_reclaimed_worker_are_moved(deployed):
    answers = start_streams(deployed)
    deployed.world.run(1)
    served = [answer for answer in answers if answer.status == 200]
    moving.reclaim(deployed, 'llm-0', NOTICE_S)
    deployed.world.run(12)

    moves = deployed.workers['llm-0'].moves
    assert 15 <= len(moves) <= 20
    whole = [answer for answer in served if answer.is_complete]
    assert len(whole) == len(served)
    for answer in whole:
        assert moving.read_numbers(answer) == list(range(1, moving.EVENTS + 1))


# Guards against streams that stand still while others are copied.
def test_a_stream_is_stopped_when_its_copy_is_due(deployed):
    start_streams(deployed)
    deployed.world.run(1)
    moving.reclaim(deployed, 'llm-0', NOTICE_S)

    worker = deployed.workers['llm-0']
    stopped_at = sorted(worker.moved_at)
    last_at = worker.leaves_at - 0.9
    early = [at for at in stopped_at if at < last_at - 0.01]
    assert len(early) >= 10
    gaps = [later - sooner for sooner, later in zip(early, early[1:])]
    assert min(gaps) >= COPY_S - 0.02


def test_few_streams_are_stopped_as_late_as_can_be():
    deployed = moving.build(zones=('z1', 'z2'))
    answer = deployed.send('/stream/x', method='POST', deadline_ms=15000)
    deployed.world.run(1)
    name = answer.headers['signature'].removeprefix('sig.')
    moving.reclaim(deployed, name, NOTICE_S)

    worker = deployed.workers[name]
    (stopped_at,) = worker.moved_at
    assert stopped_at == pytest.approx(worker.leaves_at - 0.9, abs=0.02)
