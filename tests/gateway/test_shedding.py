"""A wave of prompts: the least urgent are refused first, and early."""

import pytest

from citronjunction.gateway import choosing, fleet, shedding
from tests.gateway import patterns

AIM_S = 0.5
SPEED = choosing.PREFILL_TOKENS_PER_S


def queue_of(held, chooser, urgency):
    found = chooser.choose(
        'llm',
        patterns.prompt(shared=700, own=600),
        urgency,
        (),
        patterns.NOW,
        lambda worker: True,
    )
    return found.queue_s


def test_nothing_is_refused_while_prompts_hardly_wait():
    assert shedding.check_queue(AIM_S, 0.3) is None


def test_callers_return_after_the_queue_has_drained():
    assert shedding.check_queue(AIM_S, 2.0).retry_after_s >= 2.0
    assert shedding.check_queue(AIM_S, 0.41).retry_after_s >= 0.4


def test_a_route_without_a_target_sheds_nothing():
    assert shedding.check_queue(0, 9.0) is None


@pytest.mark.parametrize('second', [20_000, 40_000, 80_000])
def test_a_wave_of_less_urgent_prompts_does_not_refuse_urgent_ones(second):
    held, chooser = patterns.build(count=2)
    for worker in held.workers.values():
        worker.prefill_tokens[1] = second

    assert shedding.check_queue(AIM_S, queue_of(held, chooser, 0)) is None
    refused = (
        shedding.check_queue(AIM_S, queue_of(held, chooser, 2)) is not None
    )
    assert refused is (second / SPEED > AIM_S * shedding.QUEUE_SHARE)


def test_what_peers_told_is_counted_by_urgency():
    held, chooser = patterns.build(count=1)
    held.set_peer_loads([{'w0': (3, 0, 58_000, 29_000)}] * 2)

    assert queue_of(held, chooser, 0) == 0
    assert queue_of(held, chooser, 1) == pytest.approx(2.0)
    assert queue_of(held, chooser, 2) == pytest.approx(3.0)


@pytest.mark.parametrize(
    ('rank', 'urgency'), [(0, 0), (1, 1), (2, 2), (9, 2), (-1, 0)]
)
def test_ranks_fall_into_groups(rank, urgency):
    assert fleet.get_urgency(rank) == urgency
