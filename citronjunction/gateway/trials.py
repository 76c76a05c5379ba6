"""Merges all entries' evidence about versions under rollout."""

from citronjunction.gateway import context, rollouts
from citronjunction.membership import facts
from citronjunction.peering import evidence_rows, node

INTERVAL_S = 0.25  # a bad version gets a few requests between two looks
TELL_CHANGE = 0.5  # change of log evidence that is told to peers
MAX_REASON = 256  # characters of a fact's text


class Trials:
    """Tell peers the own evidence and judge that of all."""

    def __init__(
        self,
        services: context.Services,
        peers: node.PeerNode,
        incarnation: int,
    ) -> None:
        """Take the rollouts and the peers."""
        self.services = services
        self.peers = peers
        self.incarnation = incarnation

    def start(self) -> None:
        """Start to judge."""
        self.services.timers.call_every(INTERVAL_S, self.judge_all)

    def judge_all(self) -> None:
        """Judge each version that is on trial."""
        for upstream, trial in self.services.rollouts.trials.items():
            if trial.is_open and not trial.withdrawal_reason:
                self._tell(upstream, trial)
                self._judge(upstream, trial)

    def take_withdrawal(self, fact: facts.WithdrawnVersion) -> None:
        """Stop to use a version that any entry found bad."""
        is_news = self.services.rollouts.withdraw(
            fact.upstream,
            fact.version,
            fact.reason,
        )
        if is_news:
            self.services.log.write(
                'withdraw version',
                f'{fact.upstream} {fact.version}',
                reason=fact.reason,
            )

    def _tell(self, upstream: str, trial: rollouts.Trial) -> None:
        rows = self.services.rollouts.get_rows(upstream)
        change = evidence_rows.measure_change(rows)
        if abs(change - trial.told) < TELL_CHANGE:
            return
        trial.told = change
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

    def _judge(self, upstream: str, trial: rollouts.Trial) -> None:
        target = trial.rollout.target
        rows = evidence_rows.gather_rows(
            self.peers.table,
            upstream,
            target,
            trial.release,
        )
        assessment = trial.detector.assess(rows)
        if assessment.is_bad:
            self.peers.publish(
                facts.WithdrawnVersion(
                    upstream,
                    target,
                    trial.release,
                    assessment.reason[:MAX_REASON],
                ),
            )
