"""A worker's limit on requests binds all entries together."""

import pytest

from tests.support import platform_system

WINDOW_S = 4.0
STABLE_S = 3.0  # after a limit was named first, until it binds
ENTRIES = 7


@pytest.fixture
def deployed():
    return platform_system.PlatformSystem().build(workers=3, gateways=ENTRIES)


def press(deployed, seconds, per_s=50, path='/stream/x', entries=ENTRIES):
    """Send requests to the entries in turn and return the answers."""
    answers = []
    for number in range(round(seconds * per_s)):
        gateway = f'gateway-{number % entries}'
        answers.append(deployed.send(path, gateway, method='POST'))
        deployed.world.run(1 / per_s)
    return answers


def count_worst_window(worker, since):
    """Return the most requests that a worker got in a window."""
    times = [at for at in worker.arrived_at if at >= since]
    return max(
        (sum(0 <= at - start < WINDOW_S for at in times) for start in times),
        default=0,
    )


def compute_allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def name_limit(deployed, limit, *names):
    """Let workers name a limit; return when it binds."""
    for name in names:
        deployed.workers[name].behaviour.limit = str(limit)
    return deployed.world.now + STABLE_S


# Guards against LIMIT: entries that ignore, or keep each for itself, the limit
# of a worker.
@pytest.mark.parametrize('limit', [0.2, 1, 2.5, 10])
def test_a_worker_gets_no_more_than_its_limit_from_all_entries(deployed, limit):
    since = name_limit(deployed, limit, 'llm-0')
    answers = press(deployed, 15)
    deployed.world.run(1)

    assert count_worst_window(
        deployed.workers['llm-0'], since
    ) <= compute_allowed(limit)
    assert all(answer.status == 200 for answer in answers)


def test_a_limit_on_plain_requests_is_kept(deployed):
    since = name_limit(deployed, 1, 'app-0', 'app-1')
    press(deployed, 12, path='/safe/x')

    for name in ('app-0', 'app-1'):
        worst = count_worst_window(deployed.workers[name], since)
        assert worst <= compute_allowed(1)


def test_a_limited_worker_still_gets_most_of_what_it_takes(deployed):
    name_limit(deployed, 2, 'llm-0', 'llm-1', 'llm-2')
    before = deployed.world.now
    press(deployed, 12)

    for name in ('llm-0', 'llm-1', 'llm-2'):
        taken = [
            at
            for at in deployed.workers[name].arrived_at
            if at >= before + STABLE_S
        ]
        assert len(taken) >= 0.7 * 2 * (12 - STABLE_S)


def test_what_the_limits_do_not_admit_is_rejected_at_once(deployed):
    name_limit(deployed, 1, 'llm-0', 'llm-1', 'llm-2')
    press(deployed, 4)
    answers = press(deployed, 4)
    deployed.world.run(1)

    rejected = [answer for answer in answers if answer.status != 200]
    assert rejected
    for answer in rejected:
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert answer.duration_s < 0.05


def test_a_limit_holds_over_restarts_of_entries(deployed):
    since = name_limit(deployed, 1, 'llm-0')
    press(deployed, 3)
    for number in range(ENTRIES):
        deployed.gateway_hosts[f'gateway-{number}'].kill()
        deployed.add_gateway(f'gateway-{number}')
        press(deployed, 2)

    assert count_worst_window(
        deployed.workers['llm-0'], since
    ) <= compute_allowed(1)


def test_a_worker_that_names_no_limit_any_more_is_used_as_before(deployed):
    name_limit(deployed, 1, 'llm-0')
    press(deployed, 5)
    deployed.workers['llm-0'].behaviour.limit = ''
    press(deployed, 3)
    before = len(deployed.workers['llm-0'].arrivals)
    press(deployed, 4)

    assert len(deployed.workers['llm-0'].arrivals) - before >= 40


def test_the_limit_of_a_worker_does_not_bind_its_next_start(deployed):
    name_limit(deployed, 1, 'llm-0')
    press(deployed, 4)
    deployed.workers['llm-0'].behaviour.limit = ''
    deployed.set_state('llm-0', 'ready', born=2000)
    deployed.world.run(0.5)
    before = len(deployed.workers['llm-0'].arrivals)
    press(deployed, 4)

    assert len(deployed.workers['llm-0'].arrivals) - before >= 40


def test_a_limit_of_zero_lets_a_worker_still_be_asked(deployed):
    since = name_limit(deployed, 0, 'llm-0')
    press(deployed, 12)
    deployed.workers['llm-0'].behaviour.limit = ''
    press(deployed, 8)

    worker = deployed.workers['llm-0']
    assert count_worst_window(worker, since) > compute_allowed(0)
    named = [at for at in worker.arrived_at if since <= at < since + 9]
    assert len(named) <= 5


def test_entries_that_lose_their_links_keep_to_a_part_of_the_limit(deployed):
    since = name_limit(deployed, 2, 'llm-0')
    press(deployed, 5)
    names = [f'gateway-{number}' for number in range(ENTRIES)]
    deployed.world.partition(names[:3], names[3:])
    press(deployed, 12)

    assert count_worst_window(
        deployed.workers['llm-0'], since
    ) <= compute_allowed(2)


def test_an_answer_without_a_signature_does_not_lift_a_limit(deployed):
    since = name_limit(deployed, 1, 'llm-0')
    press(deployed, 3)
    behaviour = deployed.workers['llm-0'].behaviour
    behaviour.limit = ''
    behaviour.is_unsigned = True
    press(deployed, 9)

    assert count_worst_window(
        deployed.workers['llm-0'], since
    ) <= compute_allowed(1)


def test_an_entry_that_starts_knows_the_limit_from_its_peers(deployed):
    name_limit(deployed, 1, 'llm-0')
    press(deployed, 3)
    deployed.add_gateway('gateway-9')
    deployed.world.run(3)

    known = deployed.gateways['gateway-9'].services.fleet.limits
    worker = deployed.gateways['gateway-9'].services.fleet.workers['llm-0']
    assert known.is_limited(worker.registration.start_key)
