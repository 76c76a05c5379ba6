"""Fair queueing between organisations and the order within one."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from citronjunction.admission import fair_queue, models
from citronjunction.organisations import models as organisations

NAMES = ('a', 'b', 'c')
MAX_COST = 500.0
URGENT = organisations.RequestClass.urgent
STANDARD = organisations.RequestClass.standard
BACKGROUND = organisations.RequestClass.background


def build_ticket(name, cost=100.0, kind=STANDARD, at=0.0, deadline=1e6):
    return models.Ticket('r', name, kind, cost, at, deadline)


def drain(queue):
    while (ticket := queue.pop()) is not None:
        yield ticket


class Fairness(stateful.RuleBasedStateMachine):
    """Backlogged organisations are served in proportion to their shares."""

    def __init__(self):
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.weights = {'a': 1.0, 'b': 2.0, 'c': 4.0}
        for name, weight in self.weights.items():
            self.queue.set_weight(name, weight)
        self.waiting = dict.fromkeys(NAMES, 0)
        self.restart_measurement()

    def restart_measurement(self):
        """Restart after a queue was added, emptied or charged."""
        self.served = dict.fromkeys(NAMES, 0.0)
        self.start = {
            name: self.queue.by_organisation[name].virtual_finish
            for name in NAMES
        }

    @stateful.rule(name=st.sampled_from(NAMES), cost=st.floats(1, MAX_COST))
    def push(self, name, cost):
        was_empty = not self.waiting[name]
        self.queue.push(build_ticket(name, cost))
        self.waiting[name] += 1
        if was_empty:
            self.restart_measurement()

    @stateful.rule()
    def pop(self):
        ticket = self.queue.pop()
        if ticket is None:
            assert not any(self.waiting.values())
            return
        name = ticket.organisation
        self.waiting[name] -= 1
        self.served[name] += ticket.cost / self.weights[name]
        if not self.waiting[name]:
            self.restart_measurement()

    @stateful.rule(name=st.sampled_from(NAMES), cost=st.floats(0, 5000))
    def charge_from_peers(self, name, cost):
        self.queue.charge(name, cost)
        self.restart_measurement()

    @stateful.invariant()
    def backlogged_queues_stay_together(self):
        waiting = [name for name in NAMES if self.waiting[name]]
        for one in waiting:
            for other in waiting:
                lead = self.get_position(one) - self.get_position(other)
                at_start = self.start[one] - self.start[other]
                bound = max(at_start, MAX_COST / self.weights[one])
                assert lead <= bound + 1e-6

    def get_position(self, name):
        return self.start[name] + self.served[name]

    @stateful.invariant()
    def length_counts_queued_requests(self):
        assert self.queue.length == sum(self.waiting.values())


TestFairness = Fairness.TestCase
TestFairness.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def test_backlogged_organisations_get_their_shares():
    queue = fair_queue.FairQueue()
    queue.set_weight('a', 1)
    queue.set_weight('b', 3)
    for _ in range(400):
        queue.push(build_ticket('a'))
        queue.push(build_ticket('b'))
    first = [queue.pop().organisation for _ in range(200)]
    assert 145 <= first.count('b') <= 155


def test_new_organisation_is_served_before_a_backlogged_one():
    queue = fair_queue.FairQueue()
    for _ in range(1000):
        queue.push(build_ticket('flood'))
    for _ in range(50):
        queue.pop()
    queue.push(build_ticket('quiet'))
    assert queue.pop().organisation == 'quiet'


def test_cost_charged_by_peers_delays_an_organisation():
    queue = fair_queue.FairQueue()
    queue.push(build_ticket('a'))
    queue.push(build_ticket('b'))
    queue.charge('a', 1000)
    assert [ticket.organisation for ticket in drain(queue)] == ['b', 'a']


def test_urgent_requests_go_first_and_background_ones_do_not_starve():
    queue = fair_queue.FairQueue()
    queue.push(build_ticket('a', kind=BACKGROUND, at=0))
    queue.push(build_ticket('a', kind=URGENT, at=10))
    queue.push(build_ticket('a', kind=URGENT, at=70))
    kinds = [
        (ticket.request_class, ticket.arrived_at) for ticket in drain(queue)
    ]
    assert kinds == [(URGENT, 10), (BACKGROUND, 0), (URGENT, 70)]
