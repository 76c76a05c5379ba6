"""Exhaustive exploration of counts, reports, losses and restarts in a window.

Two entries count requests and share their counts with each other, late or not
at all. Either may store the counts of the window by a conditional create,
which succeeds once; what is reported is always the stored counts.
"""

from citronjunction.duties import usage
from tests.support import explorer

WINDOW_S = 5.0
DEPTH = 9
MAX_REQUESTS = 2  # by each entry


class UsageModel:
    """Two entries, the stored object of the window, and the sent reports."""

    def __init__(self):
        self.ledgers = [self.make_ledger(number, 1) for number in range(2)]
        self.counted = [0, 0]
        self.shared = [None, None]
        self.incarnations = [1, 1]
        self.stored_counts = None
        self.sent = []

    def make_ledger(self, number, incarnation):
        return usage.UsageLedger(WINDOW_S, f'e{number}', incarnation)

    def steps(self):
        names = []
        for number in range(2):
            if self.counted[number] < MAX_REQUESTS:
                names.append(f'count {number}')
            names.extend((f'share {number}', f'report {number}'))
            if self.shared[number] is not None:
                names.append(f'arrive {number}')
            if self.incarnations[number] == 1:
                names.append(f'restart {number}')
        return names

    def do(self, step):
        verb, _, digit = step.partition(' ')
        number = int(digit)
        ledger = self.ledgers[number]
        match verb:
            case 'count':
                self.counted[number] += 1
                ledger.record_request('org', 1.0)
            case 'share':
                counts = ledger.select_recent()
                self.shared[number] = (ledger.incarnation, counts)
            case 'arrive':
                incarnation, counts = self.shared[number]
                self.ledgers[1 - number].merge_report(
                    f'e{number}', incarnation, counts
                )
            case 'restart':
                self.incarnations[number] = 2
                self.ledgers[number] = self.make_ledger(number, 2)
            case 'report':
                self._report(ledger)

    def _report(self, ledger):
        counts = dict(ledger.get_total(0))
        if self.stored_counts is None and counts:
            self.stored_counts = counts
        if self.stored_counts is not None:
            self.sent.append(self.stored_counts)

    def check(self):
        if any(report != self.sent[0] for report in self.sent):
            return f'reported in two ways: {self.sent}'
        total = (self.stored_counts or {}).get('org', 0)
        if total > sum(self.counted):
            return f'{total} reported of {sum(self.counted)}'
        return ''

    def freeze(self):
        return (
            tuple(self.counted),
            tuple(self.incarnations),
            repr(self.shared),
            repr(self.stored_counts),
            repr(self.sent[-1:]),
            tuple(
                repr(sorted(ledger.export().items())) for ledger in self.ledgers
            ),
        )


def test_no_order_of_events_yields_differing_or_excessive_reports():
    result = explorer.explore(UsageModel(), DEPTH)

    assert result.trace is None
    assert result.states > 5_000


class WithoutStore(UsageModel):
    """Send the counts without storing them first."""

    def _report(self, ledger):
        counts = dict(ledger.get_total(0))
        if counts:
            self.stored_counts = counts
            self.sent.append(counts)

    def freeze(self):
        return (*super().freeze(), repr(self.sent))


class ManyIncarnations(UsageModel):
    """Merge each report as from a new incarnation, so that counts add up."""

    def do(self, step):
        if step.startswith('arrive'):
            number = int(step[-1])
            _, counts = self.shared[number]
            other = self.ledgers[1 - number]
            new_incarnation = len(other.peers) + 10
            other.merge_report(f'e{number}', new_incarnation, counts)
            return
        super().do(step)


def test_exploration_finds_a_report_that_is_not_stored():
    result = explorer.explore(WithoutStore(), DEPTH)

    assert result.trace is not None
    assert 'two ways' in result.trace[-1]


def test_exploration_finds_counts_that_are_added_twice():
    result = explorer.explore(ManyIncarnations(), DEPTH)

    assert result.trace is not None
    assert 'reported of' in result.trace[-1]
