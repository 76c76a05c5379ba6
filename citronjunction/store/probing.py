"""Probes of the store, and checks of mirrors that it hasn't answered lately."""

from collections import abc
from typing import Protocol

from citronjunction.store import records
from citronjunction.transport import timer_queue

INTERVAL_S = 1.0  # a hanging watch alone would go unnoticed for longer
OVERDUE_S = 0.3  # an answer usually takes milliseconds, a slow one 250 ms


class Mirrored(Protocol):
    """A mirrored kind; ``answered_at`` is in monotonic seconds."""

    kind: str
    answered_at: float

    def check_changes(self, page: records.Page) -> None:
        """Start anew if a page that may be outdated shows missed changes."""


class Probe:
    """List the kind that was silent longest with the cheapest call, in turn.

    A watch that waits can't be told from one that hangs, nor from one whose
    answer was lost. Unless paused, one kind is listed each second. A list that
    is not answered at once is reported before it fails.
    """

    __slots__ = (
        'checked_at',
        'is_paused',
        'is_pending',
        'mirrors',
        'number',
        'on_overdue',
        'on_result',
        'store',
        'timers',
    )

    def __init__(
        self,
        store: records.Store,
        timers: timer_queue.TimerQueue,
        mirrors: abc.Sequence[Mirrored],
        on_result: abc.Callable[[Mirrored, records.ListResult], None],
        on_overdue: abc.Callable[[float], None],
    ) -> None:
        """Set the mirrors to check and the callbacks.

        ``on_overdue`` gets the time at which the list was begun.
        """
        self.store = store
        self.timers = timers
        self.mirrors = mirrors
        self.on_result = on_result
        self.on_overdue = on_overdue
        self.number = 0
        # When a kind was listed last, to take turns.
        self.checked_at: dict[str, float] = {}
        self.is_pending = False
        self.is_paused = False

    def start(self) -> None:
        """Start the timer."""
        self.timers.call_every(INTERVAL_S, self._probe)

    def _probe(self) -> None:
        if self.is_pending or self.is_paused:
            return
        now = self.timers.now()
        oldest = min(self.mirrors, key=self._get_known_at)
        if now - oldest.answered_at < INTERVAL_S:
            return
        self.checked_at[oldest.kind] = now
        self.is_pending = True
        self.number += 1
        number = self.number
        self.timers.call_later(
            OVERDUE_S, lambda: self._check_answered(number, now)
        )
        self.store.list_stale(
            oldest.kind, lambda result: self._on_list(oldest, result)
        )

    def _check_answered(self, number: int, begun_at: float) -> None:
        if self.is_pending and number == self.number:
            self.on_overdue(begun_at)

    def _get_known_at(self, listed: Mirrored) -> float:
        checked_at = self.checked_at.get(listed.kind, float('-inf'))
        return max(listed.answered_at, checked_at)

    def _on_list(self, listed: Mirrored, result: records.ListResult) -> None:
        self.is_pending = False
        self.on_result(listed, result)
