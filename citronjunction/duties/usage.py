"""Requests begun by window and organisation, over all entries."""

from collections import abc

TOLD_WINDOWS = 3  # the current one and those not yet reported
SEPARATOR = '/'  # between an entry's name and its incarnation
KEPT_WINDOWS = 6  # a report is due two windows after its end

Counts = dict[str, dict[str, int]]
Snapshot = dict[str, Counts]  # by entry and incarnation


class UsageLedger:
    """Count own requests and merge what peers tell; keys are window numbers.

    Counts are cumulative per incarnation, so that loss and repetition of
    reports do no harm.
    """

    __slots__ = ('incarnation', 'name', 'own', 'peers', 'window_s')

    def __init__(self, window_s: float, name: str, incarnation: int) -> None:
        """Take the length of a window in seconds and who counts."""
        self.name = name
        self.incarnation = incarnation
        self.window_s = window_s
        self.own: Counts = {}
        self.peers: dict[tuple[str, int], Counts] = {}

    def get_window(self, wall: float) -> int:
        """Return the number of the window at a time of day."""
        return int(wall // self.window_s)

    def record_request(self, organisation: str, wall: float) -> None:
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

    def merge_report(self, name: str, incarnation: int, counts: Counts) -> None:
        """Take what a peer counted since its start."""
        held = self.peers.setdefault((name, incarnation), {})
        held.update(counts)
        if len(held) > KEPT_WINDOWS:
            newest = max(int(window) for window in held)
            _drop_before(held, newest - KEPT_WINDOWS)

    def export(self) -> Snapshot:
        """Return the counts of all entries and incarnations."""
        self._prune()
        held = {(self.name, self.incarnation): self.own, **self.peers}
        return {
            f'{name}{SEPARATOR}{incarnation}': {
                window: dict(counts) for window, counts in windows.items()
            }
            for (name, incarnation), windows in held.items()
            if windows
        }

    def restore(self, snapshot: Snapshot) -> None:
        """Take counts of entries that may have ended; higher ones stand."""
        for key, windows in snapshot.items():
            name, _, incarnation = key.rpartition(SEPARATOR)
            if (name, int(incarnation)) == (self.name, self.incarnation):
                continue
            held = self.peers.setdefault((name, int(incarnation)), {})
            for window, counts in windows.items():
                known = held.setdefault(window, {})
                for organisation, count in counts.items():
                    known[organisation] = max(
                        count,
                        known.get(organisation, 0),
                    )

    def _prune(self) -> None:
        windows = {window for held in self.peers.values() for window in held}
        newest = max(map(int, windows | set(self.own)), default=0)
        for key, held in tuple(self.peers.items()):
            _drop_before(held, newest - KEPT_WINDOWS)
            if not held:
                self.peers.pop(key)

    def get_total(self, window: int) -> abc.Mapping[str, int]:
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
