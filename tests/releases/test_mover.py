"""Moves under any interleaving of operators, lease holders and faults."""

import dataclasses

from hypothesis import settings, stateful
from hypothesis import strategies as st

from citronjunction.configuration import models as configuration
from citronjunction.releases import evidence, mover, status
from citronjunction.upstreams import models as upstreams

WORKERS = 4
DEADLINE_S = 100.0
SPEC = upstreams.UpstreamSpec('llm', upstreams.UpstreamKind.engine, 'v1')


class Moves(stateful.RuleBasedStateMachine):
    """Two holders of a lease write one status; operators declare moves.

    A write from an outdated copy fails, as it does in the store.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.configuration = configuration.Configuration(
            1, upstreams={'llm': SPEC}
        )
        self.stored = status.Status('upstream-llm', stable='v1')
        self.version = 0
        self.copies = [(self.stored, 0), (self.stored, 0)]
        self.loaded = {f'w{number}': {'v1'} for number in range(WORKERS)}
        self.bad_versions = set()
        self.samples = 0
        self.final_states = {}

    def build_inputs(self):
        version = self.stored.candidate
        if not version and self.stored.previous:
            version = self.stored.stable
        assessment = evidence.Assessment(
            version in self.bad_versions, self.samples, 0, 'evidence'
        )
        workers = tuple(
            mover.WorkerView(name, tuple(sorted(versions)))
            for name, versions in self.loaded.items()
        )
        return mover.StepInputs(
            self.now, self.configuration, workers, version, assessment, {}, 99
        )

    def declare(self, action, version):
        revision = self.configuration.revision + 1
        move = configuration.DeclaredMove(
            f'{revision}-version-llm-{version}',
            action,
            f'version llm {version}',
            revision,
            self.now + DEADLINE_S,
            version,
        )
        self.configuration = dataclasses.replace(
            self.configuration,
            revision=revision,
            moves=(*self.configuration.moves, move),
        )

    @stateful.rule(number=st.integers(2, 4))
    def add_version(self, number):
        is_adopted = self.stored.adopted_revision >= max(
            (move.revision for move in self.configuration.moves), default=0
        )
        if is_adopted and not any(move.is_open for move in self.stored.moves):
            self.declare('add', f'v{number}')

    @stateful.rule(number=st.integers(1, 4))
    def withdraw_version(self, number):
        self.declare('withdraw', f'v{number}')

    @stateful.rule(holder=st.integers(0, 1), steps=st.integers(1, 6))
    def hold(self, holder, steps):
        for _ in range(steps):
            copy, read_version = self.copies[holder]
            stepped = mover.step(copy, self.build_inputs())
            if stepped == copy:
                self.send_orders(holder)
                self.now += 2
                continue
            if read_version != self.version:
                self.copies[holder] = (self.stored, self.version)
                continue
            self.version += 1
            self.stored = dataclasses.replace(stepped, step=copy.step + 1)
            self.copies[holder] = (self.stored, self.version)

    def send_orders(self, holder):
        copy, read_version = self.copies[holder]
        if read_version == self.version:
            for order in mover.plan_orders(copy, self.build_inputs()):
                self.loaded[order.worker] = set(order.versions)

    @stateful.rule(count=st.integers(1, 200))
    def serve(self, count):
        self.samples += count
        self.now += 5

    @stateful.rule(number=st.integers(2, 4))
    def turn_bad(self, number):
        self.bad_versions.add(f'v{number}')

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    def restart_worker(self, number):
        self.loaded[f'w{number}'] = {self.stored.stable}

    @stateful.invariant()
    def a_stable_version_stands(self):
        assert self.stored.stable
        assert self.stored.candidate != self.stored.stable

    @stateful.invariant()
    def finished_moves_stay_finished(self):
        for record in self.stored.moves:
            before = self.final_states.get(record.name)
            if before is not None:
                allowed = {before}
                if before is status.MoveState.done:
                    allowed.add(status.MoveState.taken_back)
                assert record.state in allowed
            if not record.is_open:
                self.final_states[record.name] = record.state

    @stateful.invariant()
    def no_share_without_a_candidate(self):
        assert self.stored.candidate or not self.stored.share

    @stateful.invariant()
    def at_most_one_version_moves(self):
        moving = [
            record
            for record in self.stored.moves
            if record.is_open
            and record.action == 'add'
            and record.state is not status.MoveState.waiting
        ]
        assert len(moving) <= 1

    def teardown(self):
        """Check that every declared move ends once nothing else happens."""
        for _ in range(200):
            self.samples += 100
            self.hold(0, 2)
        assert not [record for record in self.stored.moves if record.is_open]
        last = max(
            (move.revision for move in self.configuration.moves), default=0
        )
        assert self.stored.adopted_revision == last


TestMoves = Moves.TestCase
TestMoves.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


def test_a_finished_move_dropped_from_the_status_is_not_repeated():
    machine = Moves()
    for number in range(status.MAX_FINISHED_MOVES + 2):
        machine.declare('add', f'v{number + 2}')
        for _ in range(60):
            machine.samples += 100
            machine.hold(0, 1)
    last = f'v{status.MAX_FINISHED_MOVES + 3}'
    assert machine.stored.stable == last
    machine.hold(0, 6)
    assert machine.stored.stable == last
    assert len(machine.stored.moves) <= status.MAX_FINISHED_MOVES
