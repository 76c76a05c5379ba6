"""Streams whose ends a move may have caused, by the result of its call."""

import pytest

from tests.support import moving, platform_system, scripted

# Results that don't tell whether the run was stopped.
UNCLEAR = {
    'conflict': scripted.respond(409),
    'error': scripted.respond(500),
    'no handle': scripted.respond(503),
    'not executed': scripted.respond(429),
    'malformed': scripted.respond(200, b'{"handle": '),
    'empty': scripted.respond(200),
    'not HTTP': b'handle\r\n\r\n',
    'closed': None,
    'reset': None,
}
NO_SUCH_RUN = [
    scripted.respond(404),
    scripted.respond(404, b'<html>no such run</html>'),
]


class Result:
    """Answer the call that moves a run, before or after its stream's end.

    Without ``is_stopped`` the stream goes on.
    """

    def __init__(self, name, *, is_stopped=True, is_before=False, wire=None):
        self.name = name
        self.wire = wire or UNCLEAR.get(name)
        self.is_stopped = is_stopped
        self.is_before = is_before

    def __call__(self, source, connection):
        timers = source.host.timers
        if self.is_stopped:
            end_s = 0.05 if self.is_before else 0
            timers.call_later(end_s, source.end)
        timers.call_later(
            0 if self.is_before else 0.05,
            lambda: self.conclude(source, connection),
        )

    def conclude(self, source, connection):
        if self.wire is not None:
            connection.send(self.wire)
        elif self.name == 'reset':
            source.reset(connection)
        elif self.name == 'closed':
            connection.close_later(0)


@pytest.fixture
def deployed():
    return moving.build()


@pytest.fixture(params=[False, True], ids=['after', 'before'])
def is_before(request):
    return request.param


@pytest.fixture(params=[b'', moving.UPLOAD], ids=['no upload', 'upload'])
def body(request):
    return request.param


# Guards against half a stream that ends as a whole one, since the call that
# stopped its run has failed.
@pytest.mark.parametrize('name', [*UNCLEAR, 'unanswered'])
def test_a_stream_that_a_move_may_have_stopped_is_not_complete(
    deployed, name, is_before, body
):
    result = Result(name, is_before=is_before)
    answer, source = moving.move(deployed, result, body=body)

    assert len(source.moves) == 1
    assert moving.read_numbers(answer) == list(range(1, source.number + 1))
    assert answer.ended_at is not None
    assert not answer.is_complete


# Guards against the same where the worker goes with its copies to be made.
def test_a_stream_of_a_worker_that_goes_within_a_move_is_not_complete(
    deployed, body
):
    def end_stream(source, connection):
        source.end()

    answer, source = moving.start(deployed, end_stream, body=body)
    source.drain(1.2)
    deployed.world.run(1.2)
    source.host.kill()
    deployed.world.run(3)

    assert source.moves
    assert answer.ended_at is not None
    assert not answer.is_complete


# Guards against whole streams that are cut, as a move was tried.
@pytest.mark.parametrize('name', UNCLEAR)
def test_a_stream_that_goes_on_after_a_failed_move_is_complete(
    deployed, name, body
):
    result = Result(name, is_stopped=False)
    answer, source = moving.move(deployed, result, event_count=40, body=body)

    assert len(source.moves) == 1
    assert answer.is_complete
    assert moving.read_numbers(answer) == list(range(1, 41))


# Guards against a run that a worker stops after its call was given up.
def test_a_stream_whose_move_is_never_answered_is_not_complete(deployed):
    result = Result('unanswered', is_stopped=False)
    answer, source = moving.move(deployed, result, event_count=50)

    assert len(moving.read_numbers(answer)) == 50
    assert not answer.is_complete


@pytest.mark.parametrize('wire', NO_SUCH_RUN)
def test_a_stream_whose_run_had_ended_before_a_move_is_complete(
    deployed, wire, is_before, body
):
    result = Result('', is_before=is_before, wire=wire)
    answer, source = moving.move(deployed, result, body=body)

    assert source.moves
    assert answer.is_complete


def test_a_stream_whose_move_was_not_sent_is_complete(deployed, body):
    answer, source = moving.start(
        deployed, Result('error'), event_count=15, body=body
    )
    source.drain(2.0)
    deployed.world.run(0.6)
    node = deployed.gateways['gateway-0']
    platform_system.drop_idle(node)
    deployed.world.refuse(['gateway-0'], ['llm-0'])
    deployed.world.run(4)

    assert not source.moves
    assert answer.is_complete
    assert moving.read_numbers(answer) == list(range(1, 16))


# Guards against a move that fails while only a reset of a whole stream is
# awaited.
def test_a_stream_that_has_ended_is_not_moved(deployed):
    answer, source = moving.move(
        deployed, Result('error'), event_count=4, body=moving.UPLOAD
    )

    assert not source.moves
    assert answer.is_complete


