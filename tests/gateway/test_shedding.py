"""Load shedding refuses the least urgent prompts first and early."""

import pytest

from citronjunction.gateway import choosing, fleet, shedding
from tests.gateway import patterns

LATENCY_TARGET_S = 0.5
SPEED = choosing.PREFILL_TOKENS_PER_S


def get_queue_s(pool, chooser, urgency):
    candidate = chooser.choose(
        'llm',
        patterns.prompt(shared=700, own=600),
        urgency,
        (),
        patterns.NOW,
        lambda worker: True,
    )
    return candidate.queue_s


def test_nothing_is_refused_while_the_queue_is_short():
    assert shedding.check_queue(LATENCY_TARGET_S, 0.3) is None


def test_callers_retry_after_the_queue_has_drained():
    assert shedding.check_queue(LATENCY_TARGET_S, 2.0).retry_after_s >= 2.0
    assert shedding.check_queue(LATENCY_TARGET_S, 0.41).retry_after_s >= 0.4


def test_a_route_without_a_latency_target_sheds_nothing():
    assert shedding.check_queue(0, 9.0) is None


@pytest.mark.parametrize('second', [20_000, 40_000, 80_000])
def test_a_wave_of_less_urgent_prompts_does_not_refuse_urgent_ones(second):
    pool, chooser = patterns.build(count=2)
    for worker in pool.workers.values():
        worker.prefill_tokens[1] = second

    assert (
        shedding.check_queue(LATENCY_TARGET_S, get_queue_s(pool, chooser, 0))
        is None
    )
    refused = (
        shedding.check_queue(LATENCY_TARGET_S, get_queue_s(pool, chooser, 2))
        is not None
    )
    assert refused is (second / SPEED > LATENCY_TARGET_S * shedding.QUEUE_SHARE)


def test_the_load_of_peers_is_counted_by_urgency():
    pool, chooser = patterns.build(count=1)
    pool.set_peer_loads([{'w0': (3, 0, 58_000, 29_000)}] * 2)

    assert get_queue_s(pool, chooser, 0) == 0
    assert get_queue_s(pool, chooser, 1) == pytest.approx(2.0)
    assert get_queue_s(pool, chooser, 2) == pytest.approx(3.0)


@pytest.mark.parametrize(
    ('rank', 'urgency'), [(0, 0), (1, 1), (2, 2), (9, 2), (-1, 0)]
)
def test_ranks_map_to_urgency_groups(rank, urgency):
    assert fleet.get_urgency(rank) == urgency
