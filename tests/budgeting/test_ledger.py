"""Who goes first when callers take all memory or connections."""

import pytest

from citronjunction.budgeting import ledger, models
from citronjunction.conf import models as conf

KB = 1024
Part = models.Part


class Fleet:
    """Accounts of callers in a ledger, and who was evicted."""

    def __init__(self, **limits):
        self.ledger = ledger.Ledger(conf.Http(max_body=1 * KB, **limits))
        self.evicted = []
        self.ended = []
        self.ledger.on_ended = self.ended.append

    def open(self, name, listener='callers', address='10.0.0.1', now=0.0):
        return self.ledger.open(
            listener, address, lambda _: self.evicted.append(name), now
        )

    def send(self, name, size, now=0.0, address='10.0.0.1'):
        account = self.open(name, address=address, now=now)
        account.begin_step(now)
        account.moved = size
        return account, self.ledger.charge(account, Part.receiving, size, now)


def test_slow_senders_yield_to_quick_ones_however_large():
    fleet = Fleet(max_cost=1000 * KB)
    fleet.send('slow', 100 * KB, now=0.0)
    fleet.send('large', 800 * KB, now=9.9)
    _, is_kept = fleet.send('new', 150 * KB, now=10.0)

    assert is_kept
    assert fleet.evicted == ['slow']
    assert fleet.ended[0].limit is models.Limit.memory
    assert fleet.ledger.total == 950 * KB


def test_nobody_is_evicted_for_age_while_there_is_room():
    fleet = Fleet(max_cost=1000 * KB)
    fleet.send('slow', 400 * KB, now=0.0)
    _, is_kept = fleet.send('new', 500 * KB, now=1000.0)

    assert is_kept
    assert not fleet.ended


def test_a_running_request_is_not_stopped_for_others():
    fleet = Fleet(max_cost=100 * KB)
    running, _ = fleet.send('running', 90 * KB)
    running.is_running = True
    _, is_kept = fleet.send('new', 20 * KB, now=60.0)

    assert not is_kept
    assert not fleet.evicted


def test_slow_readers_of_an_answer_go_first():
    fleet = Fleet(max_cost=100 * KB)
    reader, _ = fleet.send('reader', 0)
    reader.is_running = True
    fleet.ledger.charge(reader, Part.unsent, 90 * KB, 0.0)
    fleet.send('new', 20 * KB, now=60.0)

    assert fleet.evicted == ['reader']


def test_a_small_body_fits_beside_bodies_that_take_all_room():
    fleet = Fleet(max_bodies=1000 * KB)
    large, small, other = (fleet.open(name) for name in 'abc')

    assert fleet.ledger.reserve_body(large, 1000 * KB, 0.0)
    assert not fleet.ledger.reserve_body(other, 200 * KB, 0.0)
    assert fleet.ledger.reserve_body(small, 1 * KB, 0.0)


@pytest.mark.parametrize('listener, is_open', [('callers', False), ('x', True)])
def test_each_listener_keeps_connections_beside_a_crowd(listener, is_open):
    fleet = Fleet(max_connections=64)
    for number in range(64):
        assert fleet.open(number) is not None

    assert (fleet.open('new', listener) is not None) == is_open


def test_a_crowd_without_progress_yields_its_connections():
    fleet = Fleet(max_connections=64)
    for number in range(64):
        fleet.open(number)

    assert fleet.open('new', now=5.0) is not None
    assert len(fleet.evicted) == 1


def test_an_address_has_a_limit_of_its_own():
    fleet = Fleet(max_address_connections=2)
    first, _ = fleet.open('a'), fleet.open('b')

    assert fleet.open('c') is None
    assert fleet.open('d', address='10.0.0.2') is not None
    fleet.ledger.close(first)
    assert fleet.open('e') is not None


def test_closed_accounts_leave_nothing_behind():
    fleet = Fleet(max_cost=100 * KB)
    account, _ = fleet.send('a', 50 * KB)
    fleet.ledger.reserve_body(account, 9, 0.0)
    fleet.ledger.close(account)
    fleet.ledger.close(account)

    assert not (fleet.ledger.total or fleet.ledger.bodies.total)
    assert not (fleet.ledger.accounts or fleet.ledger.addresses)
