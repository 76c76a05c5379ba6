"""Load: a storm of refused callers, of all entries at once."""

import pytest

from citronjunction.rooms import answers, estimates, returning


def refuse(draw=0.5, left_s=12.0, wait_s=0.4, slots=10):
    return returning.Refusal(wait_s, 0.8, left_s, slots, draw)


def test_a_single_refused_caller_returns_after_the_wait():
    delay_s = returning.Returns().schedule(refusal=refuse(), now=5.0)

    assert delay_s == pytest.approx(0.4)


def test_returns_are_spread_at_the_rate_that_the_room_carries():
    returns = returning.Returns()
    delays = [
        returns.schedule(refuse(draw=number % 10 / 10), 5.0)
        for number in range(40)
    ]

    # 10 slots for 0.8 s each carry 12.5 returns a second.
    for start in (0.5, 1.0, 1.5, 2.0):
        count = sum(start <= delay < start + 0.5 for delay in delays)
        assert 3 <= count <= 10


def test_arrivals_leave_less_room_to_returns():
    busy, idle = returning.Returns(), returning.Returns()
    for number in range(60):
        busy.rate.record(4 + number / 60)
    for returns in (busy, idle):
        for _ in range(10):
            returns.schedule(refuse(), 5.0)

    assert busy.until > idle.until + 1


@pytest.mark.parametrize('left_s', [0.3, 3.0, 12.0])
def test_no_caller_is_told_more_than_a_third_of_its_time_left(left_s):
    returns = returning.Returns()
    delays = [
        returns.schedule(refuse(number % 7 / 7, left_s, slots=0.5), 5.0)
        for number in range(200)
    ]

    assert max(delays) <= left_s / 3 + 1e-9
    assert len({round(delay, 4) for delay in delays[-20:]}) > 5


def test_the_queue_of_returns_drains():
    returns = returning.Returns()
    for _ in range(100):
        returns.schedule(refuse(), 5.0)

    assert returns.schedule(refuse(), 20.0) == pytest.approx(0.4)


def test_an_attempt_that_cannot_end_in_time_is_not_made():
    room = estimates.UpstreamRoom()
    assert estimates.can_end(room, 'r', 0, 0.1)
    for _ in range(answers.MIN_ANSWERS):
        room.times.record('r', 0.1, 6.0)

    assert not estimates.can_end(room, 'r', 0, 1.8)
    assert not estimates.can_end(room, 'r', 2.0, 4.0)
    assert estimates.can_end(room, 'r', 0, 4.0)
    assert estimates.can_end(room, 'other', 0, 0.1)


def test_one_hung_answer_does_not_fill_all_room():
    times = answers.AnswerTimes()
    for _ in range(64):
        times.record('r', 0.1, 0.7)
    times.record('r', 0.1, 9000.0)

    assert times.held.value_s < 2
