"""Calls that a partition holds up until after they were given up."""

import pytest

from tests.support import platform_system

KIND = 'notes'
NAME = 'one'
SETTLE_S = 8.0


@pytest.fixture
def deployed():
    system = platform_system.PlatformSystem()
    system.build(workers=1)
    system.world.holds_bytes = True
    return system


def get_store(deployed):
    return deployed.gateways['gateway-0'].checkpoint.store


def keep_connection(deployed):
    """Read once, so that the next call finds a connection."""
    get_store(deployed).read(KIND, NAME, lambda _: None)
    deployed.world.run(0.1)


def create(store, revision, on_write):
    store.create(KIND, 'two', {'text': 'late'}, on_write)


def replace(store, revision, on_write):
    store.replace(KIND, NAME, {'text': 'late'}, revision, on_write)


def replace_status(store, revision, on_write):
    store.replace_status(KIND, NAME, {'text': 'late'}, revision, on_write)


# Guards against a write that is applied after the writer has given it up.
@pytest.mark.parametrize('write', [create, replace, replace_status])
def test_a_write_that_is_given_up_is_not_applied_later(deployed, write):
    stored = deployed.store.put(KIND, NAME, {'text': 'first'})
    keep_connection(deployed)
    deployed.world.partition(['gateway-0'], ['platform'])
    results = []
    write(get_store(deployed), stored['meta']['rev'], results.append)
    assert deployed.world.run_until(lambda: results, limit=2)
    deployed.world.heal()
    deployed.world.run(SETTLE_S)

    assert not [
        document for kind, _, document in deployed.store.writes if kind == KIND
    ]


# Guards against a request that a worker runs after its caller has left.
def test_a_request_that_is_cancelled_does_not_run_later(deployed):
    deployed.ask('/safe/first', run_s=0.2)
    deployed.world.partition(['gateway-0'], ['app-0'])
    answer = deployed.send('/safe/second')
    deployed.world.run(0.1)
    answer.call.cancel()
    deployed.world.run(0.1)
    deployed.world.heal()
    deployed.world.run(SETTLE_S)

    assert [run.path for run in deployed.workers['app-0'].runs] == [
        '/safe/first'
    ]


# Guards against a stop of a run that comes after the move was given up.
def test_a_move_that_is_given_up_does_not_stop_a_run_later(deployed):
    gateway = deployed.gateways['gateway-0']
    mover = gateway.relocations.mover
    address = deployed.store.objects[('servers', 'llm-0')]['spec']['addr']
    worker = deployed.workers['llm-0']
    results = []
    mover.move(address, 'request-1', '10.8.0.9:80', results.append)
    deployed.world.run(0.1)
    count = len(worker.moves)
    deployed.world.partition(['gateway-0'], ['llm-0'])
    mover.move(address, 'request-1', '10.8.0.9:80', results.append)
    assert deployed.world.run_until(lambda: len(results) == 2, limit=4)
    deployed.world.heal()
    deployed.world.run(SETTLE_S)

    assert len(worker.moves) == count
