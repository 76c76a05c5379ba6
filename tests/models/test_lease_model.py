"""Every order of reads, writes, losses and pauses of two lease holders.

A call and its answer are steps of their own, so that a write may take effect
late, its answer may be lost, and a node may sleep in between.
"""

import dataclasses

import pytest

from citronjunction.leases import models
from tests.support import explorer

DURATION_S = 4.0
MARGIN_S = 1.0
STEP_S = 2.0
DEPTH = 12


@dataclasses.dataclass
class Sent:
    """A write on its way: to the store, or its answer to the node."""

    write: models.Write
    version: str | None = None
    has_arrived: bool = False


class LeaseModel:
    """Two nodes and a store with conditional writes."""

    lease_class = models.Lease

    def __init__(self):
        self.now = 0.0
        self.version = 0
        self.record = None
        self.nodes = [
            self.lease_class(f'n{number}', DURATION_S, MARGIN_S)
            for number in range(2)
        ]
        self.sent = [None, None]

    def steps(self):
        names = ['time']
        for number, node in enumerate(self.nodes):
            if node.is_held(self.now):
                names.append(f'tell of {number}')
        for number, sent in enumerate(self.sent):
            if sent is None:
                names.append(f'act {number}')
            elif sent.has_arrived:
                names.extend((f'answer {number}', f'lose answer {number}'))
            else:
                names.extend((f'arrive {number}', f'lose {number}'))
        return names

    def do(self, step):
        verb, _, digit = step.rpartition(' ')
        if step == 'time':
            self.now += STEP_S
            return
        number = int(digit)
        node = self.nodes[number]
        sent = self.sent[number]
        match verb:
            case 'tell of':
                self.nodes[1 - number].observe_version(node.version, self.now)
            case 'act':
                self._act(number, node)
            case 'arrive':
                sent.has_arrived = True
                sent.version = self._put(sent.write)
            case 'answer':
                self.sent[number] = None
                if sent.version is None:
                    node.fail_write()
                else:
                    node.apply_write(sent.version, self.now)
            case 'lose' | 'lose answer':
                self.sent[number] = None
                node.fail_write()

    def check(self):
        holders = [node for node in self.nodes if node.is_held(self.now)]
        if len(holders) > 1:
            return f'both hold, epochs {[node.epoch for node in holders]}'
        return ''

    def freeze(self):
        return (
            self.version,
            self.record,
            tuple(self._freeze_node(node) for node in self.nodes),
            tuple(
                sent and (sent.write, sent.version, sent.has_arrived)
                for sent in self.sent
            ),
        )

    def _freeze_node(self, node):
        # Times count from now, so that later equal states are the same.
        observed_at = node.observed_at
        return (
            node.version,
            node.observed_version,
            observed_at is not None and max(observed_at - self.now, -6),
            node.record,
            node.epoch,
            max(node.expires_at - self.now, -1),
            max(node.sent_at - self.now, -6),
            node.pending,
            node.is_uncertain,
        )

    def _act(self, number, node):
        match node.decide(self.now):
            case models.Write() as write:
                self.sent[number] = Sent(write)
            case models.Read():
                version = str(self.version) if self.version else ''
                node.apply_read(self.record, version, self.now)

    def _put(self, write):
        expected_version = str(self.version) if self.version else ''
        if write.expected_version != expected_version:
            return None
        self.version += 1
        self.record = write.record
        return str(self.version)


def test_no_order_of_events_gives_two_holders():
    result = explorer.explore(LeaseModel(), DEPTH)

    assert result.trace is None
    assert result.states > 10_000


class NoWait(models.Lease):
    """Take over without waiting for the lease to end."""

    def _may_take_over(self, now):
        return True


class FromAnswer(models.Lease):
    """Count the lease from the answer of the write, not from its start."""

    def apply_write(self, version, now):
        self.sent_at = now
        super().apply_write(version, now)


class NoMargin(models.Lease):
    """Act until the very end, and beyond."""

    def is_held(self, now):
        return now < self.expires_at + STEP_S


@pytest.mark.parametrize('broken', [NoWait, FromAnswer, NoMargin])
def test_a_broken_lease_is_found(broken):
    class BrokenModel(LeaseModel):
        lease_class = broken

    result = explorer.explore(BrokenModel(), DEPTH)

    assert result.trace is not None
    assert 'both hold' in result.trace[-1]
