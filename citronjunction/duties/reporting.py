"""Usage reports: one per window, with the same counts from every holder.

The counts are created in the store before they are sent. A holder that finds
a window's counts there sends these instead of its own. Peers know the stored
counts too, since a restored store may lack them after they were sent.
"""

from collections import abc

from citronjunction.conf import models as conf
from citronjunction.duties import clock, models, usage
from citronjunction.observability import decisions
from citronjunction.store import formats, records

KIND = 'citron-usage'
SEND_RESERVE_S = 1.5  # left for writing and sending before a report is due
BACKLOG_WINDOWS = 3  # latest windows that a new holder checks for a report

Counts = abc.Mapping[str, int]


class UsageReporter:
    """Store a window's counts once, then send the stored counts.

    ``stored`` are the counts of windows that any entry has stored in the
    platform's store, ``doubtful`` the windows whose stored counts may be lost:
    they are sent only with known counts, and else left out.
    """

    __slots__ = (
        'clock',
        'cloud',
        'doubtful',
        'finished',
        'formats',
        'has_silent_peer',
        'in_flight',
        'ledger',
        'log',
        'on_stored',
        'settings',
        'store',
        'stored',
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
        on_stored: abc.Callable[[int, Counts], None],
    ) -> None:
        """Call ``on_stored`` with the counts of a window once they are stored."""
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.ledger = ledger
        self.clock = steady_clock
        self.log = log
        self.has_silent_peer = has_silent_peer
        self.on_stored = on_stored
        self.formats = formats.FormatCheck(KIND)
        self.in_flight: set[int] = set()
        self.finished: set[int] = set()
        self.doubtful: set[int] = set()
        self.stored: dict[int, Counts] = {}

    def begin_era(self) -> None:
        """Doubt the reports that the store may have lost by a restore."""
        last = self._get_last_window(self.settings.usage_settle_s)
        self.doubtful = set(range(last - BACKLOG_WINDOWS + 1, last + 1))
        self.finished -= self.doubtful

    def trust_store(self) -> None:
        """Record that the store has lost no report."""
        self.doubtful.clear()

    def record_stored(self, window: int, counts: Counts) -> None:
        """Record the counts of a window that a peer has stored."""
        self.stored.setdefault(window, counts)
        for old in sorted(self.stored)[: -2 * BACKLOG_WINDOWS]:
            self.stored.pop(old)

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Report the windows that ended at least the settle time ago."""
        last = self._get_last_window(self._get_settle_s())
        oldest = last - BACKLOG_WINDOWS + 1
        self.doubtful = {window for window in self.doubtful if window >= oldest}
        for window in range(oldest, last + 1):
            if window not in self.finished and window not in self.in_flight:
                self._write(window, get_fence)
        self.finished -= {
            window for window in self.finished if window < oldest - 1
        }

    def _get_last_window(self, settle_s: float) -> int:
        """Return the last window that ended at least ``settle_s`` ago."""
        window_s = self.settings.usage_window_s
        return self.ledger.get_window(self.clock.now() - settle_s - window_s)

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
        known = self.stored.get(window)
        counts = dict(self.ledger.get_total(window) if known is None else known)
        if not counts:
            self.finished.add(window)
            self.doubtful.discard(window)
            return
        if known is None and window in self.doubtful:
            # An earlier holder may have sent other counts. Empty counts in the
            # store keep every holder from sending any.
            counts = {}
            self.log.write('usage left out', str(window))
        self.in_flight.add(window)
        self.store.create(
            KIND,
            str(window),
            formats.stamp({'counts': counts}),
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
                if self.formats.is_known(str(window), spec):
                    self._send(window, spec, get_fence)
                else:
                    self.in_flight.discard(window)
                    self.finished.add(window)
            case _:
                self.in_flight.discard(window)

    def _send(
        self,
        window: int,
        spec: abc.Mapping[str, object],
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        counts = dict(spec['counts'])
        self.doubtful.discard(window)
        fence = get_fence()
        if fence is None or not counts:
            self.in_flight.discard(window)
            if not counts:
                self.finished.add(window)
            return
        self.record_stored(window, counts)
        self.on_stored(window, counts)
        report = models.UsageReport(window, counts)
        self.log.write(
            'report usage',
            str(window),
            counts=report.counts,
            token=fence.token,
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
