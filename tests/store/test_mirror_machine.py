"""Mirrors end equal to the store, whatever is lost, late or out of order."""

import os
import random

import hypothesis
from hypothesis import stateful, strategies

from citronjunction.store import mirror, records

KIND = 'k'
NAMES = strategies.sampled_from('abcdef')
WAIT_S = 5.0
SETTLE_ROUNDS = 60
EXAMPLES = int(os.environ.get('MIRROR_EXAMPLES', '0'))  # by hand


class Timers:
    def __init__(self):
        self.time = 100.0
        self.queue = []

    def now(self):
        return self.time

    def call_later(self, delay_s, call):
        self.queue.append((self.time + delay_s, call))

    def advance(self, seconds):
        self.time += seconds
        due = [item for item in self.queue if item[0] <= self.time]
        self.queue = [item for item in self.queue if item[0] > self.time]
        for _, call in sorted(due, key=lambda item: item[0]):
            call()


class Store:
    """Answer calls on demand, from the objects of that moment."""

    def __init__(self):
        self.page_size = 1
        self.begin(1, {}, 1)
        self.pending = []

    def begin(self, era, objects, revision):
        self.era = era
        self.objects = objects
        self.revision = revision
        self.oldest = revision
        self.history = []

    def list_page(self, kind, after, on_list):
        self.pending.append((lambda: self.build_page(after), on_list))

    def watch(self, kind, revision, wait_s, on_watch):
        self.pending.append((lambda: self.build_changes(revision), on_watch))

    def change(self, name, *, is_removed):
        if is_removed and name not in self.objects:
            return
        self.revision += 1
        if is_removed:
            revision = self.objects.pop(name)
        else:
            revision = self.objects[name] = self.revision
        self.history.append((self.revision, name, revision, is_removed))

    def build_page(self, after):
        names = sorted(name for name in self.objects if name > after)
        page = names[: self.page_size]
        has_more = len(names) > len(page)
        return records.Page(
            tuple(build_record(name, self.objects[name]) for name in page),
            self.revision,
            page[-1] if has_more else '',
        )

    def build_changes(self, since):
        if not self.oldest <= since <= self.revision:
            return records.HistoryGone()
        return records.Changes(
            tuple(
                records.Change(build_record(name, revision), is_removed)
                for at, name, revision, is_removed in self.history
                if at > since
            ),
            self.revision,
        )


class Listener:
    """Record the state of the objects that a listener receives."""

    def __init__(self):
        self.known = {}

    def on_record(self, kind, record):
        self.known[record.name] = record.revision

    def on_removed(self, kind, name):
        self.known.pop(name, None)

    def on_rejected(self, kind, rejection):
        """Ignore the rejection."""

    def on_synced(self, kind):
        """Ignore the list."""

    def on_advanced(self, kind):
        """Ignore the revision."""

    def on_reachable(self, kind, *, is_reachable):
        """Ignore the store's state."""


def build_record(name, revision):
    return records.Record(name, revision, {'at': revision}, {})


