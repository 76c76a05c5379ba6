"""Admission control of an upstream's requests in one entry."""

import collections

from citronjunction.admission import fair_queue, limiter, models
from citronjunction.conf import models as conf
from citronjunction.organisations import models as organisations

RATE_SMOOTHING = 0.05  # weight of a new sample in the moving average
INITIAL_TOKENS_PER_S = 500.0  # assumed service rate of an entry at start
MIN_TOKENS_PER_S = 1.0
MIN_RETRY_AFTER_S = 1.0
MAX_SLOT_SHARE = 0.75  # for one organisation while others are active
ACTIVE_WINDOW_S = 30.0  # for which an organisation is active after a request
MAX_RETRY_AFTER_S = 60.0


class Controller:
    """Admit, queue or refuse requests of one upstream.

    ``tokens_per_s`` is a moving average of the service rate, from which the
    wait of a new request is estimated.
    """

    __slots__ = (
        'active_at',
        'limiter',
        'queue',
        'running',
        'running_by_organisation',
        'settings',
        'tokens_per_s',
    )

    def __init__(self, settings: conf.Admission) -> None:
        self.settings = settings
        self.queue = fair_queue.FairQueue()
        self.limiter = limiter.Limiter(settings.first_token_s)
        self.running = 0
        self.running_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.active_at: dict[str, float] = {}
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def offer(
        self,
        ticket: models.Ticket,
    ) -> models.Admitted | models.Queued | models.Refused:
        """Decide whether a new request runs, waits or is refused.

        A request that cannot run yet is refused if the queue is full or its
        expected wait exceeds the limit of its class or its deadline.
        """
        self.active_at[ticket.organisation] = ticket.arrived_at
        has_slot = self.running < self._get_limit(ticket.organisation)
        if has_slot and self._can_skip_queue(ticket):
            self.queue.charge(ticket.organisation, ticket.cost)
            self._start(ticket)
            return models.Admitted()
        cost_ahead = self.queue.estimate_cost_before(ticket)
        wait_s = cost_ahead / max(MIN_TOKENS_PER_S, self.tokens_per_s)
        if self.queue.length >= self.settings.max_queued:
            return self._refuse('the queue is full', wait_s)
        max_wait_s = self._get_max_wait(ticket)
        if wait_s > max_wait_s:
            reason = f'expected wait {wait_s:.1f} s exceeds {max_wait_s:.1f} s'
            return self._refuse(reason, wait_s - max_wait_s)
        self.queue.push(ticket)
        return models.Queued(wait_s)

    def take_next(
        self,
        now: float,
    ) -> tuple[models.Ticket | None, list[models.Ticket]]:
        """Return the next request to run, if any, and the expired ones.

        Expired requests passed their deadline in the queue. They are not
        run, and their cost is credited back to their organisations.
        """
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

    def finish(self, ticket: models.Ticket, duration_s: float) -> None:
        """Free the slot of a request that has left its upstream.

        A ``duration_s`` of 0 marks a request that did not run; it doesn't
        count for the service rate.
        """
        self.running -= 1
        self.running_by_organisation[ticket.organisation] -= 1
        if duration_s > 0:
            concurrency = self.running + 1
            sample = ticket.cost * concurrency / duration_s
            self.tokens_per_s += RATE_SMOOTHING * (sample - self.tokens_per_s)

    def cancel(self, ticket: models.Ticket) -> bool:
        """Remove a queued request; return whether it was queued."""
        return self.queue.remove(ticket)

    def is_within_fair_share(self, organisation: str) -> bool:
        """Return whether an organisation runs at most an equal share.

        The running requests are divided equally among the organisations
        that have any.
        """
        busy = sum(count > 0 for count in self.running_by_organisation.values())
        return (
            self.running_by_organisation[organisation] * max(1, busy)
            <= self.running
        )

    def _can_skip_queue(self, ticket: models.Ticket) -> bool:
        name = ticket.organisation
        at_cap = self._find_at_cap(ticket.arrived_at)
        if name in at_cap:
            return False
        waiting = [
            other
            for other, queue in self.queue.by_organisation.items()
            if queue.heap
        ]
        return all(other in at_cap for other in waiting)

    def _get_limit(self, organisation: str) -> float:
        """Return the running requests at which an organisation must wait.

        The latency limiter only applies to organisations over their fair
        share, because their load is what delays first tokens.
        """
        if self.is_within_fair_share(organisation):
            return self.limiter.slots
        return self.limiter.limit

    def _find_blocked(self, now: float) -> set[str]:
        return self._find_at_cap(now) | {
            name
            for name, queue in self.queue.by_organisation.items()
            if queue.heap and self.running >= self._get_limit(name)
        }

    def _find_at_cap(self, now: float) -> set[str]:
        """Return active organisations that have reached ``MAX_SLOT_SHARE``.

        A single active organisation may use all slots.
        """
        active = [
            name
            for name, at in self.active_at.items()
            if now - at < ACTIVE_WINDOW_S or self.running_by_organisation[name]
        ]
        if len(active) < 2:
            return set()
        cap = max(1, int(self.limiter.limit * MAX_SLOT_SHARE))
        return {
            name for name in active if self.running_by_organisation[name] >= cap
        }

    def _start(self, ticket: models.Ticket) -> None:
        self.running += 1
        self.running_by_organisation[ticket.organisation] += 1

    def _get_max_wait(self, ticket: models.Ticket) -> float:
        max_wait_s = self.settings.max_wait_s
        if ticket.request_class is organisations.RequestClass.background:
            max_wait_s = self.settings.batch_wait_s
        return min(max_wait_s, ticket.deadline_at - ticket.arrived_at)

    def _refuse(self, reason: str, delay_s: float) -> models.Refused:
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
        return models.Refused(reason, retry_after_s)
