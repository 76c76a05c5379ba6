"""Leases: at most one holder, despite lost answers and paused nodes."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from citronjunction.leases import models

DURATION_S = 6.0
MARGIN_S = 2.0


class Store:
    def __init__(self):
        self.version = 0
        self.record = None

    def put(self, write):
        expected_version = str(self.version) if self.version else ''
        if write.expected_version != expected_version:
            return False
        self.version += 1
        self.record = write.record
        return True


class Leasing(stateful.RuleBasedStateMachine):
    """Three nodes, a store whose answers may be lost, pauses and restarts."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.leases = [
            models.Lease(f'n{number}/0', DURATION_S, MARGIN_S, f'n{number}')
            for number in range(3)
        ]
        self.starts = 0
        self.epochs = []

    @stateful.rule(
        pick=st.integers(0, 2),
        fault=st.sampled_from(['', '', '', 'lost', 'down']),
    )
    def act(self, pick, fault):
        lease = self.leases[pick]
        match lease.decide(self.now):
            case models.Write() as write:
                done = fault != 'down' and self.store.put(write)
                if done and not fault:
                    lease.apply_write(str(self.store.version), self.now)
                else:
                    lease.fail_write()
                if done:
                    self.epochs.append(
                        (write.record.epoch, write.record.holder)
                    )
            case models.Read() if not fault:
                version = str(self.store.version) if self.store.version else ''
                lease.apply_read(self.store.record, version, self.now)

    @stateful.rule(pick=st.integers(0, 2))
    def restart(self, pick):
        self.starts += 1
        host = f'n{pick}'
        self.leases[pick] = models.Lease(
            f'{host}/{self.starts}', DURATION_S, MARGIN_S, host
        )

    @stateful.rule(seconds=st.floats(0, 5))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(seconds=st.floats(5, 100))
    def outage(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def at_most_one_holds(self):
        holders = [
            lease.own_name for lease in self.leases if lease.is_held(self.now)
        ]
        assert len(holders) <= 1

    @stateful.invariant()
    def epochs_of_different_holders_differ_and_rise(self):
        epochs = [epoch for epoch, _ in self.epochs]
        assert epochs == sorted(epochs)
        assert len({epoch for epoch, _ in self.epochs}) == len(set(self.epochs))


TestLeasing = Leasing.TestCase
TestLeasing.settings = settings(
    max_examples=200, stateful_step_count=50, derandomize=True, deadline=None
)


def acquire(lease, store, now):
    version = str(store.version) if store.version else ''
    lease.apply_read(store.record, version, now)
    action = lease.decide(now)
    assert isinstance(action, models.Write), action
    assert store.put(action)
    lease.apply_write(str(store.version), now)


def test_lease_expires_before_another_node_may_acquire_it():
    store = Store()
    first = models.Lease('n1', DURATION_S, MARGIN_S)
    acquire(first, store, 0)
    other = models.Lease('n2', DURATION_S, MARGIN_S)
    other.apply_read(store.record, '1', 1)
    assert isinstance(other.decide(1), models.Read)
    assert not first.is_held(DURATION_S - MARGIN_S)
    acquire(other, store, 1 + DURATION_S + 0.1)
    assert other.is_held(8)
    assert other.epoch == 2


def test_write_without_an_answer_is_confirmed_by_a_read():
    store = Store()
    lease = models.Lease('n1', DURATION_S, MARGIN_S)
    lease.apply_read(None, '', 0)
    store.put(lease.decide(0))
    lease.fail_write()
    assert not lease.is_held(0)
    lease.apply_read(store.record, '1', 1)
    assert lease.is_held(1)


def test_paused_holder_continues_under_a_new_epoch():
    store = Store()
    lease = models.Lease('n1', DURATION_S, MARGIN_S)
    acquire(lease, store, 0)
    action = lease.decide(50)
    assert action.record.epoch == 2


def test_released_lease_can_be_acquired_at_once():
    store = Store()
    lease = models.Lease('n1', DURATION_S, MARGIN_S)
    acquire(lease, store, 0)
    store.put(lease.release(1))
    other = models.Lease('n2', DURATION_S, MARGIN_S)
    acquire(other, store, 1)
    assert other.is_held(1)


def test_successor_of_a_killed_holder_takes_over_at_once():
    store = Store()
    acquire(models.Lease('n1/a', DURATION_S, MARGIN_S, 'n1'), store, 0)
    successor = models.Lease('n1/b', DURATION_S, MARGIN_S, 'n1')
    acquire(successor, store, 1)
    assert successor.is_held(1)
    assert successor.epoch == 2


def test_other_host_whose_name_begins_alike_waits():
    store = Store()
    acquire(models.Lease('n12/a', DURATION_S, MARGIN_S, 'n12'), store, 0)
    other = models.Lease('n1/b', DURATION_S, MARGIN_S, 'n1')
    other.apply_read(store.record, '1', 1)
    assert isinstance(other.decide(1), models.Read)


def test_process_without_a_host_waits_for_its_predecessor():
    store = Store()
    acquire(models.Lease('n1/a', DURATION_S, MARGIN_S), store, 0)
    successor = models.Lease('n1/b', DURATION_S, MARGIN_S)
    successor.apply_read(store.record, '1', 1)
    assert isinstance(successor.decide(1), models.Read)
