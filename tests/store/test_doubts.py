"""Kinds are doubted while the store doesn't answer, and only then."""

import dataclasses

import pytest

from citronjunction.store import doubts, probing, records


@dataclasses.dataclass
class Mirrored:
    kind: str = 'config'
    answered_at: float = 10.0
    is_following: bool = False
    is_synced: bool = True
    lacks_store: bool = False

    def check_changes(self, page):
        """Ignore the page."""


class Timers:
    def __init__(self):
        self.time = 11.5
        self.calls = []

    def now(self):
        return self.time

    def call_later(self, delay_s, call):
        self.calls.append((self.time + delay_s, call))

    def call_every(self, interval_s, call):
        self.call_later(0, call)

    def run(self, seconds):
        self.time += seconds
        due = [call for at, call in self.calls if at <= self.time]
        self.calls = [(at, call) for at, call in self.calls if at > self.time]
        for call in due:
            call()


class Store:
    def __init__(self):
        self.pending = []

    def list_stale(self, kind, on_list):
        self.pending.append(on_list)


class System:
    """A mirror, its probe and its doubts on a store that does not answer."""

    def __init__(self):
        self.timers = Timers()
        self.store = Store()
        self.mirror = Mirrored()
        self.doubted = []
        self.doubts = doubts.Doubts({'config': self.mirror}, self.timers)
        self.doubts.on_doubted = self.doubted.append
        self.probe = probing.Probe(
            self.store,
            self.timers,
            [self.mirror],
            lambda mirrored, result: self.doubts.on_probed(),
            self.doubts.on_overdue,
        )
        self.probe.start()
        self.timers.run(0)


@pytest.fixture
def system():
    return System()


def test_a_kind_is_doubted_while_a_probe_is_not_answered(system):
    system.timers.run(probing.OVERDUE_S)
    assert system.doubted == ['config']
    assert system.doubts.has('config')

    system.store.pending.pop()(records.Page((), '', 5))
    assert not system.doubts.has('config')


def test_an_answer_to_another_call_is_as_good(system):
    system.mirror.answered_at = 11.6
    system.timers.run(probing.OVERDUE_S)
    assert not system.doubted


def test_an_answered_probe_raises_no_doubt(system):
    system.store.pending.pop()(records.Page((), '', 5))
    system.timers.run(probing.OVERDUE_S)
    assert not system.doubted


@pytest.mark.parametrize(
    ('lacks_store', 'expected'), [(True, ['config']), (False, [])]
)
def test_a_failed_call_is_tried_again_first(system, lacks_store, expected):
    system.store.pending.pop()(records.Page((), '', 5))
    system.doubts.on_unreachable('config')
    assert not system.doubted

    system.mirror.lacks_store = lacks_store
    system.timers.run(doubts.RETRY_S)
    assert system.doubted == expected


@pytest.mark.parametrize(
    'changes', [{'is_following': True}, {'is_synced': False}]
)
def test_a_kind_that_is_not_watched_is_not_doubted(system, changes):
    for name, text in changes.items():
        setattr(system.mirror, name, text)
    system.timers.run(probing.OVERDUE_S)
    assert not system.doubted
