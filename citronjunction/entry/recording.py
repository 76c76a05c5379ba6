"""Effects of attempts: load, health, evidence and suspect requests."""

from collections import abc

from citronjunction.attempts import models as attempts
from citronjunction.entry import attempt, measuring, models, state
from citronjunction.membership import facts
from citronjunction.upstreams import models as upstreams
from citronjunction.verdicts import models as verdicts

PACE_TOKENS = 8  # after the first one, before the pace is measured


class Recorder:
    """Record the results of one request's attempts.

    ``publish`` sends a fact to peers.
    """

    __slots__ = ('entry', 'publish', 'request', 'retry_state')

    def __init__(
        self,
        entry: state.EntryState,
        request: models.CallerRequest,
        retry_state: attempts.RetryState,
        publish: abc.Callable[[facts.Fact], None],
    ) -> None:
        self.entry = entry
        self.request = request
        self.retry_state = retry_state
        self.publish = publish

    def record_success(self, source: attempt.Attempt) -> None:
        """Record a complete answer."""
        now = self.entry.clock.now()
        source.choice.worker.record_success()
        first_s = (source.first_byte_at or now) - source.sent_at
        sample = measuring.Sample(
            has_failed=False,
            first_s=0 if source.is_stream else first_s,
        )
        self._record(source, sample)
        report = source.get_report()
        if report is not None and report.versions:
            self.entry.record_load_report(source.choice.worker, report)

    def record_latency(self, source: attempt.Attempt) -> None:
        """Record latencies as they occur, not at the end of the stream."""
        if not source.is_first_byte_measured:
            source.is_first_byte_measured = True
            first_s = source.first_byte_at - source.sent_at
            sample = measuring.Sample(
                has_failed=False,
                first_s=first_s,
                is_final=False,
            )
            self._record(source, sample)
        steps = source.reader.token_count - 1
        if steps >= PACE_TOKENS and not source.is_pace_measured:
            source.is_pace_measured = True
            spent_s = self.entry.clock.now() - source.first_byte_at
            sample = measuring.Sample(
                has_failed=False,
                pace_s=spent_s / steps,
                is_final=False,
            )
            self._record(source, sample)

    def record_failure(
        self,
        source: attempt.Attempt,
        failure: verdicts.Failure,
    ) -> None:
        """Record a failed attempt."""
        worker = source.choice.worker
        now = self.entry.clock.now()
        self.entry.metrics.attempts.add(1, {'failure': failure.code})
        self.retry_state.excluded.add(worker.name)
        if worker.is_leaving:
            return
        match failure:
            case verdicts.NotRun(code='connect_failed'):
                worker.record_unreachable(now)
            case verdicts.NotRun():
                return
            case verdicts.MayHaveRun(code='connection_lost'):
                worker.record_unreachable(now)
                self._record(source, measuring.Sample(has_failed=True))
                self._record_crash(worker, now - source.sent_at)
            case _:
                worker.record_failure(now)
                self._record(source, measuring.Sample(has_failed=True))

    def _record(
        self,
        source: attempt.Attempt,
        sample: measuring.Sample,
    ) -> None:
        measuring.record_sample(
            self.entry,
            self.request,
            source.choice,
            source.version,
            sample,
        )

    def _record_crash(
        self,
        worker: upstreams.Worker,
        run_time_s: float,
    ) -> None:
        fingerprint = self.request.fingerprint
        suspects = self.entry.suspects
        now = self.entry.clock.now()
        if not suspects.is_likely_cause(fingerprint, run_time_s, now):
            return
        names = frozenset((worker.incarnation_name,))
        if not suspects.record_crash(fingerprint, names, now, run_time_s):
            return
        fact = facts.SuspectRequest(
            fingerprint, tuple(names), self.entry.clock.wall_time()
        )
        self.publish(fact)
        if self.entry.suspects.is_refused(fingerprint, now):
            self.retry_state.is_repeatable = False
