"""A worker gets no more than its bound, whatever happens to entries.

The load is that of rule FAILBACK: all entries flood a worker that becomes cold
without notice, while entries are cut off, killed, restarted and frozen.
``PACE_EXAMPLES=2000 pytest tests/pacing/test_pace_machine.py`` draws that many
examples of each size, with a new seed each time.
"""

import os

import hypothesis
import pytest
from hypothesis import stateful, strategies

from tests.pacing import paced_fleet

EXAMPLES = int(os.environ.get('PACE_EXAMPLES', '0'))
SETTINGS = hypothesis.settings(
    derandomize=not EXAMPLES,
    database=None,
    deadline=None,
    stateful_step_count=12,
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=(hypothesis.Phase.generate,),
)
SEEDS = strategies.randoms(use_true_random=False, note_method_calls=False)
SHARES = strategies.sampled_from((0, 0.1, 0.35, 0.6, 1))
WAITS = strategies.sampled_from((0.25, 0.5, 1, 1.5, 2.5, 3, 4, 9, 13, 30))


class PaceMachine(stateful.RuleBasedStateMachine):
    """Flood workers while entries are disturbed in any order."""

    count = 7

    @stateful.initialize(is_settled=strategies.booleans())
    def begin(self, is_settled):
        self.fleet = paced_fleet.Fleet(self.count)
        self.workers = ['w0', 'w1']
        if is_settled:
            self.fleet.advance(5)

    def pick(self, source, share, *, serves):
        """Pick entries, those that serve first."""
        names = list(self.fleet.names)
        source.shuffle(names)
        if serves:
            serving = self.list_serving()
            names.sort(key=lambda name: name not in serving)
        return names[: max(1, round(share * len(names)))]

    def list_serving(self):
        return {
            name
            for name, entry in self.fleet.running.items()
            if name in entry.pacer.roster.view.delegates
        }

    @stateful.rule(wait=WAITS)
    def flood(self, wait):
        self.fleet.advance(wait, self.fleet.names, self.workers)

    @stateful.rule(wait=WAITS)
    def rest(self, wait):
        self.fleet.advance(wait)

    @stateful.rule(index=strategies.integers(0, 1), cold=strategies.booleans())
    def change_worker(self, index, cold):
        until = self.fleet.now + paced_fleet.COLD_S if cold else 0
        self.fleet.cold_until[self.workers[index]] = until

    @stateful.rule(index=strategies.integers(0, 1))
    def replace_worker(self, index):
        name = f'w{len(self.fleet.got) + 2}'
        self.workers[index] = name
        self.fleet.cold_until[name] = self.fleet.now + paced_fleet.COLD_S

    @stateful.rule(
        source=SEEDS,
        share=SHARES,
        serves=strategies.booleans(),
        down=strategies.sampled_from((0.5, 3, 6, 20)),
    )
    def kill(self, source, share, serves, down):
        self.fleet.kill(self.pick(source, share, serves=serves), down)

    @stateful.rule(source=SEEDS, share=SHARES, serves=strategies.booleans())
    def freeze(self, source, share, serves):
        self.fleet.freeze(self.pick(source, share, serves=serves))

    @stateful.rule()
    def thaw(self):
        self.fleet.thaw()

    @stateful.rule(
        source=SEEDS,
        share=SHARES,
        serves=strategies.booleans(),
        group=strategies.integers(1, 3),
        is_single=strategies.booleans(),
    )
    def part(self, source, share, serves, group, is_single):
        names = self.pick(source, share, serves=serves)
        for name in names:
            self.fleet.part([name], name if is_single else group)

    @stateful.rule()
    def heal(self):
        self.fleet.part(self.fleet.names, 0)


@pytest.mark.parametrize(
    ('count', 'examples'), [(1, 5), (7, 60), (70, 6), (195, 2)]
)
def test_bound_holds(count, examples):
    machine = type('Machine', (PaceMachine,), {'count': count})
    if not EXAMPLES:
        machine = hypothesis.seed(0)(machine)
    settings = hypothesis.settings(SETTINGS, max_examples=EXAMPLES or examples)
    stateful.run_state_machine_as_test(machine, settings=settings)
