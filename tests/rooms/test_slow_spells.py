"""Load: workers that turn slow for parts of a second, and figures that lie."""

import random

import pytest

from citronjunction.rooms import reports, slowdowns
from tests.gateway import patterns as fleets
from tests.rooms import patterns


def test_a_stated_slowdown_fades():
    slowdown = slowdowns.Slowdown()
    slowdown.record(2.5, 10.0)

    assert slowdown.measure(10.0) == 2.5
    assert 1 < slowdown.measure(10.3) < 2.5
    assert slowdown.measure(10.001 + slowdowns.FADE_S) == 1


def test_an_older_figure_does_not_replace_a_newer_one():
    slowdown = slowdowns.Slowdown()
    slowdown.record(2.5, 10.0)
    slowdown.record(1.0, 9.9)

    assert slowdown.measure(10.0) == 2.5


@pytest.mark.parametrize('stated', [0.0, 0.01, 1.0])
def test_a_worker_that_states_to_be_fast_gains_nothing(stated):
    pool, chooser = fleets.build()
    wanted = fleets.prompt(shared=700, own=600)

    def choose():
        return chooser.choose(
            'llm', wanted, 1, (), fleets.NOW, lambda worker: True
        ).worker

    first = choose()
    for worker in pool.workers.values():
        if worker is not first:
            worker.slowdown.record(stated, fleets.NOW)
    assert choose() is first


def test_reports_carry_slowdowns_with_their_age():
    known = slowdowns.Slowdown()
    known.record(2.5, 10.0)
    figures = (1, 0, 0, 0, 0, 1, 0, *reports.encode_slowdown(known, 10.2))
    received = slowdowns.Slowdown()
    reports.merge_slowdown(received, figures, 50.0)

    assert received.measure(50.0) == pytest.approx(known.measure(10.2))
    assert not reports.encode_slowdown(known, 11.0)


def test_slow_spells_are_avoided():
    source = random.Random(3)
    engines = {}
    for number in range(12):
        spells = tuple(
            (step * 0.6, step * 0.6 + 0.6, 2.5)
            for step in range(30)
            if source.random() < 0.15
        )
        engines[f'w{number}'] = patterns.Engine(16, 66e3, spells)
    arrivals = patterns.draw_arrivals(3, 120, 15)

    def measure_slow_share(rule):
        outcomes = patterns.Simulation(engines, 8, 3, rule).run(arrivals)
        return sum(
            engines[outcome.worker].get_factor(outcome.arrival.at) > 1
            for outcome in outcomes
            if outcome.worker
        ) / len(outcomes)

    assert measure_slow_share('rooms') < 0.8 * measure_slow_share('random')
