"""Orders that follow the need of drawn engines, without a network."""

import random

import pytest

from citronjunction.capacity import need, observing, queueing
from citronjunction.duties import scaling
from citronjunction.gateway import models as gateway
from tests.support import scaled_platform

LIMITS = gateway.Scaling(1, 60, 4.0, 0.18, scaled_platform.PRICES)
# Slots, prompt tokens a second and slot-seconds a prompt token.
ENGINES = [(4, 30e3, 4e-5), (12, 100e3, 14e-5), (64, 66e3, 18e-5)]
DEMAND = 600_000


class Engine(scaled_platform.FakePlatform):
    """Workers of one engine, whose runs and first events entries see."""

    def __init__(self, slots, speed, slot_time):
        super().__init__({(zone, False): 10 for zone in LIMITS.prices}, LIMITS)
        self.slot_time = slot_time
        self.slots = slots
        self.seen = {'room': need.Room(slots, 0), 'profile': None}
        self.profile = observing.Profile(speed, 0.6, 0.3, 8000)

    def step(self, tokens_per_s):
        self.seen['running'] = (tokens_per_s or 0) * self.slot_time
        super().step(tokens_per_s)

    def learn(self):
        self.seen['profile'] = self.profile

    def count_needed(self, tokens_per_s, zones=4):
        demand = need.Demand(tokens_per_s, tokens_per_s * self.slot_time)
        room = self.seen['room']
        return need.compute_need(demand, room, self.profile, zones)

    def measure_busy_share(self, tokens_per_s):
        """Return the slots in use, as a share of those that may be."""
        limit = queueing.compute_busy_limit(self.slots, need.WAIT_SHARE)
        count = self.count(is_reclaimable=True)
        count += self.count(is_reclaimable=False)
        return tokens_per_s * self.slot_time / limit / max(1, count)


@pytest.fixture(params=ENGINES)
def engine(request):
    platform = Engine(*request.param)
    platform.run(12)
    platform.learn()
    platform.run(40, tokens_per_s=DEMAND)
    return platform


def test_usual_demand_gets_its_need_of_reclaimable_workers(engine):
    needed = engine.count_needed(DEMAND)

    assert engine.count(is_reclaimable=False) == 0
    count = engine.count(is_reclaimable=True)
    assert needed.planned <= count <= needed.planned + len(LIMITS.prices)


def test_a_shift_change_is_bought_up_at_once_and_down_again(engine):
    # The demand doubles for 20 s and falls to a half of the usual one.
    count_before = engine.count(is_reclaimable=True)
    engine.run(7, tokens_per_s=2 * DEMAND)
    grown = engine.count(is_reclaimable=True)
    assert grown >= 1.8 * count_before
    assert engine.measure_busy_share(2 * DEMAND) <= 1
    engine.run(13, tokens_per_s=2 * DEMAND)
    engine.run(60, tokens_per_s=DEMAND / 2)

    assert engine.count(is_reclaimable=True) < 0.65 * count_before


def test_slots_suffice_through_a_dry_reclaim_wave(engine):
    engine.refuses_reclaimable = True
    for zone in 'abc':
        engine.reclaim(zone)
        # On-demand workers take 4 s to boot.
        engine.run(6, tokens_per_s=DEMAND)
        assert engine.measure_busy_share(DEMAND) <= 1


def test_after_a_loss_of_all_entries_no_worker_is_ordered_away(engine):
    # Nothing is known of the engine, nor of the demand for two seconds.
    count_before = engine.count(is_reclaimable=True)
    engine.scaler = scaling.Scaler('llm')
    engine.seen['profile'] = None
    engine.has_callers = True
    engine.run(2)
    engine.run(8, tokens_per_s=DEMAND)

    assert engine.count(is_reclaimable=True) >= count_before


def test_noise_does_not_start_and_stop_workers():
    source = random.Random(3)
    platform = Engine(*ENGINES[1])
    platform.run(12)
    platform.learn()
    platform.run(60, tokens_per_s=DEMAND)
    orders = len(platform.orders)
    count_before = platform.count(is_reclaimable=True)
    for _ in range(60):
        platform.run(0.5, tokens_per_s=DEMAND * source.uniform(0.9, 1.1))

    assert len(platform.orders) - orders <= 16
    assert platform.count(is_reclaimable=True) <= 1.3 * count_before


def test_an_engine_with_few_slots_for_long_runs_gets_more_workers():
    few, many = (Engine(slots, 100e3, 14e-5) for slots in (4, 64))
    for platform in (few, many):
        platform.run(12)
        platform.run(40, tokens_per_s=DEMAND)

    assert few.count(is_reclaimable=True) > 2 * many.count(is_reclaimable=True)


def test_no_reclaimable_worker_is_given_back_during_a_wave(engine):
    # The demand has fallen as the first data centre is reclaimed.
    engine.run(6, tokens_per_s=2 * DEMAND)
    engine.refuses_reclaimable = True
    engine.reclaim('a')
    count_before = engine.count(is_reclaimable=True)
    engine.run(40, tokens_per_s=DEMAND / 3)
    assert engine.count(is_reclaimable=True) == count_before
    engine.refuses_reclaimable = False
    engine.run(80, tokens_per_s=DEMAND / 3)

    assert engine.count(is_reclaimable=True) < 0.8 * count_before
