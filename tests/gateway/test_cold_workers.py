"""A cold worker gets no more than it bears from all entries together."""

import pytest

from citronjunction.gateway import pace_keeping
from tests.support import platform_system

PER_S = 4.0
OVERRUN, SLACK = 1.5, 1.0
BOUND = PER_S * OVERRUN + SLACK
SETTLED_S = 18  # after the start of a fleet, until all parts are in use


class ColdSystem(platform_system.PlatformSystem):
    """A system whose upstream of streams states what a cold worker bears."""

    figures = {'coldS': 3.0, 'coldPerS': PER_S}

    def __init__(self, serving):
        super().__init__()
        self.serving = serving
        for service in self.configuration['services']:
            if service['name'] == 'llm':
                service |= self.figures

    def configure_settings(self, settings):
        settings.pacing.cold_overrun = OVERRUN
        settings.pacing.cold_slack = SLACK
        settings.membership.serving = self.serving


def build(count, workers=2, serving=8):
    deployed = ColdSystem(serving).build(workers=workers, gateways=count)
    deployed.world.run(SETTLED_S)
    return deployed


def list_entries(deployed):
    return sorted(deployed.gateways)


def count_worst_second(deployed, name):
    times = deployed.workers[name].arrived_at
    return max(
        (sum(0 <= at - start < 1 for at in times) for start in times),
        default=0,
    )


def flood(deployed, names, seconds=4):
    answers = deployed.press(names, seconds, 60, '/stream/x')
    deployed.world.run(3)
    return answers


# Guards against FAILBACK: each entry for itself sends what a worker bears.
@pytest.mark.parametrize('count', [1, 3, 7])
def test_a_flood_over_all_entries_stays_within_the_bound(count):
    deployed = build(count)

    answers = flood(deployed, list_entries(deployed))

    for name in ('llm-0', 'llm-1'):
        assert 1 < count_worst_second(deployed, name) <= BOUND
    assert {answer.status for answer in answers} == {200, 503}


def test_what_no_worker_may_get_is_rejected_at_once():
    deployed = build(3)

    answers = flood(deployed, list_entries(deployed))

    rejected = [answer for answer in answers if answer.status == 503]
    assert rejected
    assert max(answer.duration_s for answer in rejected) < 0.1


def test_a_cut_through_the_fleet_adds_no_requests():
    deployed = build(4)
    names = list_entries(deployed)
    deployed.world.partition(names[:2], names[2:])
    for _ in range(6):
        flood(deployed, names, seconds=2)

    assert count_worst_second(deployed, 'llm-0') <= BOUND


def test_an_entry_that_stands_by_forwards_what_it_may_not_send():
    deployed = build(3, serving=2)
    standbys = [
        name
        for name, gateway in deployed.gateways.items()
        if gateway.peers.roles.stands_by
    ]

    answers = deployed.press(standbys, 3, 3, '/stream/x')
    deployed.world.run(3)

    assert len(standbys) == 1
    assert [answer.status for answer in answers] == [200] * len(answers)


def test_other_upstreams_are_not_paced():
    deployed = build(1)

    answers = deployed.press(['gateway-0'], 2, 60, '/safe/x')
    deployed.world.run(1)

    assert {answer.status for answer in answers} == {200}


def test_figures_that_become_unusable_stay_in_force():
    deployed = build(1)
    keeper = deployed.gateways['gateway-0'].peer_exchange.pace_keeper
    before = dict(keeper.pacer.bounds)
    services = [
        {**service, 'coldPerS': 'many'}
        for service in deployed.configuration['services']
    ]
    deployed.configure(services=services)
    deployed.world.run(3)

    assert before and keeper.pacer.bounds == before
    assert isinstance(keeper, pace_keeping.PaceKeeper)
