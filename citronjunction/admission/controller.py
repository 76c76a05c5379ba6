"""The admission decision of one upstream."""

import collections

from citronjunction.admission import fair_queue, limiter, models
from citronjunction.conf import models as conf
from citronjunction.organisations import models as organisations

RATE_WEIGHT = 0.05  # weight of a new sample in the service rate
START_RATE = 500.0  # tokens per second and slot-limited entry, at start
MIN_RATE = 1.0  # tokens per second
MIN_RETRY_S = 1.0
MAX_PART = 0.75  # of the slots for one organisation while others are active
ACTIVE_S = 30.0  # time after its last request that an organisation is active
MAX_RETRY_S = 60.0


class Controller:
    """Admit, queue or refuse requests of one upstream."""

    __slots__ = (
        'active_at',
        'limiter',
        'queue',
        'rate',
        'running',
        'running_by',
        'settings',
    )

    def __init__(self, settings: conf.Admission) -> None:
        """Take the limits."""
        self.settings = settings
        self.queue = fair_queue.FairQueue()
        self.limiter = limiter.Limiter(settings.first_token_s)
        self.running = 0
        self.running_by: collections.Counter[str] = collections.Counter()
        self.active_at: dict[str, float] = {}
        self.rate = START_RATE

    def offer(
        self,
        ticket: models.Ticket,
    ) -> models.Admitted | models.Queued | models.Refused:
        """Decide on a new request."""
        self.active_at[ticket.organisation] = ticket.arrived_at
        has_slot = self.running < self._get_limit(ticket.organisation)
        if has_slot and self._may_pass(ticket):
            self.queue.charge(ticket.organisation, ticket.cost)
            self._start(ticket)
            return models.Admitted()
        ahead = self.queue.estimate_cost_before(ticket)
        wait_s = ahead / max(MIN_RATE, self.rate)
        if self.queue.length >= self.settings.max_queued:
            return self._refuse('the queue is full', wait_s)
        allowed_s = self._get_allowed_wait(ticket)
        if wait_s > allowed_s:
            reason = f'expected wait {wait_s:.1f} s is over {allowed_s:.1f} s'
            return self._refuse(reason, wait_s - allowed_s)
        self.queue.push(ticket)
        return models.Queued(wait_s)

    def take_next(
        self,
        now: float,
    ) -> tuple[models.Ticket | None, list[models.Ticket]]:
        """Return the next request to run and those that came too late."""
        expired = []
        while self.running < self.limiter.slots:
            ticket = self.queue.pop(self._find_blocked(now))
            if ticket is None:
                break
            if now < ticket.deadline_at:
                self._start(ticket)
                return ticket, expired
            self.queue.charge(ticket.organisation, -ticket.cost)
            expired.append(ticket)
        return None, expired

    def finish(self, ticket: models.Ticket, seconds: float) -> None:
        """Count a request that has left its upstream."""
        self.running -= 1
        self.running_by[ticket.organisation] -= 1
        if seconds > 0:
            parallel = self.running + 1
            sample = ticket.cost * parallel / seconds
            self.rate += RATE_WEIGHT * (sample - self.rate)

    def cancel(self, ticket: models.Ticket) -> bool:
        """Drop a queued request; tell whether it was queued."""
        return self.queue.remove(ticket)

    def is_within_fair_share(self, organisation: str) -> bool:
        """Tell whether an organisation runs less than its even part."""
        busy = sum(count > 0 for count in self.running_by.values())
        return self.running_by[organisation] * max(1, busy) <= self.running

    def _may_pass(self, ticket: models.Ticket) -> bool:
        name = ticket.organisation
        capped = self._find_capped(ticket.arrived_at)
        if name in capped:
            return False
        waiting = [
            other for other, lane in self.queue.lanes.items() if lane.heap
        ]
        return all(other in capped for other in waiting)

    def _get_limit(self, organisation: str) -> float:
        """Return the limit; late first tokens are not a quiet one's fault."""
        if self.is_within_fair_share(organisation):
            return self.limiter.slots
        return self.limiter.limit

    def _find_blocked(self, now: float) -> set[str]:
        return self._find_capped(now) | {
            name
            for name, lane in self.queue.lanes.items()
            if lane.heap and self.running >= self._get_limit(name)
        }

    def _find_capped(self, now: float) -> set[str]:
        """Return organisations that must leave slots to the others."""
        active = [
            name
            for name, at in self.active_at.items()
            if now - at < ACTIVE_S or self.running_by[name]
        ]
        if len(active) < 2:
            return set()
        cap = max(1, int(self.limiter.limit * MAX_PART))
        return {name for name in active if self.running_by[name] >= cap}

    def _start(self, ticket: models.Ticket) -> None:
        self.running += 1
        self.running_by[ticket.organisation] += 1

    def _get_allowed_wait(self, ticket: models.Ticket) -> float:
        longest = self.settings.max_wait_s
        if ticket.request_class is organisations.RequestClass.background:
            longest = self.settings.batch_wait_s
        return min(longest, ticket.deadline_at - ticket.arrived_at)

    def _refuse(self, reason: str, delay_s: float) -> models.Refused:
        bounded = min(MAX_RETRY_S, max(MIN_RETRY_S, delay_s))
        return models.Refused(reason, bounded)
