"""Detection that this entry has lost its links to the workers of an upstream."""

import functools
from collections import abc

from citronjunction.duties import clock
from citronjunction.gateway import (
    connection_checks,
    context,
    fleet,
    health,
    reachability,
)
from citronjunction.membership import facts
from citronjunction.peering import node

CONNECT_S = 0.3  # a worker accepts within milliseconds
MAX_CHECKS = 8  # workers of an upstream that are checked at once
PROBES = 2  # workers of a lost upstream that are checked at an interval
PROBE_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 10.0  # between reports that stay the same


class Round:
    """Count the results of simultaneous checks of an upstream."""

    __slots__ = ('is_over', 'pending')

    def __init__(self, pending: int) -> None:
        self.pending = pending
        self.is_over = False


class ReachChecker:
    """Check workers after failed connections, and lost upstreams at intervals."""

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
        self.published_at: float = 0
        self.reach = services.reach
        self.rounds: dict[str, Round] = {}

    def on_unreachable(self, worker: fleet.Worker) -> None:
        """Check the other workers once connections to several have failed."""
        upstream = worker.registration.upstream
        failed = self.reach.record_failure(
            upstream,
            worker.registration.start_key,
            self.services.timers.now(),
        )
        needed = min(
            reachability.SUSPICIOUS_FAILURES, len(self._select(upstream))
        )
        if failed >= needed and upstream not in self.reach.lost:
            self._check(upstream)

    def on_connected(self, upstream: str) -> None:
        """Use an upstream again, to which a new connection was accepted."""
        if not self.reach.record_success(upstream):
            return
        self.services.log.write('upstream reachable', upstream)
        for worker in self.services.fleet.select(upstream):
            worker.health = health.Health()
        self._publish()

    def is_cut_off(self) -> bool:
        """Return whether this entry reaches no worker of any upstream."""
        return self.reach.is_cut_off(
            upstream
            for upstream in self.services.fleet.by_upstream
            if self._select(upstream)
        )

    def apply_report(self, fact: facts.LostUpstreams) -> None:
        """Apply a peer's report, and check what it has lost."""
        if fact.name == self.peers.own_name:
            return
        self.reach.apply_report(fact)
        for upstream in fact.upstreams:
            if upstream not in self.reach.lost:
                self._check(upstream)

    def _check(self, upstream: str) -> None:
        if upstream in self.rounds:
            return
        workers = self._select(upstream)
        if not workers:
            return
        if len(workers) > MAX_CHECKS:
            workers = self.services.random.sample(workers, MAX_CHECKS)
        checks = Round(len(workers))
        self.rounds[upstream] = checks
        for worker in workers:
            self._connect(
                worker, functools.partial(self._on_checked, upstream, checks)
            )

    def _on_checked(self, upstream: str, checks: Round, is_up: bool) -> None:
        if checks.is_over:
            return
        checks.pending -= 1
        if is_up:
            self.on_connected(upstream)
        elif checks.pending:
            return
        checks.is_over = True
        self.rounds.pop(upstream)
        if not is_up:
            self._lose(upstream)

    def _lose(self, upstream: str) -> None:
        if upstream in self.reach.lost:
            return
        is_probing = bool(self.reach.lost)
        self.reach.lost.add(upstream)
        self.services.log.write(
            'upstream unreachable',
            upstream,
            workers=len(self._select(upstream)),
            is_cut_off=self.is_cut_off(),
        )
        self._publish()
        for other in self.services.fleet.by_upstream:
            if other not in self.reach.lost:
                self._check(other)
        if not is_probing:
            self._probe_later()

    def _probe_later(self) -> None:
        self.services.timers.call_later(PROBE_INTERVAL_S, self._probe)

    def _probe(self) -> None:
        for upstream in tuple(self.reach.lost):
            workers = self._select(upstream)
            if not workers:
                self.on_connected(upstream)
            count = min(PROBES, len(workers))
            on_probed = functools.partial(self._on_probed, upstream)
            for worker in self.services.random.sample(workers, count):
                self._connect(worker, on_probed)
        if self.services.timers.now() - self.published_at > REPORT_INTERVAL_S:
            self._publish()
        if self.reach.lost:
            self._probe_later()

    def _on_probed(self, upstream: str, is_up: bool) -> None:
        if is_up:
            self.on_connected(upstream)

    def _connect(
        self, worker: fleet.Worker, on_result: abc.Callable[[bool], None]
    ) -> None:
        connection_checks.ConnectionCheck(
            self.peers.loop.sockets, CONNECT_S, on_result
        ).start(worker.registration.address)

    def _select(self, upstream: str) -> list[fleet.Worker]:
        return [
            worker
            for worker in self.services.fleet.select(upstream)
            if not (worker.is_draining or worker.is_absent)
        ]

    def _publish(self) -> None:
        self.sequence += 1
        self.published_at = self.services.timers.now()
        self.peers.publish(
            facts.LostUpstreams(
                self.peers.own_name,
                self.incarnation,
                self.sequence,
                tuple(sorted(self.reach.lost)),
                self.is_cut_off(),
                self.clock.now(),
            )
        )
