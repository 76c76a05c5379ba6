"""Reports of the peers about their use of quotas, without I/O.

A peer that is not heard may still serve callers. What it may have used since
then is assumed; see ``docs/topics/quotas.md``.
"""

import dataclasses
from collections import abc

SILENT_INTERVALS = 4  # missed reports until a peer counts as silent
LATE_INTERVALS = 1.5  # until its unreported use is assumed
DEFAULT_REPORT_PERIOD_S = 0.25
# A silent peer may be partitioned and still serve callers. Its share is kept
# for longer than network partitions usually last.
SILENT_PEER_RESERVE_S = 60.0
# Age of a peer's last report from which it counts with an equal share at most.
# Links between entries that can reach each other are open again by then.
SEPARATED_S = 15.0
START_S = 5.0  # after the start, in which links to the peers are opened
PAUSE_S = 0.25  # by which a timer is late if the entry was frozen
BACKLOG_S = 0.25  # after a pause, in which reports may be as old as it
NEVER = float('inf')
ASSUMED_ENTRIES = 12  # number of entries assumed until a peer reports
# A peer whose report has a higher number may have started before the window.
MAX_FIRST_SEQUENCE = 64


@dataclasses.dataclass(slots=True, frozen=True)
class UseReport:
    """Use of an entry by organisation since the start of its incarnation.

    ``period_s`` is the longest time until the next report, ``sequence`` the
    number of the report in its incarnation, 0 if unknown. Unless the entry
    ``is_serving``, it stands by and should get few requests.
    """

    incarnation: int
    used: dict[str, float]
    period_s: float = DEFAULT_REPORT_PERIOD_S
    sequence: int = 0
    is_serving: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Unheard:
    """A number of peers that were last heard at a time.

    ``is_late`` says that they should have reported since.
    """

    since: float
    is_late: bool
    is_serving: bool = True
    count: int = 1

    def is_separated(self, now: float) -> bool:
        """Return whether these peers are in another partition, or gone."""
        return now - self.since > SEPARATED_S


@dataclasses.dataclass(slots=True)
class Peer:
    """Store the last report of a peer and when it came."""

    report: UseReport
    heard_at: float
    period_s: float
    is_leaving: bool = False

    def is_silent(self, now: float) -> bool:
        """Return whether several reports are missing."""
        return now - self.heard_at > SILENT_INTERVALS * self.period_s

    def is_late(self, now: float) -> bool:
        """Return whether a report is missing."""
        return now - self.heard_at > LATE_INTERVALS * self.period_s


def _get_zero() -> int:
    """Return 0 until a callback is set."""
    return 0


