"""Reports of workers' limits, and of requests under them, between entries."""

import xxhash

from citronjunction.duties import clock
from citronjunction.gateway import context, fleet, limits, models
from citronjunction.membership import facts
from citronjunction.peering import node

MIN_INTERVAL_S = 0.05  # between an entry's reports of its requests
ROTATION_S = 1.0  # until the next entry has the first turn


class LimitSharing:
    """Tell the peers which limits workers name and what is sent under them."""

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
        self.limits.get_turn = self._get_turn
        self.limits.on_send = self._schedule

    def on_answer(
        self,
        worker: fleet.Worker,
        answer: models.AnswerHead,
        sent_at: float,
    ) -> None:
        """Report the limit that an answer names if it is not known yet."""
        wall_now = self.clock.now()
        start_key = worker.registration.start_key
        rate_per_s = answer.limit_per_s
        if self.limits.is_news(start_key, rate_per_s, sent_at, wall_now):
            named_at = self.limits.get_change_time(start_key, wall_now)
            self.peers.publish(
                facts.WorkerLimit(start_key, rate_per_s, named_at)
            )

    def apply_limit(self, fact: facts.WorkerLimit) -> None:
        """Apply a limit that this entry or a peer was told."""
        now = self.services.timers.now()
        if self.limits.apply(
            fact.worker_start, fact.rate_per_s, fact.named_at, now
        ):
            self.services.log.write(
                'worker limit',
                fact.worker_start.partition('/')[0],
                per_s=fact.rate_per_s,
                named_at=round(fact.named_at, 3),
            )

    def apply_sends(self, fact: facts.LimitedSends) -> None:
        """Apply a peer's count of requests under limits."""
        if fact.name != self.peers.own_name:
            now = self.services.timers.now()
            self.limits.record_peer_sends(
                fact.name, fact.incarnation, fact.sends, now
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

    def _get_turn(self, start_key: str, now: float) -> limits.Turn:
        serving = sorted(self.peers.roles.serving)
        known_share = self.services.quotas.measure_known_share(now)
        own_name = self.peers.own_name
        if own_name not in serving:
            return limits.Turn(len(serving), len(serving) + 1, known_share)
        # Clocks agree closely enough for turns; two entries that disagree for
        # a moment only send one request too many.
        rounds = int(self.clock.now() / ROTATION_S)
        offset = rounds + xxhash.xxh32_intdigest(start_key.encode())
        position = (serving.index(own_name) + offset) % len(serving)
        return limits.Turn(position, len(serving), known_share)
