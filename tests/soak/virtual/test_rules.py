"""Each invariant of the virtual soak: a record that keeps it, one that doesn't."""

import pytest

from soak.virtual import history, rules

ENTRIES = ('e0', 'e1', 'e2')


def make_request(name='q', entry='e0', sent_at=10.0, **fields):
    settings = {
        'origin': name,
        'path_prefix': '/safe/',
        'is_stream': False,
        'may_repeat': False,
        'entry': entry,
        'sent_at': sent_at,
        'deadline_s': 2.0,
        'status': 200,
        'is_complete': True,
        'body': f'app-0 /safe/{name}'.encode(),
        'signature': 'sig.app-0',
        'ended_at': sent_at + 0.1,
    }
    return history.Request(name, **{**settings, **fields})


def make_arrival(name='q', worker='app-0', entry='e0', at=10.0):
    return history.Arrival(name, worker, entry, at)


def make_span(names, started_at, ended_at):
    return history.Span(frozenset(names), started_at, ended_at)


def check(rule, **fields):
    return list(rule(history.History(**fields)))


def make_limited(count, *, disturbances=(), notice_at=1.0):
    """Return the record of requests at a worker with a limit of 1 a second."""
    return {
        'limits': [(1.0, make_span(('app-0',), 1.0, 30.0))],
        'notices': [
            history.Notice('app-0', entry, notice_at, 1.0, False)
            for entry in ENTRIES
        ],
        'arrivals': [
            make_arrival(f'q{number}', entry=ENTRIES[number % 3], at=10.0)
            for number in range(count)
        ],
        'disturbances': list(disturbances),
    }


@pytest.mark.parametrize(('count', 'violations'), [(11, 0), (12, 1)])
def test_a_limit_binds_all_entries_together(count, violations):
    found = check(rules.check_limit, **make_limited(count))

    assert len(found) == violations


def test_a_disturbed_entry_or_one_that_was_not_told_is_left_out():
    disturbed = [make_span(('e0',), 8.0, 9.0)]

    assert not check(
        rules.check_limit, **make_limited(12, disturbances=disturbed)
    )
    assert not check(rules.check_limit, **make_limited(12, notice_at=9.8))


@pytest.mark.parametrize(('count', 'violations'), [(2, 0), (3, 1)])
def test_brittle_workers_may_fall_twice(count, violations):
    found = check(
        rules.check_falls,
        brittle=[make_span(('app-0', 'app-1'), 0.0, 20.0)],
        falls=[('app-0', 5.0 + number) for number in range(count)],
    )

    assert len(found) == violations


def make_cut(failed):
    return {
        'cuts': [make_span(('e0',), 0.0, 30.0)],
        'requests': [
            *(
                make_request(
                    f'c{number}', status=503 if number < failed else 200
                )
                for number in range(30)
            ),
            *(make_request(f'o{number}', 'e1') for number in range(30)),
        ],
    }


@pytest.mark.parametrize(('failed', 'violations'), [(11, 0), (12, 1)])
def test_callers_of_cut_off_entries_are_served_like_others(failed, violations):
    assert len(check(rules.check_recover, **make_cut(failed))) == violations


def test_a_time_in_which_all_entries_are_cut_off_is_not_judged():
    record = make_cut(30)
    record['cuts'].append(make_span(('e1',), 9.0, 11.0))
    record['requests'].extend(
        make_request(f'late{number}', 'e1', 12.0) for number in range(30)
    )

    assert not check(rules.check_recover, **record)


def test_entries_of_another_cut_do_not_count_as_others():
    record = make_cut(30)
    record['cuts'].append(make_span(('e1',), 5.0, 12.0))

    assert not check(rules.check_recover, **record)


def make_refused_cut(tokens, changes=((0.0, 1000.0),), **fields):
    """Return a record of a cut-off entry that refuses all for their quota."""
    record = make_cut(30)
    for request in record['requests']:
        request.tokens = tokens
        if request.entry == 'e0':
            request.status = rules.OVER_QUOTA
    record['quotas'] = [
        history.QuotaChange('org', limit, at) for at, limit in changes
    ]
    return {**record, **fields}


@pytest.mark.parametrize(('tokens', 'violations'), [(16, 1), (17, 0)])
def test_a_refusal_below_the_limit_is_owed(tokens, violations):
    # The 60 requests ask for 960 or 1020 tokens, and 1000 are allowed.
    found = check(rules.check_recover, **make_refused_cut(tokens))

    assert len(found) == violations


def test_what_another_organisation_asks_for_excuses_no_refusal():
    record = make_refused_cut(16)
    record['requests'].extend(
        make_request(f'hot{number}', 'e1', organisation='other', tokens=1000)
        for number in range(30)
    )

    assert check(rules.check_recover, **record)


