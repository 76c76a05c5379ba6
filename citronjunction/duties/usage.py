"""Requests begun by window and organisation, over all entries."""

from collections import abc

TOLD_WINDOWS = 3  # the current one and those not yet reported
KEPT_WINDOWS = 6  # a report is due two windows after its end

Counts = dict[str, dict[str, int]]


class UsageLedger:
    """Count own requests and merge what peers tell; keys are window numbers.

    Counts are cumulative per incarnation, so that loss and repetition of
    reports do no harm.
    """

    __slots__ = ('own', 'peers', 'window_s')

    def __init__(self, window_s: float) -> None:
        """Take the length of a window in seconds."""
        self.window_s = window_s
        self.own: Counts = {}
        self.peers: dict[tuple[str, int], Counts] = {}

    def get_window(self, wall: float) -> int:
        """Return the number of the window at a time of day."""
        return int(wall // self.window_s)

    def note(self, organisation: str, wall: float) -> None:
        """Count a request that began now."""
        window = self.get_window(wall)
        counts = self.own.setdefault(str(window), {})
        counts[organisation] = counts.get(organisation, 0) + 1
        if len(self.own) > KEPT_WINDOWS:
            _drop_before(self.own, window - KEPT_WINDOWS)

    def select_recent(self) -> Counts:
        """Return the own counts that may still change or be missing."""
        newest = sorted(self.own, key=int)[-TOLD_WINDOWS:]
        return {window: dict(self.own[window]) for window in newest}

    def take_report(self, name: str, incarnation: int, counts: Counts) -> None:
        """Take what a peer counted since its start."""
        held = self.peers.setdefault((name, incarnation), {})
        held.update(counts)
        if len(held) > KEPT_WINDOWS:
            newest = max(int(window) for window in held)
            _drop_before(held, newest - KEPT_WINDOWS)

    def sum_up(self, window: int) -> abc.Mapping[str, int]:
        """Return the requests of all entries in a window."""
        total: dict[str, int] = {}
        for counts in (self.own, *self.peers.values()):
            for organisation, count in counts.get(str(window), {}).items():
                total[organisation] = total.get(organisation, 0) + count
        return total


def _drop_before(counts: Counts, oldest: int) -> None:
    for window in tuple(counts):
        if int(window) < oldest:
            counts.pop(window)
