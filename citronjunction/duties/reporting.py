"""Sends each window's usage once, with the same counts from any holder."""

from collections import abc

from citronjunction.conf import models as conf
from citronjunction.duties import clock, models, usage
from citronjunction.observability import decisions
from citronjunction.store import records

KIND = 'citron-usage'
SEND_S = 1.5  # kept before a report is due, to write and send it
BACKLOG = 3  # windows that a new holder looks back on


class UsageReporter:
    """Write a window's counts down, then send what is written."""

    __slots__ = (
        'busy',
        'cloud',
        'clock',
        'done',
        'has_silent_peer',
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
        steady: clock.SteadyClock,
        log: decisions.DecisionLog,
        has_silent_peer: abc.Callable[[], bool],
    ) -> None:
        """Take the counts, where they go, and whether some may be missing."""
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.ledger = ledger
        self.clock = steady
        self.log = log
        self.has_silent_peer = has_silent_peer
        self.busy: set[int] = set()
        self.done: set[int] = set()

    def step(self, get_fence: abc.Callable[[], models.Fence | None]) -> None:
        """Report the windows that have settled."""
        window_s = self.settings.usage_window_s
        settled = self.clock.now() - self._get_settle_s()
        last = self.ledger.get_window(settled - window_s)
        for window in range(last - BACKLOG + 1, last + 1):
            if window not in self.done and window not in self.busy:
                self._write(window, get_fence)
        self.done -= {held for held in self.done if held < last - BACKLOG}

    def _get_settle_s(self) -> float:
        """Return how long to wait for counts after a window's end.

        A silent peer may be cut off and still serve; it is waited for as
        long as the report is in time.
        """
        settle_s = self.settings.usage_settle_s
        if self.has_silent_peer():
            return max(settle_s, self.settings.usage_late_s - SEND_S)
        return settle_s

    def _write(
        self,
        window: int,
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        counts = dict(self.ledger.get_total(window))
        if not counts:
            self.done.add(window)
            return
        self.busy.add(window)
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
                    lambda held: self._on_read(window, held, get_fence),
                )
            case _:
                self.busy.discard(window)

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
                self.busy.discard(window)

    def _send(
        self,
        window: int,
        spec: abc.Mapping[str, object],
        get_fence: abc.Callable[[], models.Fence | None],
    ) -> None:
        fence = get_fence()
        if fence is None:
            self.busy.discard(window)
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
        self.busy.discard(window)
        if result is models.CallResult.unavailable:
            self.log.write('usage not accepted', str(window))
        else:
            self.done.add(window)
