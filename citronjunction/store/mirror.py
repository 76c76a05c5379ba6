"""Local copy of the objects of one kind, kept by list and watch."""

import random
from collections import abc
from typing import Protocol

from citronjunction.store import records
from citronjunction.transport import timer_queue

MIN_RETRY_S = 0.1  # first pause after a failed call
GATHER_S = 0.15  # after a change; those that follow share one call
MAX_RETRY_S = 0.6  # keeps a returned store's changes well inside 2 s


class Listener(Protocol):
    """Take changes of mirrored objects."""

    def on_record(self, kind: str, record: records.Record) -> None:
        """Take a new or changed object."""

    def on_removed(self, kind: str, name: str) -> None:
        """Learn that an object is gone."""

    def on_synced(self, kind: str) -> None:
        """Learn that the copy is complete."""

    def on_reachable(self, kind: str, *, is_reachable: bool) -> None:
        """Learn that the store was lost or has returned."""


class Mirror:
    """List a kind once, then watch it; list again when history is gone."""

    def __init__(
        self,
        kind: str,
        store: records.Store,
        timers: timer_queue.TimerQueue,
        source: random.Random,
        listener: Listener,
        wait_s: float,
    ) -> None:
        """Take the kind, the store, the listener and a watch's wait."""
        self.kind = kind
        self.store = store
        self.timers = timers
        self.random = source
        self.listener = listener
        self.wait_s = wait_s
        self.records: dict[str, records.Record] = {}
        self.listed: set[str] = set()
        self.as_of = 0
        self.turn = 0
        self.failures = 0
        self.changed_as_of = 0
        self.answered_at = float('-inf')
        self.is_following = False
        self.is_synced = False
        self.is_reachable = True

    def start(self) -> None:
        """List from the start; an earlier call's result is then ignored."""
        self.turn += 1
        self.is_following = False
        self.listed.clear()
        self._list('')

    def follow(self) -> None:
        """Take peers' copies alone until the next start."""
        self.turn += 1
        self.is_following = True

    def suspend(self) -> None:
        """Ignore calls under way, whose answers may never come."""
        self.turn += 1
        self._note_unreachable()

    @property
    def needs_copy(self) -> bool:
        """Tell whether a peer's copy may be newer than this one."""
        is_current = self.is_synced and self.is_reachable
        return self.is_following or not is_current

    def apply_copy(
        self,
        held: abc.Iterable[records.Record],
        as_of: int,
    ) -> None:
        """Take a peer's whole copy, if it is newer."""
        if as_of <= self.as_of:
            return
        names = set()
        for record in held:
            names.add(record.name)
            self._take(record)
        self._finish_list(names, as_of)

    def _list(self, after: str) -> None:
        turn = self.turn
        self.store.list_page(
            self.kind,
            after,
            lambda result: self._on_list(turn, result),
        )

    def _on_list(self, turn: int, result: records.ListResult) -> None:
        if turn != self.turn:
            return
        match result:
            case records.Page():
                self._note_reachable()
                self._take_page(result)
            case records.Unavailable():
                self._retry()

    def _take_page(self, page: records.Page) -> None:
        for record in page.records:
            self.listed.add(record.name)
            self._take(record)
        if page.after:
            self._list(page.after)
            return
        if page.as_of < self.as_of:
            # An answer older than a peer's copy must not take it back.
            self._watch()
            return
        self._finish_list(self.listed, page.as_of)
        self._watch()

    def _finish_list(self, names: set[str], as_of: int) -> None:
        self.as_of = max(self.as_of, as_of)
        self.changed_as_of = self.as_of
        for name in set(self.records) - names:
            self._remove(name)
        self.is_synced = True
        self.listener.on_synced(self.kind)

    def _watch(self) -> None:
        turn = self.turn
        self.store.watch(
            self.kind,
            self.as_of,
            self.wait_s,
            lambda result: self._on_watch(turn, result),
        )

    def _on_watch(self, turn: int, result: records.WatchResult) -> None:
        if turn != self.turn:
            return
        match result:
            case records.Changes():
                self._note_reachable()
                for change in result.changes:
                    self._apply(change)
                self.as_of = max(self.as_of, result.as_of)
                if result.changes:
                    self.changed_as_of = self.as_of
                    self._watch_later()
                else:
                    self._watch()
            case records.HistoryGone():
                self.start()
            case records.Unavailable():
                # A watch that hangs and one that waits look the same, so
                # after a failure only a list proves that the store answers.
                self._retry()

    def _watch_later(self) -> None:
        turn = self.turn
        self.timers.call_later(
            GATHER_S,
            lambda: self._watch() if turn == self.turn else None,
        )

    def _apply(self, change: records.Change) -> None:
        if change.is_removed:
            self._remove(change.record.name)
        else:
            self._take(change.record)

    def _take(self, record: records.Record) -> None:
        known = self.records.get(record.name)
        if known is None or known.revision < record.revision:
            self.records[record.name] = record
            self.listener.on_record(self.kind, record)

    def _remove(self, name: str) -> None:
        if self.records.pop(name, None) is not None:
            self.listener.on_removed(self.kind, name)

    def _note_reachable(self) -> None:
        self.failures = 0
        self.answered_at = self.timers.now()
        if not self.is_reachable:
            self.is_reachable = True
            self.listener.on_reachable(self.kind, is_reachable=True)

    def _note_unreachable(self) -> None:
        if self.is_reachable:
            self.is_reachable = False
            self.listener.on_reachable(self.kind, is_reachable=False)

    def _retry(self) -> None:
        self.failures += 1
        self._note_unreachable()
        pause_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**self.failures)
        turn = self.turn
        self.timers.call_later(
            pause_s * (1 + self.random.random()) / 2,
            lambda: self.start() if turn == self.turn else None,
        )
