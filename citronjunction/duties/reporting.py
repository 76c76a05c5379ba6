"""Usage reports: one per window, with the same counts from every holder.

The counts are created in the store before they are sent. A holder that finds
a window's counts there sends these instead of its own.
"""

from collections import abc

from citronjunction.conf import models as conf
from citronjunction.duties import clock, models, usage
from citronjunction.observability import decisions
from citronjunction.store import records

KIND = 'citron-usage'
SEND_RESERVE_S = 1.5  # left for writing and sending before a report is due
BACKLOG_WINDOWS = 3  # latest windows that a new holder checks for a report


class UsageReporter:
    """Store a window's counts once, then send the stored counts."""

    __slots__ = (
        'clock',
        'cloud',
        'finished',
        'has_silent_peer',
        'in_flight',
        'ledger',
        'log',
        'settings',
        'store',
    )

    def __init__(
        self,
        settings: conf.Duties,
        store: records.Store,
        cloud: models.Cloud,
        ledger: usage.UsageLedger,
        steady_clock: clock.SteadyClock,
        log: decisions.DecisionLog,
        has_silent_peer: abc.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.ledger = ledger
        self.clock = steady_clock
        self.log = log
        self.has_silent_peer = has_silent_peer
        self.in_flight: set[int] = set()
        self.finished: set[int] = set()

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Report the windows that ended at least the settle time ago."""
        window_s = self.settings.usage_window_s
        settled = self.clock.now() - self._get_settle_s()
        last = self.ledger.get_window(settled - window_s)
        for window in range(last - BACKLOG_WINDOWS + 1, last + 1):
            if window not in self.finished and window not in self.in_flight:
                self._write(window, get_fence)
        self.finished -= {
            window
            for window in self.finished
            if window < last - BACKLOG_WINDOWS
        }

    def _get_settle_s(self) -> float:
        """Return how long to wait for counts after a window's end.

        A silent peer may be partitioned and still serve requests, so the
        report waits for its counts until just before it is late.
        """
        settle_s = self.settings.usage_settle_s
        if self.has_silent_peer():
            return max(settle_s, self.settings.usage_late_s - SEND_RESERVE_S)
        return settle_s

    def _write(
        self,
        window: int,
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        counts = dict(self.ledger.get_total(window))
        if not counts:
            self.finished.add(window)
            return
        self.in_flight.add(window)
        self.store.create(
            KIND,
            str(window),
            {'counts': counts},
            lambda result: self._on_written(window, result, get_fence),
        )

    def _on_written(
        self,
        window: int,
        result: records.WriteResult,
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        match result:
            case records.Record(spec=spec):
                self._send(window, spec, get_fence)
            case records.Conflict():
                self.store.read(
                    KIND,
                    str(window),
                    lambda read: self._on_read(window, read, get_fence),
                )
            case _:
                self.in_flight.discard(window)

    def _on_read(
        self,
        window: int,
        result: records.ReadResult,
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        match result:
            case records.Record(spec=spec):
                self._send(window, spec, get_fence)
            case _:
                self.in_flight.discard(window)

    def _send(
        self,
        window: int,
        spec: abc.Mapping[str, object],
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        fence = get_fence()
        if fence is None:
            self.in_flight.discard(window)
            return
        report = models.UsageReport(window, dict(spec['counts']))
        self.log.write(
            'report usage',
            str(window),
            counts=report.counts,
            epoch=fence.epoch,
        )
        self.cloud.report_usage(
            report,
            fence,
            lambda result: self._on_sent(window, result),
        )

    def _on_sent(self, window: int, result: models.CallResult) -> None:
        self.in_flight.discard(window)
        if result is models.CallResult.unavailable:
            self.log.write('usage not accepted', str(window))
        else:
            self.finished.add(window)