# Guards against a second call, whose result would hide that of the first.
@pytest.mark.parametrize('is_stopped', [True, False])
def test_a_stream_is_stopped_once(deployed, is_stopped, body):
    result = Result('unanswered', is_stopped=is_stopped)
    answer, source = moving.start(
        deployed, result, event_count=moving.EVENTS, body=body
    )
    source.drain(1.2)
    deployed.world.run(0.4)
    node = deployed.gateways['gateway-0']
    node.relocations.schedule(node.services.fleet.workers['llm-0'])
    deployed.world.run(8)

    assert len(source.moves) == 1
    assert not answer.is_complete


def count_outcomes(deployed):
    """Return the answers and failures that count for the source."""
    workers = deployed.gateways['gateway-0'].services.fleet.workers
    return workers['llm-0'].health.measure(deployed.world.now)


def end_and_count(deployed, answer, source):
    """Run until the answer has ended, and return what counts by then."""
    source.drain(1.2)
    assert deployed.world.run_until(lambda: answer.ended_at is not None)
    return count_outcomes(deployed)


# Guards against a stopped stream that counts as a good answer of its worker.
@pytest.mark.parametrize('name', ['error', 'closed', 'unanswered'])
def test_a_stopped_stream_is_no_evidence(deployed, name, is_before, body):
    result = Result(name, is_before=is_before)
    answer, source = moving.start(deployed, result, body=body)

    assert end_and_count(deployed, answer, source) == (0, 0)


def test_a_stopped_stream_clears_no_suspect(deployed, body):
    answer, source = moving.start(deployed, Result('error'), body=body)
    services = deployed.gateways['gateway-0'].services
    (flow,) = services.flows
    services.suspects.record_crash(
        flow.traits.fingerprint, frozenset(('llm-9',)), deployed.world.now
    )
    end_and_count(deployed, answer, source)

    assert flow.traits.fingerprint in services.suspects.by_fingerprint


def test_a_stream_that_had_ended_before_a_move_is_evidence(
    deployed, is_before, body
):
    result = Result('', is_before=is_before, wire=NO_SUCH_RUN[0])
    answer, source = moving.start(deployed, result, body=body)

    assert end_and_count(deployed, answer, source) == (1, 0)


def test_a_stream_that_had_broken_before_a_move_is_evidence(deployed):
    def break_off(source, connection):
        source.reset(source.stream)
        connection.send_later(0.05, NO_SUCH_RUN[0])

    answer, source = moving.start(deployed, break_off)

    assert end_and_count(deployed, answer, source) == (1, 1)


# Guards against handles that add headers to a request or can't be sent.
@pytest.mark.parametrize(
    'handle',
    [b'h\\r\\nTenant: other', b'a handle', b'\\u20ac', b'h' * 10000],
)
def test_a_handle_that_is_no_word_is_malformed(deployed, handle, is_before):
    wire = scripted.respond(200, b'{"handle": "%b"}' % handle)
    result = Result('', is_before=is_before, wire=wire)
    answer, source = moving.move(deployed, result)

    assert not answer.is_complete
    assert not deployed.workers['llm-1'].arrivals
    assert deployed.ask('/safe/x').status == 200


# Guards against a refund for a stream that has run, while it is moved.
def test_a_stream_that_expires_in_a_move_is_charged(deployed):
    organisation = platform_system.make_tenant('org', 1000, 1000, 5)
    organisation['apiKeys'] = ['key-org']
    deployed.configure(tenants=[organisation])
    deployed.world.run(1)
    answer, source = moving.start(
        deployed, Result('unanswered'), deadline_ms=1000
    )
    (flow,) = deployed.gateways['gateway-0'].services.flows
    charge = flow.charge
    assert charge.cost == 5
    source.drain(1.2)
    deployed.world.run(4)

    assert answer.ended_at is not None
    assert not answer.is_complete
    assert flow.charge is charge


@pytest.fixture
def alone():
    """Return a deployment whose streams can't be moved anywhere."""
    return moving.build(workers=1)


# Guards against half a stream that ends as a whole one, since its worker leaves
# and there is no other.
@pytest.mark.parametrize('early_s', [0, 0.3])
def test_a_stream_that_ends_as_its_worker_leaves_is_not_complete(
    alone, body, early_s
):
    answer, source = moving.start(alone, Result('error'), body=body)
    source.drain(1.2)
    alone.world.run(1.2 - early_s)
    source.host.kill()
    alone.world.run(3)

    assert not source.moves
    assert answer.ended_at is not None
    assert not answer.is_complete


@pytest.mark.parametrize('event_count', [5, 40])
def test_a_stream_that_ends_well_before_or_after_is_complete(
    alone, body, event_count
):
    answer, source = moving.start(
        alone, Result('error'), event_count=event_count, body=body
    )
    source.drain(1.2)
    alone.world.run(8)

    assert answer.is_complete
    assert len(moving.read_numbers(answer)) == event_count


def test_a_chunked_stream_that_ends_as_its_worker_leaves_is_complete():
    deployed = moving.build(workers=1)
    worker = deployed.workers['llm-0']
    worker.behaviour.event_count = 15
    answer = deployed.send('/stream/x', method='POST', deadline_ms=15000)
    deployed.world.run(0.3)
    moving.drain(deployed, 'llm-0', 1.2)
    deployed.world.run(4)

    assert answer.is_complete
