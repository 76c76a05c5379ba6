"""Exhaustive exploration of reads, writes, losses and pauses of two nodes.

A call and its answer are separate steps, so a write may take effect late, its
answer may be lost, and a node may be paused in between.
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
class InFlightWrite:
    """A write on its way to the store, or its answer on the way back."""

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
        self.in_flight = [None, None]

    def steps(self):
        names = ['time']
        for number, node in enumerate(self.nodes):
            if node.is_held(self.now):
                names.append(f'announce {number}')
        for number, in_flight in enumerate(self.in_flight):
            if in_flight is None:
                names.append(f'decide {number}')
            elif in_flight.has_arrived:
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
        in_flight = self.in_flight[number]
        match verb:
            case 'announce':
                self.nodes[1 - number].observe_version(node.version, self.now)
            case 'decide':
                self._decide(number, node)
            case 'arrive':
                in_flight.has_arrived = True
                in_flight.version = self._put(in_flight.write)
            case 'answer':
                self.in_flight[number] = None
                if in_flight.version is None:
                    node.fail_write()
                else:
                    node.apply_write(in_flight.version, self.now)
            case 'lose' | 'lose answer':
                self.in_flight[number] = None
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
                in_flight
                and (in_flight.write, in_flight.version, in_flight.has_arrived)
                for in_flight in self.in_flight
            ),
        )

    def _freeze_node(self, node):
        # Times are relative to now, so equal states at different times match.
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

    def _decide(self, number, node):
        match node.decide(self.now):
            case models.Write() as write:
                self.in_flight[number] = InFlightWrite(write)
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


def test_no_order_of_events_yields_two_holders():
    result = explorer.explore(LeaseModel(), DEPTH)

    assert result.trace is None
    assert result.states > 10_000


class TakeOverEarly(models.Lease):
    """Take over without waiting for the lease to expire."""

    def _may_take_over(self, now):
        return True


class ExpiryFromAnswer(models.Lease):
    """Start the lease at the answer to the write, not when it was sent."""

    def apply_write(self, version, now):
        self.sent_at = now
        super().apply_write(version, now)


class NoMargin(models.Lease):
    """Act as the holder until after the lease has expired."""

    def is_held(self, now):
        return now < self.expires_at + STEP_S


@pytest.mark.parametrize('broken', [TakeOverEarly, ExpiryFromAnswer, NoMargin])
def test_exploration_finds_two_holders_of_a_broken_lease(broken):
    class BrokenModel(LeaseModel):
        lease_class = broken

    result = explorer.explore(BrokenModel(), DEPTH)

    assert result.trace is not None
    assert 'both hold' in result.trace[-1]