def test_what_left_the_window_excuses_no_refusal():
    record = make_refused_cut(16)
    record['requests'].append(make_request('old', 'e1', 1.9, tokens=1000))

    assert check(rules.check_recover, **record)


@pytest.mark.parametrize(
    ('changes', 'disturbances', 'violations'),
    [
        (((0.0, 1000.0), (9.0, 500.0)), [], 0),
        (((0.0, 1000.0), (1.0, 500.0), (9.0, 1000.0)), [], 0),
        (((0.0, 1000.0), (1.0, 500.0), (7.9, 1000.0)), [], 1),
        (
            ((0.0, 1000.0), (1.0, 500.0), (7.9, 1000.0)),
            [make_span(('e2',), 7.0, 8.0)],
            0,
        ),
    ],
)
def test_a_lower_limit_excuses_refusals_until_all_know_the_next(
    changes, disturbances, violations
):
    record = make_refused_cut(16, changes, disturbances=disturbances)

    assert len(check(rules.check_recover, **record)) == violations


@pytest.mark.parametrize(
    ('may_repeat', 'runs', 'violations'),
    [(False, 1, 0), (False, 2, 1), (True, 2, 0)],
)
def test_what_may_not_be_repeated_runs_once(may_repeat, runs, violations):
    found = check(
        rules.check_twice,
        requests=[make_request(may_repeat=may_repeat)],
        runs=[make_arrival()] * runs,
    )

    assert len(found) == violations


@pytest.mark.parametrize(('runs', 'violations'), [(0, 0), (1, 1)])
def test_what_is_said_not_to_have_run_has_not(runs, violations):
    found = check(
        rules.check_refused,
        requests=[make_request(status=503, is_not_run=True)],
        runs=[make_arrival()] * runs,
    )

    assert len(found) == violations


EVENTS = b''.join(b'id: %d\ndata: t%d\n\n' % (n, n) for n in (1, 2, 3))


@pytest.mark.parametrize(
    ('fields', 'violations'),
    [
        ({}, 0),
        ({'body': b'app-0 /safe/other'}, 1),
        ({'signature': 'sig.app-1'}, 1),
        ({'is_complete': False, 'body': b'app'}, 0),
        ({'is_stream': True, 'body': EVENTS}, 0),
        ({'is_stream': True, 'body': EVENTS[17:]}, 1),
        ({'is_stream': True, 'body': EVENTS + b'id: 4'}, 1),
        ({'is_stream': True, 'body': EVENTS + EVENTS}, 1),
    ],
)
def test_whole_answers_are_those_of_the_request(fields, violations):
    found = check(
        rules.check_mixed,
        requests=[make_request(**fields)],
        runs=[make_arrival()],
    )

    assert len(found) == violations


@pytest.mark.parametrize(('sent_at', 'violations'), [(11.9, 0), (12.1, 1)])
def test_a_worker_that_leaves_gets_nothing_new(sent_at, violations):
    found = check(
        rules.check_drain,
        requests=[make_request(sent_at=sent_at)],
        notices=[history.Notice('app-0', 'e0', 10.0, None, True)],
        arrivals=[make_arrival(at=sent_at)],
    )

    assert len(found) == violations


@pytest.mark.parametrize(('repeats', 'violations'), [(52, 0), (53, 1)])
def test_repeats_stay_within_the_budget(repeats, violations):
    requests = [make_request(f'q{number}') for number in range(10)]
    arrivals = [make_arrival('q0') for _ in range(repeats + 1)]

    found = check(rules.check_retries, requests=requests, arrivals=arrivals)

    assert len(found) == violations


@pytest.mark.parametrize(
    ('ended_at', 'disturbances', 'violations'),
    [
        (12.4, [], 0),
        (12.6, [], 1),
        (None, [], 1),
        (None, [make_span(('e0',), 12.0, 13.0)], 0),
    ],
)
def test_a_final_answer_comes_soon_after_the_deadline(
    ended_at, disturbances, violations
):
    found = check(
        rules.check_final_answer,
        requests=[make_request(ended_at=ended_at)],
        disturbances=disturbances,
    )

    assert len(found) == violations


def make_call(token, holder='e0', subject=('usage',)):
    return history.Call(subject, holder, token)


def test_calls_of_holders_in_turn_are_in_order():
    calls = [make_call(1), make_call(1), make_call(2, 'e1'), make_call(3)]
    calls.append(make_call(1, subject=('order', 'llm', 'z1')))

    assert not check(rules.check_one, calls=calls)


def test_a_call_of_a_former_holder_is_a_violation():
    calls = [make_call(1), make_call(2, 'e1'), make_call(1)]

    assert check(rules.check_one, calls=calls)
