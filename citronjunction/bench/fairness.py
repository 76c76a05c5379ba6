"""Fairness in virtual time: one organisation floods, another must not feel it."""

import dataclasses

from citronjunction.admission import controller, models
from citronjunction.bench import mixes, serving
from citronjunction.conf import models as conf
from citronjunction.organisations import models as organisations
from citronjunction.standins import batch
from citronjunction.upstreams import models as upstreams

FLOODER = 0
VICTIM = 1
FLOOD = 10.0  # times the capacity
SHARE_S = 1.0  # interval at which entries tell each other what was used
VICTIM_RATE = 0.15  # of the mix's rate
DEADLINE_S = 60.0
CALM = 'calm'
FLOODED = 'flooded'


@dataclasses.dataclass(slots=True, eq=False)
class Held:
    """Join a request to its ticket."""

    arrival: mixes.Arrival
    ticket: models.Ticket


class FairServing(serving.Serving):
    """Admit requests with the product's controllers, one an entry."""

    def __init__(self, mix: mixes.Mix, seed: int) -> None:
        """Build a controller for each entry."""
        super().__init__('ours', mix, mix.workers, seed)
        slots = mix.workers * serving.BATCH_OPTIONS.slots
        part = slots / mix.entries
        self.gates = []
        for _ in range(mix.entries):
            gate = controller.Controller(conf.Admission())
            gate.limiter.slots = part
            self.gates.append(gate)
        self.waiting: dict[models.Ticket, Held] = {}
        self.running: dict[int, Held] = {}
        self.used: list[dict[str, float]] = [{} for _ in self.gates]
        self.victim_firsts: list[float] = []
        self.refused = 0
        self._push(SHARE_S, self._tell_use)

    def submit(self, arrival: mixes.Arrival) -> None:
        """Ask for admission."""
        cost = arrival.prompt_tokens / 5 + arrival.answer_tokens
        ticket = models.Ticket(
            '',
            f'org-{arrival.organisation}',
            organisations.RequestClass.standard,
            cost,
            self.now,
            self.now + DEADLINE_S,
        )
        held = Held(arrival, ticket)
        match self.gates[arrival.entry].offer(ticket):
            case models.Admitted():
                self._start(held)
            case models.Queued():
                self.waiting[ticket] = held
            case models.Refused():
                self.refused += 1

    def on_first(self, job: batch.Job, at: float) -> None:
        """Note a first token, counted from the request's arrival."""
        held = self.running[id(job)]
        gate = self.gates[held.arrival.entry]
        gate.limiter.record(at - self.sent[id(job)][0])
        waited_s = at - held.arrival.at
        self.firsts.append(waited_s)
        if held.arrival.organisation == VICTIM:
            self.victim_firsts.append(waited_s)

    def on_finished(self, job: batch.Job, worker: upstreams.Worker) -> None:
        """Free the slot and start what waits."""
        super().on_finished(job, worker)
        held = self.running.pop(id(job))
        gate = self.gates[held.arrival.entry]
        gate.finish(held.ticket, self.now - held.arrival.at)
        while True:
            ticket, _ = gate.take_next(self.now)
            if ticket is None:
                return
            self._start(self.waiting.pop(ticket))

    def _start(self, held: Held) -> None:
        used = self.used[held.arrival.entry]
        name = held.ticket.organisation
        used[name] = used.get(name, 0) + held.ticket.cost
        gate = self.gates[held.arrival.entry]
        is_within_fair_share = gate.is_within_fair_share(name)
        job = self.send(held.arrival, 0 if is_within_fair_share else 1)
        self.running[id(job)] = held

    def _tell_use(self) -> None:
        for number, used in enumerate(self.used):
            for other, gate in enumerate(self.gates):
                if other != number:
                    for name, cost in used.items():
                        gate.queue.charge(name, cost)
            used.clear()
        if self.busy or self.now < self.last_at:
            self._push(self.now + SHARE_S, self._tell_use)


def measure(mix: mixes.Mix, seconds: float, seed: int) -> dict[str, float]:
    """Return the victim's p95 first token alone and beside a flood."""
    rate = mix.rate * VICTIM_RATE
    calm = dataclasses.replace(mix, rate=rate)
    victims = [
        dataclasses.replace(arrival, organisation=VICTIM)
        for arrival in mixes.generate(calm, seconds, seed)
    ]
    heavy = dataclasses.replace(mix, rate=mix.rate * FLOOD)
    flood = [
        dataclasses.replace(arrival, organisation=FLOODER)
        for arrival in mixes.generate(heavy, seconds, seed + 1)
    ]
    figures = {}
    for name, arrivals in ((CALM, victims), (FLOODED, victims + flood)):
        held = FairServing(mix, seed)
        held.run(sorted(arrivals, key=lambda arrival: arrival.at))
        ordered = sorted(held.victim_firsts)
        figures[name] = ordered[int(len(ordered) * serving.PERCENTILE)]
    return figures
