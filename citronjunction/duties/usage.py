"""Counts of begun requests by window and organisation, of all entries."""

from collections import abc

SHARED_WINDOWS = 3  # the current window and those whose report is not due yet
SEPARATOR = '/'  # between an entry's name and its incarnation in a snapshot
KEPT_WINDOWS = 6  # a report is due two windows after the end of its window

Counts = dict[str, dict[str, int]]  # by window number and organisation
Snapshot = dict[str, Counts]  # by "entry/incarnation"


class UsageLedger:
    """Count own requests and merge the counts that peers report.

    Counts are cumulative per incarnation of an entry, so reports may be lost
    or repeated without an effect on the totals.
    """

    __slots__ = ('incarnation', 'name', 'own', 'peers', 'window_s')

    def __init__(self, window_s: float, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.window_s = window_s
        self.own: Counts = {}
        self.peers: dict[tuple[str, int], Counts] = {}

    def get_window(self, wall: float) -> int:
        """Return the number of the window that contains a time of day."""
        return int(wall // self.window_s)

    def record_request(self, organisation: str, wall: float) -> None:
        """Count a request of an organisation that began at a time of day."""
        window = self.get_window(wall)
        counts = self.own.setdefault(str(window), {})
        counts[organisation] = counts.get(organisation, 0) + 1
        if len(self.own) > KEPT_WINDOWS:
            _drop_before(self.own, window - KEPT_WINDOWS)

    def select_recent(self) -> Counts:
        """Return own counts that may still change or be missing at peers."""
        newest = sorted(self.own, key=int)[-SHARED_WINDOWS:]
        return {window: dict(self.own[window]) for window in newest}

    def merge_report(self, name: str, incarnation: int, counts: Counts) -> None:
        """Replace the counts of a peer's windows by those that it reports."""
        windows = self.peers.setdefault((name, incarnation), {})
        windows.update(counts)
        if len(windows) > KEPT_WINDOWS:
            newest = max(int(window) for window in windows)
            _drop_before(windows, newest - KEPT_WINDOWS)

    def export(self) -> Snapshot:
        """Return the counts of all incarnations of all entries."""
        self._prune()
        entries = {(self.name, self.incarnation): self.own, **self.peers}
        return {
            f'{name}{SEPARATOR}{incarnation}': {
                window: dict(counts) for window, counts in windows.items()
            }
            for (name, incarnation), windows in entries.items()
            if windows
        }

    def restore(self, snapshot: Snapshot) -> None:
        """Merge the counts of a checkpoint, also of entries that have ended.

        Where both have a count, the higher one is kept.
        """
        for key, windows in snapshot.items():
            name, _, incarnation = key.rpartition(SEPARATOR)
            if (name, int(incarnation)) == (self.name, self.incarnation):
                continue
            merged = self.peers.setdefault((name, int(incarnation)), {})
            for window, counts in windows.items():
                merged_counts = merged.setdefault(window, {})
                for organisation, count in counts.items():
                    merged_counts[organisation] = max(
                        count,
                        merged_counts.get(organisation, 0),
                    )

    def _prune(self) -> None:
        windows = {
            window for counts in self.peers.values() for window in counts
        }
        newest = max(map(int, windows | set(self.own)), default=0)
        for key, counts in tuple(self.peers.items()):
            _drop_before(counts, newest - KEPT_WINDOWS)
            if not counts:
                self.peers.pop(key)

    def get_total(self, window: int) -> abc.Mapping[str, int]:
        """Return the requests of all entries in a window by organisation."""
        total: dict[str, int] = {}
        for counts in (self.own, *self.peers.values()):
            for organisation, count in counts.get(str(window), {}).items():
                total[organisation] = total.get(organisation, 0) + count
        return total


def _drop_before(counts: Counts, oldest: int) -> None:
    for window in tuple(counts):
        if int(window) < oldest:
            counts.pop(window)
