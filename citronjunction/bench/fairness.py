"""Fairness in virtual time: one organisation floods, another is measured."""

import dataclasses

from citronjunction.admission import controller, models
from citronjunction.bench import mixes, serving
from citronjunction.conf import models as conf
from citronjunction.organisations import models as organisations
from citronjunction.standins import batch
from citronjunction.upstreams import models as upstreams

FLOODER = 0
VICTIM = 1
FLOOD_FACTOR = 10.0  # times the rate of the mix
USAGE_INTERVAL_S = 1.0  # between exchanges of usage among entries
VICTIM_RATE_SHARE = 0.15  # of the rate of the mix
DEADLINE_S = 60.0
CALM = 'calm'
FLOODED = 'flooded'


@dataclasses.dataclass(slots=True, eq=False)
class TicketedRequest:
    """Associate a request with its admission ticket."""

    arrival: mixes.Arrival
    ticket: models.Ticket


class FairnessSimulation(serving.ServingSimulation):
    """Simulate entries with the product's admission controllers."""

    def __init__(self, mix: mixes.Mix, seed: int) -> None:
        """Build an admission controller for each entry."""
        super().__init__('ours', mix, mix.workers, seed)
        slots = mix.workers * serving.BATCH_OPTIONS.slots
        slots_per_entry = slots / mix.entries
        self.controllers = []
        for _ in range(mix.entries):
            admission = controller.Controller(conf.Admission())
            admission.limiter.slots = slots_per_entry
            self.controllers.append(admission)
        self.waiting: dict[models.Ticket, TicketedRequest] = {}
        self.running: dict[int, TicketedRequest] = {}
        self.usage: list[dict[str, float]] = [{} for _ in self.controllers]
        self.victim_first_token_s: list[float] = []
        self.refused = 0
        self._schedule(USAGE_INTERVAL_S, self._exchange_usage)

    def submit(self, arrival: mixes.Arrival) -> None:
        """Offer a request for admission."""
        cost = arrival.prompt_tokens / 5 + arrival.answer_tokens
        ticket = models.Ticket(
            '',
            f'org-{arrival.organisation}',
            organisations.RequestClass.standard,
            cost,
            self.now,
            self.now + DEADLINE_S,
        )
        request = TicketedRequest(arrival, ticket)
        match self.controllers[arrival.entry].offer(ticket):
            case models.Admitted():
                self._start(request)
            case models.Queued():
                self.waiting[ticket] = request
            case models.Refused():
                self.refused += 1

    def on_first_token(self, job: batch.Job, at: float) -> None:
        """Record the latency of a first token since the request's arrival."""
        request = self.running[id(job)]
        admission = self.controllers[request.arrival.entry]
        admission.limiter.record(at - self.assignments[id(job)][0])
        waited_s = at - request.arrival.at
        self.first_token_delays_s.append(waited_s)
        if request.arrival.organisation == VICTIM:
            self.victim_first_token_s.append(waited_s)

    def on_finished(self, job: batch.Job, worker: upstreams.Worker) -> None:
        """Release the slot and start queued requests."""
        super().on_finished(job, worker)
        request = self.running.pop(id(job))
        admission = self.controllers[request.arrival.entry]
        admission.finish(request.ticket, self.now - request.arrival.at)
        while True:
            ticket, _ = admission.take_next(self.now)
            if ticket is None:
                return
            self._start(self.waiting.pop(ticket))

    def _start(self, request: TicketedRequest) -> None:
        usage = self.usage[request.arrival.entry]
        name = request.ticket.organisation
        usage[name] = usage.get(name, 0) + request.ticket.cost
        admission = self.controllers[request.arrival.entry]
        is_within_fair_share = admission.is_within_fair_share(name)
        job = self.send(request.arrival, 0 if is_within_fair_share else 1)
        self.running[id(job)] = request

    def _exchange_usage(self) -> None:
        for number, usage in enumerate(self.usage):
            for other, admission in enumerate(self.controllers):
                if other != number:
                    for name, cost in usage.items():
                        admission.queue.charge(name, cost)
            usage.clear()
        if self.busy or self.now < self.last_at:
            self._schedule(self.now + USAGE_INTERVAL_S, self._exchange_usage)


def measure(mix: mixes.Mix, seconds: float, seed: int) -> dict[str, float]:
    """Return the victim's p95 first token in s, alone and beside a flood.

    The keys are ``CALM`` and ``FLOODED``.
    """
    rate = mix.rate * VICTIM_RATE_SHARE
    calm = dataclasses.replace(mix, rate=rate)
    victims = [
        dataclasses.replace(arrival, organisation=VICTIM)
        for arrival in mixes.generate(calm, seconds, seed)
    ]
    flooding = dataclasses.replace(mix, rate=mix.rate * FLOOD_FACTOR)
    flood = [
        dataclasses.replace(arrival, organisation=FLOODER)
        for arrival in mixes.generate(flooding, seconds, seed + 1)
    ]
    figures = {}
    for name, arrivals in ((CALM, victims), (FLOODED, victims + flood)):
        simulation = FairnessSimulation(mix, seed)
        simulation.run(sorted(arrivals, key=lambda arrival: arrival.at))
        ordered = sorted(simulation.victim_first_token_s)
        figures[name] = ordered[int(len(ordered) * serving.PERCENTILE)]
    return figures
