"""Crowds that stay open, send too much or don't read end no process.

Each test plays one pattern at a real process, whose settings state the memory
and the descriptors of its host, while no other of these tests runs.
"""

import contextlib

import pytest

from tests.support import crowds, front_door

DOORS = {
    'data': ('data',),
    'unrouted': ('unrouted',),
    'ready': ('ready',),
    'every': ('data', 'unrouted', 'ready', 'directory'),
}
ORDINARY_BODY = bytes(1024)


@pytest.fixture(autouse=True)
def _alone():
    with front_door.alone():
        yield


@pytest.mark.parametrize('doors', DOORS)
@pytest.mark.parametrize(
    'pattern', crowds.PATTERNS, ids=lambda pattern: pattern.__name__
)
def test_a_process_outlives_the_crowd_and_serves_others(
    pattern, doors, tmp_path
):
    with front_door.start(tmp_path) as door:
        targets = door.get_targets(*DOORS[doors])
        with contextlib.closing(crowds.Crowd(pattern, targets)) as crowd:
            crowd.send_all()
            door.settle(crowd)
            is_ready = door.is_served('ready')
            is_listed = door.is_served('directory')
            is_served = door.is_served('data', ORDINARY_BODY)
        used = door.measure()
        print(pattern.__name__, doors, used, is_ready, is_listed, is_served)

        assert door.is_running()
        assert used.peak_bytes <= front_door.MEMORY_MB * 1_000_000
        assert used.descriptors <= front_door.DESCRIPTORS
        assert (is_ready, is_listed, is_served) == (True, True, True)
