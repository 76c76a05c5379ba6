"""Copies of runs from which no stream is resumed."""

import pytest

from citronjunction.gateway import fleet
from tests.support import moving, scripted

COPIED = {
    'moved': scripted.respond(200, b'{"handle": "h/1"}'),
    'kept': scripted.respond(503, b'{"handle": "h/1"}'),
}
# Time from the call until its result.
COPY_S = 0.3


class Copied:
    """Stop the run, if so asked, and copy it for a while."""

    def __init__(self, kind, *, is_stopped=True):
        self.wire = COPIED[kind]
        self.is_stopped = is_stopped

    def __call__(self, source, connection):
        if self.is_stopped:
            source.end()
        connection.send_later(COPY_S, self.wire)


@pytest.fixture
def deployed():
    return moving.build()


@pytest.fixture(params=[b'', moving.UPLOAD], ids=['no upload', 'upload'])
def body(request):
    return request.param


@pytest.fixture(params=COPIED)
def copied(request):
    return Copied(request.param)


# Guards against copies that hold memory though no stream needs them.
@pytest.mark.parametrize('wait_s', [0.4, 0.7])
def test_the_copy_of_a_caller_that_left_is_released(
    deployed, copied, wait_s, body
):
    # The bytes of an upload's stream end 1.5 s before its end counts.
    is_waiting = wait_s < 0.3 + COPY_S or body
    answer, source = moving.start(deployed, copied, body=body)
    source.drain(1.2)
    deployed.world.run(wait_s)
    answer.call.cancel()
    deployed.world.run(4)

    assert source.moves
    assert source.deleted == (['h%2F1'] if is_waiting else [])


def test_the_copy_of_a_stream_that_was_not_stopped_is_released(deployed):
    answer, source = moving.start(
        deployed, Copied('moved', is_stopped=False), event_count=9
    )
    source.drain(1.2)
    deployed.world.run(0.4)
    answer.call.cancel()
    deployed.world.run(4)

    assert source.deleted == ['h%2F1']


def test_the_copy_at_a_data_centre_that_is_evacuated_is_released(
    deployed, monkeypatch
):
    answer, source = moving.start(deployed, Copied('moved'))
    source.drain(1.2)
    deployed.world.run(0.5)
    monkeypatch.setattr(fleet.Fleet, 'is_closed', lambda *_: True)
    deployed.world.run(4)

    assert answer.ended_at is not None
    assert source.deleted == ['h%2F1']


# Guards against a copy that no attempt reaches, as its target is gone.
def test_the_copy_at_a_target_that_is_gone_is_released(deployed):
    answer, source = moving.start(deployed, Copied('moved'))
    source.drain(1.2)
    deployed.world.run(0.5)
    deployed.worker_hosts['llm-1'].kill()
    deployed.world.run(4)

    assert answer.ended_at is not None
    assert source.deleted == ['h%2F1']


def test_a_copy_that_a_stream_resumes_from_is_not_released(deployed, body):
    answer, source = moving.move(deployed, Copied('moved'), body=body)

    assert answer.is_complete
    assert not source.deleted
