"""Grey workers: some fail part of their requests, others fail none.

Their share of failures stays below that of an ejection, and their health
checks are good. Without an own retry each failure reaches a caller.
"""

import random

import pytest

from citronjunction.gateway import health
from tests.gateway import patterns

STEP_S = 0.02
FAILING = ('w0', 'w1', 'w2', 'w3', 'w4')


def serve(share, failing, seconds=8):
    """Return the requests and the failures of failing workers."""
    pool, chooser = patterns.build()
    source = random.Random(7)
    now = patterns.NOW
    sent = failed = 0
    for number in range(round(seconds / STEP_S)):
        now += STEP_S
        candidate = chooser.choose(
            'llm',
            patterns.prompt(f'p{number % 40}', shared=800, own=600),
            1,
            (),
            now,
            lambda worker: True,
        )
        worker = candidate.worker
        if worker.registration.name not in failing:
            worker.health.record_success(now)
            continue
        sent += 1
        if source.random() < share:
            failed += 1
            worker.health.record_failure(now)
        else:
            worker.health.record_success(now)
    return sent, failed


@pytest.mark.parametrize('share', [0.3, 0.45])
def test_workers_that_fail_part_of_their_requests_get_few(share):
    sent, _ = serve(share, FAILING)

    assert sent <= 0.3 * 8 / STEP_S


def test_workers_that_fail_alike_share_the_requests():
    pool, chooser = patterns.build()
    now = patterns.NOW
    for worker in pool.workers.values():
        for number in range(20):
            if number % 5:
                worker.health.record_success(now)
            else:
                worker.health.record_failure(now)
    chosen = {
        chooser.choose(
            'llm', patterns.prompt(f'p{number}'), 1, (), now, lambda _: True
        ).worker.registration.name
        for number in range(200)
    }

    assert len(chosen) == 8


def test_one_failure_moves_no_prompt_from_its_cached_prefix():
    pool, chooser = patterns.build()
    wanted = patterns.prompt()

    def choose(now):
        return chooser.choose('llm', wanted, 1, (), now, lambda _: True).worker

    first = choose(patterns.NOW)
    for _ in range(20):
        first.health.record_success(patterns.NOW)
    first.health.record_failure(patterns.NOW)

    assert choose(patterns.NOW) is first


def test_failures_are_forgotten_after_the_window():
    worker_health = health.Health()
    worker_health.record_failure(10)

    assert worker_health.get_failure_share(10) == pytest.approx(1 / 5)
    assert worker_health.get_failure_share(10 + health.WINDOW_S + 1) == 0


def test_failures_that_peers_report_count():
    worker_health = health.Health()
    worker_health.set_peer_counts(16, 5)

    assert worker_health.get_failure_share(10) == pytest.approx(5 / 20)
