"""Detection that this entry has lost its links to the workers of an upstream."""

import functools
from collections import abc
from typing import TYPE_CHECKING

from citronjunction.duties import clock
from citronjunction.gateway import (
    assigning,
    attempt,
    connection_checks,
    context,
    fleet,
    health,
    reachability,
)
from citronjunction.membership import facts
from citronjunction.peering import node

if TYPE_CHECKING:
    from citronjunction.gateway import flow

MAX_CHECKS = 8  # workers of an upstream that are checked at once
PROBES = 2  # workers of a lost upstream that are checked at an interval
PROBE_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 10.0  # between reports that stay the same
SCAN_INTERVAL_S = 0.1
# Without a byte from any worker of an upstream, while a request waits at one of
# them for so long on a connection that was open before, all are checked.
SILENCE_S = 0.4
MIN_CHECK_INTERVAL_S = 1.0  # of an upstream, for its silence


class Round:
    """Count the results of simultaneous checks of an upstream."""

    __slots__ = ('is_over', 'is_silent', 'pending')

    def __init__(self, pending: int) -> None:
        self.pending = pending
        self.is_over = False
        self.is_silent = True

    def record(self, check: connection_checks.Result) -> bool:
        """Record a result; return whether it ends the round."""
        self.pending -= 1
        if check is not connection_checks.Result.silent:
            self.is_silent = False
        if check is connection_checks.Result.accepted:
            self.pending = 0
        self.is_over = not self.pending
        return self.is_over


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
        self.checked_at: dict[str, float] = {}
        self.is_probing = False

    def start(self) -> None:
        """Start to look for silent connections at intervals."""
        self.services.timers.call_every(SCAN_INTERVAL_S, self._scan)

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
        now = self.services.timers.now()
        if not self.reach.record_success(upstream, now):
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
        """Apply a peer's report, and check what it has lost.

        A serving entry without requests would not notice that all workers are
        down, and would be listed as the only one that reaches them.
        """
        if fact.name == self.peers.own_name:
            return
        self.reach.apply_report(fact, self.services.timers.now())
        if not self.peers.roles.stands_by:
            for upstream in fact.upstreams:
                self._check_if_silent(upstream)

    def _check_if_silent(self, upstream: str) -> None:
        """Check an upstream if no worker has sent a byte for a while."""
        now = self.services.timers.now()
        workers = self.services.fleet.select(upstream)
        heard_at = max((worker.heard_at for worker in workers), default=now)
        checked_at = self.checked_at.get(upstream, 0)
        is_due = now - checked_at > MIN_CHECK_INTERVAL_S
        is_silent = now - heard_at > SILENCE_S
        if is_due and is_silent and upstream not in self.reach.lost:
            self.checked_at[upstream] = now
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

    def _on_checked(
        self, upstream: str, checks: Round, check: connection_checks.Result
    ) -> None:
        if checks.is_over or not checks.record(check):
            return
        self.rounds.pop(upstream)
        if check is connection_checks.Result.accepted:
            self.on_connected(upstream)
        else:
            self._lose(upstream, is_silent=checks.is_silent)

    def _scan(self) -> None:
        now = self.services.timers.now()
        waiting = {
            running.attempt.worker.registration.upstream
            for running in self.services.flows
            if _is_waiting(running.attempt, now)
        }
        for upstream in sorted(waiting):
            self._check_if_silent(upstream)

    def _lose(self, upstream: str, *, is_silent: bool) -> None:
        if upstream in self.reach.lost:
            return
        self.reach.lost.add(upstream)
        self.services.log.write(
            'upstream unreachable',
            upstream,
            workers=len(self._select(upstream)),
            is_cut_off=self.is_cut_off(),
            is_silent=is_silent,
        )
        self._publish()
        if is_silent:
            self._abandon(upstream)
        for other in self.services.fleet.by_upstream:
            if other not in self.reach.lost:
                self._check(other)
        self._probe_later()

    def _abandon(self, upstream: str) -> None:
        """Give up the connections of an upstream that are silent, too."""
        for worker in self.services.fleet.select(upstream):
            self.services.client.pool.drop(worker.registration.address)
        waiting = sorted(self.services.flows, key=_get_arrival)
        for unanswered in waiting:
            unanswered.on_upstream_lost(upstream)

    def _probe_later(self) -> None:
        if not self.is_probing:
            self.is_probing = True
            self.services.timers.call_later(PROBE_INTERVAL_S, self._probe)

    def _probe(self) -> None:
        self.is_probing = False
        if self.reach.lost:
            self._probe_later()
        for upstream in sorted(self.reach.lost):
            workers = self._select(upstream)
            if not workers:
                self.on_connected(upstream)
            count = min(PROBES, len(workers))
            on_probed = functools.partial(self._on_probed, upstream)
            for worker in self.services.random.sample(workers, count):
                self._connect(worker, on_probed)
        if self.services.timers.now() - self.published_at > REPORT_INTERVAL_S:
            self._publish()

    def _on_probed(
        self, upstream: str, check: connection_checks.Result
    ) -> None:
        if check is connection_checks.Result.accepted:
            self.on_connected(upstream)

    def _connect(
        self,
        worker: fleet.Worker,
        on_result: abc.Callable[[connection_checks.Result], None],
    ) -> None:
        connection_checks.ConnectionCheck(
            self.peers.loop.sockets, assigning.CONNECT_S, on_result
        ).start(worker.registration.address)

    def _select(self, upstream: str) -> list[fleet.Worker]:
        return [
            worker
            for worker in self.services.fleet.select(upstream)
            if not (
                worker.is_absent or self.services.fleet.is_out_of_use(worker)
            )
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


def _is_waiting(waiting: attempt.Attempt | None, now: float) -> bool:
    """Return whether an attempt has waited long on a reused connection."""
    if waiting is None or waiting.worker.is_peer or waiting.call is None:
        return False
    is_unanswered = waiting.answer is None and waiting.call.is_reused
    return is_unanswered and now - waiting.sent_at > SILENCE_S


def _get_arrival(waiting: 'flow.Flow') -> tuple[float, str]:
    return waiting.request.arrived_at, waiting.request.name
