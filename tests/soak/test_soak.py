"""Tests of the soak: its fault schedule, its checks and a short run."""

import pytest

from soak import callers, faults, invariants, running, system


def make_request(kind='unsafe', **fields):
    return callers.Request('c0-1', kind, '127.0.0.1:1', 0.0, **fields)


def test_the_same_seed_draws_the_same_faults():
    assert faults.draw_faults(7, 20.0) == faults.draw_faults(7, 20.0)
    assert faults.draw_faults(7, 20.0) != faults.draw_faults(8, 20.0)


def test_all_kinds_of_faults_are_drawn():
    drawn = {
        fault.kind
        for seed in range(20)
        for fault in faults.draw_faults(seed, 20.0)
    }

    assert drawn == {
        *faults.ENTRY_FAULTS,
        *faults.WORKER_FAULTS,
        *faults.PLATFORM_FAULTS,
        'store restored',
    }


def test_an_unsafe_request_that_ran_twice_is_a_violation():
    assert invariants.check_request(make_request(), 2)
    assert not invariants.check_request(make_request(), 1)
    assert not invariants.check_request(make_request('safe'), 2)


def test_a_run_despite_the_verdict_not_run_is_a_violation():
    refused = make_request(status=503, headers={'citron-verdict': 'not-run'})

    assert invariants.check_request(refused, 1)
    assert not invariants.check_request(refused, 0)


@pytest.mark.parametrize(
    ('kind', 'body', 'is_correct'),
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
def test_a_wrong_answer_is_a_violation(kind, body, is_correct):
    answered = make_request(kind, status=200, body=body, is_complete=True)

    assert (not invariants.check_request(answered, 1)) is is_correct


def test_an_answer_after_the_deadline_is_late_unless_its_entry_was_paused():
    traffic = callers.Traffic(None, 0)
    traffic.requests.append(make_request(status=200, ended_at=4.0))
    pause = faults.Pause('127.0.0.1:1', 1.0, 2.5)

    assert invariants.check_deadlines(traffic, [])
    assert not invariants.check_deadlines(traffic, [pause])
    elsewhere = faults.Pause('127.0.0.1:2', 1.0, 2.5)
    assert invariants.check_deadlines(traffic, [elsewhere])


def test_the_listeners_of_an_entry_have_different_ports(monkeypatch):
    monkeypatch.setattr(
        system, 'LISTENERS', [f'listener-{number}' for number in range(500)]
    )
    ports = system.find_free_ports('127.0.0.1')

    assert len(set(ports.values())) == 500


def test_a_short_run_violates_no_invariant(tmp_path):
    plan = running.Plan(3, seconds=6.0, entries=2)
    report = running.Run(plan, tmp_path).execute()

    assert not report.violations
    assert any(request.status == invariants.OK for request in report.requests)
