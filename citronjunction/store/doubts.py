"""Doubts about mirrors: the store may have changes that they lack."""

from collections import abc
from typing import Protocol

from citronjunction.transport import timer_queue

RETRY_S = 0.3  # a call that was only cut off has been tried again by then


class Mirrored(Protocol):
    """A mirrored kind; ``answered_at`` is in monotonic seconds."""

    answered_at: float
    is_following: bool
    is_synced: bool

    @property
    def lacks_store(self) -> bool:
        """Return whether neither the store nor peers keep it current."""


def _do_nothing(kind: str) -> None:
    """Ignore the call until a callback is set."""


class Doubts:
    """Tell which of the kinds that an entry watches may be outdated.

    ``on_doubted`` is called with each kind that becomes doubtful.
    """

    __slots__ = ('doubted', 'is_overdue', 'mirrors', 'on_doubted', 'timers')

    def __init__(
        self,
        mirrors: abc.Mapping[str, Mirrored],
        timers: timer_queue.TimerQueue,
    ) -> None:
        self.mirrors = mirrors
        self.timers = timers
        # Kinds that were doubted; they may be current again since.
        self.doubted: set[str] = set()
        # Whether a probe has been waiting for its answer for too long.
        self.is_overdue = False
        self.on_doubted: abc.Callable[[str], None] = _do_nothing

    def has(self, kind: str) -> bool:
        """Return whether a kind was current and may no longer be."""
        return kind in self.doubted and self._may_be_outdated(kind)

    def get_answered_at(self) -> float:
        """Return when the store last answered a call other than a probe."""
        return max(mirrored.answered_at for mirrored in self.mirrors.values())

    def on_unreachable(self, kind: str) -> None:
        """Doubt a kind whose call has failed, unless a retry succeeds."""
        self.doubted.discard(kind)
        self.timers.call_later(RETRY_S, lambda: self._report(kind))

    def on_overdue(self, begun_at: float) -> None:
        """Doubt all kinds if nothing was answered since a probe began."""
        if self.get_answered_at() < begun_at:
            self.is_overdue = True
            for kind in self.mirrors:
                self._report(kind)

    def on_probed(self) -> None:
        """Record that a probe has succeeded or failed."""
        self.is_overdue = False

    def _may_be_outdated(self, kind: str) -> bool:
        mirrored = self.mirrors[kind]
        is_watching = mirrored.is_synced and not mirrored.is_following
        return is_watching and (mirrored.lacks_store or self.is_overdue)

    def _report(self, kind: str) -> None:
        self.doubted.discard(kind)
        if self._may_be_outdated(kind):
            self.doubted.add(kind)
            self.on_doubted(kind)
