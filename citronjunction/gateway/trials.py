"""Assessment of versions under rollout by the evidence of all entries."""

from citronjunction.gateway import context, rollouts
from citronjunction.membership import facts
from citronjunction.peering import evidence_rows, node

INTERVAL_S = 0.25  # a bad version gets only a few requests per interval
# Of the value of measure_change; smaller changes are not published.
MIN_REPORTED_CHANGE = 0.5
MAX_REASON = 256  # characters; the limit of a fact's text


class TrialAssessor:
    """Publish this entry's evidence and assess that of all entries."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        incarnation: int,
    ) -> None:
        self.services = services
        self.peers = peers
        self.incarnation = incarnation

    def start(self) -> None:
        """Start assessing at intervals."""
        self.services.timers.call_every(INTERVAL_S, self.assess_all)

    def assess_all(self) -> None:
        """Publish and assess the evidence about each version on trial."""
        for upstream, trial in self.services.rollouts.trials.items():
            if trial.is_open and not trial.withdrawal_reason:
                self._record_workers(upstream, trial)
                self._apply_known_withdrawal(upstream, trial)
                self._report(upstream, trial)
                self._assess(upstream, trial)

    def apply_withdrawal(self, fact: facts.WithdrawnVersion) -> None:
        """Stop using a version that any entry has withdrawn."""
        is_changed = self.services.rollouts.withdraw(
            fact.upstream,
            fact.version,
            fact.reason,
        )
        if is_changed:
            self.services.log.write(
                'withdraw version',
                f'{fact.upstream} {fact.version}',
                reason=fact.reason,
            )

    def _record_workers(self, upstream: str, trial: rollouts.Trial) -> None:
        has_ready = any(
            worker.registration.version == trial.rollout.target
            and not self.services.fleet.is_out_of_use(worker)
            for worker in self.services.fleet.select(upstream)
        )
        now = self.services.timers.now()
        if trial.record_workers(has_ready=has_ready, now=now):
            self.services.log.write(
                'trial',
                upstream,
                target=trial.rollout.target,
                has_workers=has_ready,
            )

    def _apply_known_withdrawal(
        self, upstream: str, trial: rollouts.Trial
    ) -> None:
        # An entry that starts may get the fact before it knows the rollout. For
        # a rollout that is ordered again, an earlier fact does not count.
        if not trial.was_running:
            return
        for fact in self.peers.table.select(facts.WithdrawnVersion):
            if (fact.upstream, fact.version, fact.release) == (
                upstream,
                trial.rollout.target,
                trial.release,
            ):
                self.apply_withdrawal(fact)

    def _report(self, upstream: str, trial: rollouts.Trial) -> None:
        rows = self.services.rollouts.get_rows(upstream)
        measure = evidence_rows.measure_change(rows)
        if abs(measure - trial.reported_measure) < MIN_REPORTED_CHANGE:
            return
        trial.reported_measure = measure
        trial.sequence += 1
        self.peers.publish(
            facts.EvidenceState(
                self.peers.own_name,
                self.incarnation,
                trial.sequence,
                upstream,
                trial.rollout.target,
                trial.release,
                evidence_rows.encode_rows(rows),
            ),
        )

    def _assess(self, upstream: str, trial: rollouts.Trial) -> None:
        target = trial.rollout.target
        rows = evidence_rows.gather_rows(
            self.peers.table,
            upstream,
            target,
            trial.release,
        )
        assessment = trial.detector.assess(rows)
        trial.is_suspect = assessment.is_suspect
        is_doubtful = assessment.is_doubtful
        now = self.services.timers.now()
        if trial.record_doubt(is_doubtful=is_doubtful, now=now):
            self.services.log.write(
                'trial in doubt' if is_doubtful else 'trial goes on',
                upstream,
                target=target,
                reason=assessment.reason,
            )
        if assessment.is_bad:
            self.peers.publish(
                facts.WithdrawnVersion(
                    upstream,
                    target,
                    trial.release,
                    assessment.reason[:MAX_REASON],
                ),
            )
