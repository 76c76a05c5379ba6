"""The soak: faults follow from the seed, checks see what is broken, a run."""

import pytest

from soak import callers, faults, promises, running


def make_request(kind='unsafe', **fields):
    return callers.Request('c0-1', kind, '127.0.0.1:1', 0.0, **fields)


def test_a_seed_draws_the_same_faults_again():
    assert faults.draw(7, 20.0) == faults.draw(7, 20.0)
    assert faults.draw(7, 20.0) != faults.draw(8, 20.0)


def test_all_kinds_of_faults_are_drawn():
    drawn = {
        fault.kind for seed in range(20) for fault in faults.draw(seed, 20.0)
    }

    assert drawn == {
        *faults.ON_ENTRIES,
        *faults.ON_WORKERS,
        *faults.ON_PLATFORM,
    }


def test_an_unsafe_request_that_ran_twice_is_seen():
    assert promises.check_request(make_request(), 2)
    assert not promises.check_request(make_request(), 1)
    assert not promises.check_request(make_request('safe'), 2)


def test_an_untrue_refusal_is_seen():
    refused = make_request(status=503, headers={'citron-verdict': 'not-run'})

    assert promises.check_request(refused, 1)
    assert not promises.check_request(refused, 0)


@pytest.mark.parametrize(
    ('kind', 'body', 'is_sound'),
    [
        ('safe', b'app-0 /safe/c0-1', True),
        ('safe', b'app-0 /safe/c0-2', False),
        (
            'stream',
            b''.join(b'id: %d\ndata: t%d\n\n' % (n, n) for n in (1, 2, 3)),
            True,
        ),
        (
            'stream',
            b''.join(b'id: %d\ndata: t%d\n\n' % (n, n) for n in (1, 3)),
            False,
        ),
    ],
)
def test_a_wrong_answer_is_seen(kind, body, is_sound):
    answered = make_request(kind, status=200, body=body, is_complete=True)

    assert (not promises.check_request(answered, 1)) is is_sound


def test_a_request_held_past_its_deadline_is_seen():
    traffic = callers.Traffic(None, 0)
    traffic.requests.append(make_request(status=200, ended_at=4.0))
    pause = faults.Pause('127.0.0.1:1', 1.0, 2.5)

    assert promises.check_times(traffic, [])
    assert not promises.check_times(traffic, [pause])
    elsewhere = faults.Pause('127.0.0.1:2', 1.0, 2.5)
    assert promises.check_times(traffic, [elsewhere])


def test_a_short_run_keeps_all_promises(tmp_path):
    plan = running.Plan(3, seconds=6.0, entries=2)
    report = running.Run(plan, tmp_path).play()

    assert not report.broken
    assert any(request.status == promises.OK for request in report.requests)
