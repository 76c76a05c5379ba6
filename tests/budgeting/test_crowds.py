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
# Listed in KNOWN-RED.txt, one line each.
KNOWN_RED = (
    'send_chunked_bodies-every',
    'send_bodies_far_over-every',
    'send_short_fields-data',
    'send_short_fields-unrouted',
    'send_short_fields-ready',
    'send_short_fields-every',
    'send_short_parameters-every',
    'send_chunk_extensions-every',
    'send_trailers-every',
    'send_ahead-data',
    'send_ahead-every',
    'send_slowly-data',
    'send_slowly-unrouted',
    'send_slowly-ready',
    'send_slowly-every',
    'read_slowly-data',
    'read_slowly-every',
    'stop_half_way-data',
    'stop_half_way-every',
)
# Fail in some runs; they depend on when garbage is collected.
KNOWN_UNSTEADY = (
    'send_chunked_bodies-unrouted',
    'send_bodies_far_over-data',
    'send_bodies_far_over-unrouted',
    'send_bodies_far_over-ready',
)


def _list_cases():
    for pattern in crowds.PATTERNS:
        for doors in DOORS:
            case = f'{pattern.__name__}-{doors}'
            marks = []
            if case in KNOWN_RED or case in KNOWN_UNSTEADY:
                marks.append(
                    pytest.mark.xfail(
                        reason=f'KNOWN-RED.txt: {case}',
                        strict=case in KNOWN_RED,
                    )
                )
            yield pytest.param(pattern, doors, id=case, marks=marks)


@pytest.fixture(autouse=True)
def _alone():
    with front_door.alone():
        yield


@pytest.mark.parametrize('pattern, doors', _list_cases())
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
