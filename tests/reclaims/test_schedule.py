"""Schedules of copies that are made one after another."""

import pytest

from citronjunction.reclaims import models, schedule

COPY_S = 0.1
RUNS = [models.Run(f'r{number}', 1000, number) for number in range(10)]


LEFT_S = 3.0
FIRST_S = (
    LEFT_S - models.MAX_REPORT_AGE_S - 10 * COPY_S
)  # the start of ten copies


def compute(movable, left_s=LEFT_S, copy_s=COPY_S):
    time_left = models.TimeLeft(left_s, tuple(RUNS))
    return schedule.compute_starts(time_left, copy_s / 1000, movable)


def test_a_copy_begins_when_those_before_it_have_ended():
    starts = compute(dict.fromkeys((run.request for run in RUNS), True))

    assert list(starts) == [run.request for run in RUNS]
    assert list(starts.values()) == pytest.approx(
        [FIRST_S + number * COPY_S for number in range(10)]
    )


# Guards against streams that stand still, since all are stopped at once.
def test_copies_that_take_longer_than_is_left_begin_in_turn():
    movable = dict.fromkeys((run.request for run in RUNS), True)
    starts = compute(movable, left_s=1.0)

    assert list(starts.values()) == pytest.approx(
        [number * COPY_S for number in range(10)]
    )


def test_entries_leave_room_for_the_copies_of_others():
    even = compute({run.request: True for run in RUNS[::2]})
    odd = compute({run.request: True for run in RUNS[1::2]})

    starts = sorted([*even.values(), *odd.values()])
    gaps = [later - sooner for sooner, later in zip(starts, starts[1:])]
    assert gaps == pytest.approx([COPY_S] * 9)


def test_streams_that_are_not_moved_take_no_room():
    movable = {run.request: run.events % 2 == 0 for run in RUNS}
    starts = compute(movable)

    assert set(starts) == {name for name in movable if movable[name]}
    assert starts['r0'] == pytest.approx(FIRST_S + 5 * COPY_S)


def test_streams_of_others_are_moved_as_often_as_own_ones():
    starts = compute({'r0': True, 'r1': False})

    assert starts['r0'] == pytest.approx(FIRST_S + 5 * COPY_S)


def test_nothing_is_scheduled_without_own_streams():
    assert not compute({})
    assert not schedule.compute_starts(
        models.TimeLeft(LEFT_S), COPY_S, {'r0': True}
    )


def test_copies_of_unknown_length_take_no_time():
    starts = compute({'r0': True}, copy_s=0)

    assert starts == {'r0': LEFT_S - models.MAX_REPORT_AGE_S}
