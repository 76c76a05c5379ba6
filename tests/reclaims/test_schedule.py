"""Schedules of copies that are made one after another."""

import pytest

from citronjunction.reclaims import models, schedule

COPY_S = 0.1
RUNS = [models.Run(f'r{number}', 1000, number) for number in range(10)]


def compute(movable):
    return schedule.compute_leads(RUNS, COPY_S / 1000, movable)


def test_a_copy_begins_when_those_before_it_have_ended():
    leads = compute(dict.fromkeys((run.request for run in RUNS), True))

    by_lead = sorted(leads, key=leads.get, reverse=True)
    assert by_lead == [run.request for run in RUNS]
    assert leads['r9'] == pytest.approx(schedule.MARGIN_S + COPY_S)
    assert leads['r0'] == pytest.approx(schedule.MARGIN_S + 10 * COPY_S)


def test_entries_leave_room_for_the_copies_of_others():
    even = compute({run.request: True for run in RUNS[::2]})
    odd = compute({run.request: True for run in RUNS[1::2]})

    starts = sorted([*even.values(), *odd.values()])
    gaps = [later - sooner for sooner, later in zip(starts, starts[1:])]
    assert gaps == pytest.approx([COPY_S] * 9)


def test_streams_that_are_not_moved_take_no_room():
    movable = {run.request: run.events % 2 == 0 for run in RUNS}
    leads = compute(movable)

    assert set(leads) == {name for name in movable if movable[name]}
    assert leads['r0'] == pytest.approx(schedule.MARGIN_S + 5 * COPY_S)


def test_streams_of_others_are_moved_as_often_as_own_ones():
    leads = compute({'r0': True, 'r1': False})

    assert leads['r0'] == pytest.approx(schedule.MARGIN_S + 5 * COPY_S)


def test_nothing_is_scheduled_without_own_streams():
    assert not compute({})
    assert not schedule.compute_leads([], COPY_S, {'r0': True})


def test_copies_of_unknown_length_take_no_time():
    leads = schedule.compute_leads(RUNS, 0, {'r0': True})

    assert leads == {'r0': schedule.MARGIN_S}