class MirrorMachine(stateful.RuleBasedStateMachine):
    """Two mirrors of one store that also get each other's copies."""

    def __init__(self):
        super().__init__()
        self.timers = Timers()
        self.store = Store()
        for name in 'abcd':
            self.store.change(name, is_removed=False)
        self.answered = []
        self.backups = []
        self.copies = []
        self.era = 1
        self.mirrors = [self.build_mirror() for _ in range(2)]

    def build_mirror(self):
        built = mirror.Mirror(
            KIND, self.store, self.timers, random.Random(0), Listener(), WAIT_S
        )
        built.first_watch_at = 0
        built.begin_era(self.era)
        built.start()
        return built

    @stateful.rule(name=NAMES, is_removed=strategies.booleans())
    def change(self, name, is_removed):
        self.store.change(name, is_removed=is_removed)

    @stateful.rule(size=strategies.integers(1, 3))
    def resize_pages(self, size):
        self.store.page_size = size

    @stateful.rule(data=strategies.data())
    def answer(self, data):
        if self.store.pending:
            at = data.draw(strategies.integers(0, len(self.store.pending) - 1))
            build, callback = self.store.pending.pop(at)
            self.answered.append((self.store.era, build(), callback))

    @stateful.rule(data=strategies.data())
    def deliver(self, data):
        if self.answered:
            at = data.draw(strategies.integers(0, len(self.answered) - 1))
            self.receive(*self.answered.pop(at))

    @stateful.rule()
    def answer_and_deliver(self):
        if self.store.pending:
            build, callback = self.store.pending.pop(0)
            self.receive(self.store.era, build(), callback)

    @stateful.rule(
        changes=strategies.lists(
            strategies.tuples(NAMES, strategies.booleans()), max_size=8
        )
    )
    def answer_beside_changes(self, changes):
        for name, is_removed in changes:
            self.answer_and_deliver()
            self.store.change(name, is_removed=is_removed)

    @stateful.rule(data=strategies.data())
    def lose(self, data):
        if self.store.pending:
            at = data.draw(strategies.integers(0, len(self.store.pending) - 1))
            _, callback = self.store.pending.pop(at)
            callback(records.Unavailable('lost', may_take_effect=True))

    @stateful.rule(seconds=strategies.floats(0.05, 3))
    def wait(self, seconds):
        self.timers.advance(seconds)

    @stateful.rule()
    def compact(self):
        self.store.oldest = self.store.revision
        self.store.history.clear()

    @stateful.rule()
    def back_up(self):
        self.backups.append((dict(self.store.objects), self.store.revision))

    @stateful.rule(data=strategies.data())
    def restore(self, data):
        if self.backups:
            objects, revision = data.draw(strategies.sampled_from(self.backups))
            self.store.begin(self.store.era + 1, dict(objects), revision)

    @stateful.rule(number=strategies.integers(0, 1))
    def send_copy(self, number):
        source = self.mirrors[number]
        if source.is_listed:
            copied = tuple(source.records.values())
            self.copies.append((copied, source.as_of, source.era))

    @stateful.rule(number=strategies.integers(0, 1), data=strategies.data())
    def receive_copy(self, number, data):
        if self.copies:
            at = data.draw(strategies.integers(0, len(self.copies) - 1))
            self.mirrors[number].apply_copy(*self.copies.pop(at))

    @stateful.rule(number=strategies.integers(0, 1))
    def exchange_changes(self, number):
        target, source = self.mirrors[number], self.mirrors[1 - number]
        changed = source.list_changes(target.as_of)
        if changed is None or source.era != target.era:
            return
        target.apply_changes(
            [source.records[name] for name in changed & set(source.records)],
            changed - set(source.records),
            target.as_of,
            source.as_of,
        )

    @stateful.rule(number=strategies.integers(0, 1))
    def follow(self, number):
        self.mirrors[number].follow()

    @stateful.rule(number=strategies.integers(0, 1))
    def poll(self, number):
        if self.mirrors[number].is_following:
            self.mirrors[number].poll()

    @stateful.rule(number=strategies.integers(0, 1))
    def start_again(self, number):
        self.mirrors[number].start()

    def receive(self, era, result, callback):
        """Deliver a result as the client of the store does."""
        if era < self.era:
            callback(records.Unavailable('earlier era', may_take_effect=True))
            return
        if era > self.era:
            self.era = era
            for known in self.mirrors:
                known.begin_era(era)
        callback(result)

    def teardown(self):
        for known in self.mirrors:
            if known.is_following:
                known.start()
        for era, result, callback in self.answered:
            self.receive(era, result, callback)
        for _ in range(SETTLE_ROUNDS):
            self.timers.advance(1.0)
            calls, self.store.pending = self.store.pending, []
            for build, callback in calls:
                self.receive(self.store.era, build(), callback)
        for known in self.mirrors:
            held = {r.name: r.revision for r in known.records.values()}
            assert held == self.store.objects
            assert known.listener.known == self.store.objects


# Guards against DRAIN: changes between two pages of a list were missed.
def test_mirrors_end_equal_to_the_store():
    stateful.run_state_machine_as_test(
        MirrorMachine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES or 150,
            stateful_step_count=40,
            derandomize=not EXAMPLES,
            deadline=None,
        ),
    )
