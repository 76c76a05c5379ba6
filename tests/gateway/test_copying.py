"""Changes that a follower gets from its peers instead of the whole copy."""

import random

import pytest

from citronjunction.store import mirror, records


class Listener:
    def __init__(self):
        self.advanced = 0

    def on_record(self, kind, record):
        """Ignore the record."""

    def on_removed(self, kind, name):
        """Ignore the removal."""

    def on_rejected(self, kind, rejection):
        """Ignore the rejection."""

    def on_synced(self, kind):
        """Ignore the list."""

    def on_advanced(self, kind):
        self.advanced += 1

    def on_reachable(self, kind, *, is_reachable):
        """Ignore the store's state."""


class Timers:
    def now(self):
        return 0.0


def build_mirror(names=('a', 'b'), as_of=10):
    built = mirror.Mirror('k', None, Timers(), random.Random(0), Listener(), 1)
    built.begin_era(1)
    built.follow()
    built.apply_copy([build_record(name, 1) for name in names], as_of, 1)
    return built


def build_record(name, revision):
    return records.Record(name, revision, {'at': revision}, {})


def get_state(built):
    return {name: r.revision for name, r in built.records.items()}, built.as_of


def forward(source, target, since):
    """Apply the changes after a revision; return whether they sufficed."""
    changed = source.list_changes(since)
    assert changed is not None
    present = [source.records[n] for n in changed if n in source.records]
    removed = changed - set(source.records)
    return target.apply_changes(present, removed, since, source.as_of)


def test_changes_bring_a_follower_to_the_same_state():
    source, target = build_mirror(), build_mirror()
    source.apply_changes([build_record('c', 12)], ['a'], 10, 12)
    source.apply_changes([build_record('b', 15)], [], 12, 15)

    assert forward(source, target, 10)
    assert get_state(source) == get_state(target) == ({'b': 15, 'c': 12}, 15)
    assert target.list_changes(10) == {'a', 'b', 'c'}


def test_changes_after_a_gap_are_not_applied():
    source, target = build_mirror(), build_mirror(as_of=8)
    source.apply_changes([build_record('c', 12)], [], 10, 12)

    assert not forward(source, target, 10)
    assert get_state(target) == ({'a': 1, 'b': 1}, 8)


def test_changes_that_are_known_change_nothing():
    source, target = build_mirror(), build_mirror()
    source.apply_changes([build_record('c', 12)], [], 10, 12)
    forward(source, target, 10)
    advanced = target.listener.advanced

    assert forward(source, target, 10)
    assert target.listener.advanced == advanced


def test_only_a_whole_copy_serves_a_follower_from_before_the_list():
    source = build_mirror(as_of=10)

    assert source.list_changes(9) is None
    assert source.list_changes(10) == set()


def test_a_long_history_is_dropped():
    source = build_mirror()
    for number in range(2 * mirror.MAX_CHANGES):
        at = 11 + number
        source.apply_changes([build_record('a', at)], [], at - 1, at)

    assert len(source.changes) <= mirror.MAX_CHANGES
    assert source.list_changes(10) is None
    assert source.list_changes(source.as_of - 5) == {'a'}


@pytest.mark.parametrize('seed', range(20))
def test_any_order_of_changes_and_copies_converges(seed):
    source_random = random.Random(seed)
    source, target = build_mirror(), build_mirror()
    known = 10
    for step in range(60):
        as_of = source.as_of + 1
        name = source_random.choice('abcdef')
        if source_random.random() < 0.3:
            source.apply_changes([], [name], as_of - 1, as_of)
        else:
            source.apply_changes(
                [build_record(name, as_of)], [], as_of - 1, as_of
            )
        if source_random.random() < 0.4:
            assert forward(source, target, known)
            known = target.as_of
            assert get_state(source) == get_state(target)
        if step == 30:
            source.begin_era(2)
            target.begin_era(2)
            fresh = [build_record('a', 3)]
            source.apply_copy(fresh, 20, 2)
            assert source.list_changes(0) is None
            target.apply_copy(fresh, 20, 2)
            known = 20
