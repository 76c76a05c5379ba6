"""A wave of prompts: the least urgent are refused first, and early."""

import pytest

from citronjunction.gateway import models, shedding

ROUTES = tuple(
    models.Route(
        name,
        'h',
        f'/{name}/',
        models.RouteKind.stream,
        (models.Target('llm', 1),),
        15.0,
        aim_s,
        1,
        rank,
        False,
        False,
        is_prompt,
    )
    for name, aim_s, rank, is_prompt in (
        ('long', 1.0, 1, True),
        ('short', 0.5, 0, True),
        ('plain', 0.1, 0, False),
    )
)
LIMITS = models.CallerLimits(1, 1, 1, 1)


@pytest.fixture
def shedder():
    held = shedding.Shedder()
    held.apply(models.Configuration(1, ROUTES, {}, {}, {}, LIMITS))
    return held


def test_nothing_is_refused_while_prompts_hardly_wait(shedder):
    assert all(shedder.judge('llm', rank, 0.25) is None for rank in range(10))


def test_the_least_urgent_are_refused_first(shedder):
    refused = [rank for rank in range(10) if shedder.judge('llm', rank, 0.42)]

    assert refused == list(range(1, 10))
    assert shedder.judge('llm', 0, 0.46)


def test_callers_return_after_the_queue_has_drained(shedder):
    assert shedder.judge('llm', 0, 2.0).retry_after_s >= 2.0


def test_an_upstream_without_prompts_sheds_nothing(shedder):
    assert shedder.judge('app', 5, 9.0) is None