class Peers:
    """Record the peers' reports; times are monotonic seconds."""

    __slots__ = (
        'active_at',
        'by_name',
        'count_live',
        'due_at',
        'expected_entries',
        'paused_at',
        'resumed_at',
        'saved',
        'started_at',
    )

    def __init__(self, now: float) -> None:
        self.started_at = now
        # When this entry ran last, and when it is due to run again at the
        # latest unless it is frozen.
        self.active_at = now
        self.due_at = NEVER
        # Begin and end of the last time in which it was frozen.
        self.paused_at = now
        self.resumed_at = now - BACKLOG_S
        self.by_name: dict[str, Peer] = {}
        # Number of live entries that may serve callers.
        self.count_live: abc.Callable[[], int] = _get_zero
        # The same before this start, 0 if unknown.
        self.expected_entries = 0
        # Reports that a checkpoint from before this start includes.
        self.saved: dict[str, UseReport] = {}

    def expect_activity(self, now: float, within_s: float) -> None:
        """Record that this entry runs, and does so again within a time."""
        self.note_activity(now)
        self.due_at = now + within_s + PAUSE_S

    def note_activity(self, now: float) -> None:
        """Record that this entry runs."""
        if now > self.due_at:
            self.paused_at = self.active_at
            self.resumed_at = now
            self.due_at = NEVER
        self.active_at = now

    def record(
        self, name: str, report: UseReport, now: float
    ) -> dict[str, float]:
        """Record a report and return the changes of use that it tells."""
        known = self.by_name.get(name)
        if known is not None and _is_outdated(report, known.report):
            return {}
        before = self._get_base(name, report)
        self.saved.pop(name, None)
        is_backlog = now - self.resumed_at < BACKLOG_S
        heard_at = self.paused_at if is_backlog else now
        self.by_name[name] = Peer(report, heard_at, report.period_s)
        return {
            organisation: total - before.get(organisation, 0)
            for organisation, total in report.used.items()
        }

    def has_base(self, name: str, report: UseReport) -> bool:
        """Return whether it is known what a report adds."""
        known = name in self.by_name or self._is_saved(name, report)
        return known or _is_recent_start(report)

    def completes_saved(self, name: str, report: UseReport) -> bool:
        """Return whether a first report adds what a checkpoint lacks.

        Of an entry that has started again since, the rest stays unknown.
        """
        return name not in self.by_name and self._is_saved(name, report)

    def export(self) -> dict[str, UseReport]:
        """Return the last reports of the peers that serve."""
        return {
            name: peer.report
            for name, peer in self.by_name.items()
            if peer.report.is_serving
        }

    def expect_silence(self, reporting: abc.Container[str]) -> None:
        """Expect rare reports of all peers but those named."""
        for name, peer in self.by_name.items():
            if name not in reporting:
                peer.period_s = SILENT_PEER_RESERVE_S

    def apply_roles(self, standbys: abc.Container[str], now: float) -> None:
        """Apply the roles of live peers, which their last reports predate.

        Entries that start together all count as serving until the first
        choice. A standby reports rarely, and would count as if it served
        callers until then. One that is late may be in another partition, in
        which it serves.
        """
        for name, peer in self.by_name.items():
            is_known = name in standbys and not peer.is_late(now)
            if is_known and peer.report.is_serving:
                peer.report = dataclasses.replace(peer.report, is_serving=False)

    def mark_leaving(self, name: str) -> None:
        """Record that a peer stops; its share is freed once it is silent."""
        peer = self.by_name.get(name)
        if peer is not None:
            peer.is_leaving = True

    def expire(self, now: float) -> None:
        """Remove peers that have left or have been silent for long."""
        for name, peer in tuple(self.by_name.items()):
            is_kept = now - peer.heard_at <= SILENT_PEER_RESERVE_S
            if is_kept and not peer.is_leaving:
                continue
            if peer.is_silent(now):
                self.by_name.pop(name)

    def has_silent(self, now: float) -> bool:
        """Return whether a peer that may still serve has stopped reporting."""
        return any(peer.is_silent(now) for peer in self.by_name.values())

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a peer reports."""
        peer = self.by_name.get(name)
        return peer is not None and not peer.is_silent(now)

    def count_entries(self) -> int:
        """Return the number of entries that may serve, including this one."""
        return 1 + len(self.by_name) if self.by_name else ASSUMED_ENTRIES

    def _get_base(self, name: str, report: UseReport) -> dict[str, float]:
        """Return the totals that are known already."""
        known = self.by_name.get(name)
        if known is not None:
            is_continued = _is_continued(report, known.report)
            return known.report.used if is_continued else {}
        if self._is_saved(name, report):
            return self.saved[name].used
        return {} if _is_recent_start(report) else report.used

    def _is_saved(self, name: str, report: UseReport) -> bool:
        saved = self.saved.get(name)
        return saved is not None and _is_continued(report, saved)

    def count_expected(self, now: float) -> int:
        """Return the number of entries, with those that were not heard yet."""
        return max(1 + len(self.by_name), self._count_expected_serving(now))

    def _count_expected_serving(self, now: float) -> int:
        """Return the least number of entries that serve."""
        age_s = now - self.started_at
        if age_s > SILENT_PEER_RESERVE_S:
            return max(1, self.count_live())
        expected = self.expected_entries
        if age_s < START_S:
            expected = max(expected, self.count_live())
        if self.by_name or expected > 1:
            return max(1, expected)
        return ASSUMED_ENTRIES

    def count_serving(self, now: float) -> int:
        """Return the number of expected entries without those that stand by."""
        return max(
            1 + self._count_heard_serving(), self._count_expected_serving(now)
        )

    def _count_heard_serving(self) -> int:
        return sum(peer.report.is_serving for peer in self.by_name.values())

    def measure_known_share(self, now: float) -> float:
        """Return the share of the entries whose use this entry knows.

        These are the entry itself and the peers that report.
        """
        reporting = sum(
            not peer.is_silent(now) for peer in self.by_name.values()
        )
        return (1 + reporting) / self.count_expected(now)

    def list_unheard(self, now: float) -> list[Unheard]:
        """Return the peers that may have use which they have not reported.

        Peers that stand by are left out until they are late.
        """
        unknown = self.count_serving(now) - 1 - self._count_heard_serving()
        unheard = [
            Unheard(
                peer.heard_at,
                is_late=peer.is_late(now),
                is_serving=peer.report.is_serving,
            )
            for peer in self.by_name.values()
            if peer.report.is_serving or peer.is_late(now)
        ]
        if unknown:
            unheard.append(
                Unheard(self.started_at, is_late=True, count=unknown)
            )
        return unheard


def _is_recent_start(report: UseReport) -> bool:
    """Return whether the reporting entry started within about a window."""
    return 0 < report.sequence <= MAX_FIRST_SEQUENCE


def _is_continued(report: UseReport, known: UseReport) -> bool:
    return report.incarnation == known.incarnation


def _is_outdated(report: UseReport, known: UseReport) -> bool:
    return (
        _is_continued(report, known) and 0 < report.sequence <= known.sequence
    )
