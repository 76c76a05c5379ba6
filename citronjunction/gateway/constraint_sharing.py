"""Reports of workers' constraints, and of what counts for them, to peers."""

import dataclasses
from collections import abc

import xxhash

from citronjunction.duties import clock
from citronjunction.gateway import (
    constraints,
    context,
    fleet,
    models,
    place_division,
)
from citronjunction.membership import facts
from citronjunction.peering import node

MIN_INTERVAL_S = 0.05  # between an entry's reports of its requests
ROTATION_S = 1.0  # until the next entry has the first turn
# The same for places of brittle workers, which requests hold for a while.
PLACE_ROTATION_S = 10.0
REQUESTS = 'requests'
REFUSALS = 'refusals'


class ConstraintSharing:
    """Tell the peers what workers name and what is sent to limited workers."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        steady_clock: clock.SteadyClock,
        incarnation: int,
    ) -> None:
        self.services = services
        self.peers = peers
        self.clock = steady_clock
        self.incarnation = incarnation
        self.sequence = 0
        self.published_at = float('-inf')
        self.is_scheduled = False
        self.limits = services.fleet.limits
        self.brittleness = services.fleet.brittleness
        self.tables = {REQUESTS: self.limits, REFUSALS: self.brittleness}
        self.limits.get_turn = self._get_turn
        self.limits.on_send = self._schedule
        self.division = place_division.PlaceDivision(
            peers.own_name, services.reach, services.quotas.peers.is_heard
        )
        self.brittleness.get_turn = self._get_place_turn

    def on_answer(
        self,
        worker: fleet.Worker,
        answer: models.AnswerHead,
        sent_at: float,
    ) -> None:
        """Report the constraints that an answer names if they are news."""
        start_key = worker.registration.start_key
        self._review(start_key, REQUESTS, answer.limit_per_s, sent_at)
        self._review(start_key, REFUSALS, answer.max_refusals_per_s, sent_at)

    def on_full(self, worker: fleet.Worker) -> None:
        """Report that a worker refused a request for want of room."""
        if self.services.fleet.is_brittle(worker.registration.upstream):
            self.peers.publish(
                facts.FullWorker(
                    worker.registration.start_key,
                    worker.total_running,
                    self.clock.now(),
                )
            )

    def on_fact(self, fact: facts.Fact) -> None:
        """Process a fact about a worker's constraints; ignore others."""
        match fact:
            case facts.WorkerConstraint():
                self._apply_constraint(fact)
            case facts.FullWorker():
                self._apply_full(fact)
            case facts.LimitedSends() if fact.name != self.peers.own_name:
                self.limits.record_peer_sends(
                    fact.name,
                    fact.incarnation,
                    fact.sends,
                    self.services.timers.now(),
                )

    def _apply_constraint(self, fact: facts.WorkerConstraint) -> None:
        """Apply what a worker named to this entry or a peer."""
        table = self.tables[fact.constraint]
        now = self.services.timers.now()
        if table.apply(fact.worker_start, fact.per_s, fact.named_at, now):
            self.services.log.write(
                'worker constraint',
                fact.worker_start.partition('/')[0],
                constraint=fact.constraint,
                per_s=fact.per_s,
                named_at=round(fact.named_at, 3),
            )

    def _apply_full(self, fact: facts.FullWorker) -> None:
        """Spare a brittle worker that refused a request."""
        self.services.log.write(
            'worker full',
            fact.worker_start.partition('/')[0],
            room=fact.room,
        )
        self.brittleness.record_full(
            fact.worker_start, fact.room, self.services.timers.now()
        )

    def _review(
        self,
        start_key: str,
        constraint: str,
        per_s: float | None,
        sent_at: float,
    ) -> None:
        known = self.tables[constraint].find(start_key)
        if known is None and per_s is None:
            return
        wall_now = self.clock.now()
        named_at = wall_now
        if known is not None:
            if not known.is_news(per_s, sent_at, wall_now):
                return
            named_at = known.get_change_time(wall_now)
        self.peers.publish(
            facts.WorkerConstraint(start_key, constraint, per_s, named_at)
        )

    def _schedule(self) -> None:
        if self.is_scheduled:
            return
        self.is_scheduled = True
        due_at = self.published_at + MIN_INTERVAL_S
        timers = self.services.timers
        timers.call_later(max(0, due_at - timers.now()), self._publish)

    def _publish(self) -> None:
        self.is_scheduled = False
        self.sequence += 1
        self.published_at = self.services.timers.now()
        self.peers.publish_now(
            facts.LimitedSends(
                self.peers.own_name,
                self.incarnation,
                self.sequence,
                self.limits.count_sends(),
                self.clock.now(),
            )
        )

    def _get_turn(self, start_key: str, now: float) -> constraints.Turn:
        """Return the turn among all serving entries."""
        names = sorted(self.peers.roles.serving)
        return self._build_turn(start_key, names, ROTATION_S, now)

    def _get_place_turn(self, start_key: str, now: float) -> constraints.Turn:
        """Return the turn among the serving entries that reach a worker."""
        serving = self.peers.roles.serving
        worker = self.services.fleet.workers.get(start_key.partition('/')[0])
        upstream = worker.registration.upstream if worker else ''
        division = self.division.divide(upstream, serving, now)
        turn = self._build_turn(
            start_key, division.names, PLACE_ROTATION_S, now
        )
        return dataclasses.replace(
            turn,
            spare=division.spare,
            is_divided_anew=len(division.names) < len(serving),
        )

    def _build_turn(
        self,
        start_key: str,
        names: abc.Sequence[str],
        rotation_s: float,
        now: float,
    ) -> constraints.Turn:
        known_share = self.services.quotas.peers.measure_known_share(now)
        known_share *= self._measure_reporting()
        own_name = self.peers.own_name
        if own_name not in names:
            return constraints.Turn(len(names), len(names) + 1, known_share)
        # Clocks agree closely enough for turns; two entries that disagree for
        # a moment only send one request too many.
        rounds = int(self.clock.now() / rotation_s)
        offset = rounds + xxhash.xxh32_intdigest(start_key.encode())
        position = (names.index(own_name) + offset) % len(names)
        return constraints.Turn(position, len(names), known_share)

    def _measure_reporting(self) -> float:
        """Return the share of the entries that report what they send.

        Those of older builds don't, and don't know the constraints either, so
        their parts are left to them.
        """
        states = self.peers.roles.serving.values()
        reporting = sum(
            self.peers.is_read_by(state, facts.LIMITED_SENDS)
            for state in states
        )
        return reporting / len(states) if reporting else 1
