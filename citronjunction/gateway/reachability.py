"""Upstreams that this entry and its peers can't connect to, without I/O.

An entry that reaches no worker of an upstream, while others do, has lost its
links to them. Times are monotonic seconds.
"""

import dataclasses
from collections import abc

from citronjunction.membership import facts

FAILURE_WINDOW_S = 1.0  # in which connections to several workers must fail
SUSPICIOUS_FAILURES = 2  # workers that failed until all are checked


@dataclasses.dataclass(slots=True)
class Reachability:
    """Record failed connections by upstream and which upstreams are lost.

    ``failures`` maps upstreams to the start keys of workers and the times of
    their last failed connection, ``reports`` entries to what they reported.
    ``lost_at`` is when an entry was first heard to have lost an upstream, until
    it reaches that again, ``returned_at`` when this entry did.
    """

    lost: set[str] = dataclasses.field(default_factory=set)
    failures: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    reports: dict[str, facts.LostUpstreams] = dataclasses.field(
        default_factory=dict
    )
    lost_at: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    returned_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_failure(self, upstream: str, start_key: str, now: float) -> int:
        """Record a failed connection; return how many workers failed lately."""
        failed = self.failures.setdefault(upstream, {})
        failed[start_key] = now
        for known, failed_at in tuple(failed.items()):
            if now - failed_at > FAILURE_WINDOW_S:
                failed.pop(known)
        return len(failed)

    def record_success(self, upstream: str, now: float) -> bool:
        """Record a new connection; return whether the upstream was lost."""
        self.failures.pop(upstream, None)
        was_lost = upstream in self.lost
        self.lost.discard(upstream)
        if was_lost:
            self.returned_at[upstream] = now
        return was_lost

    def is_cut_off(self, upstreams: abc.Iterable[str]) -> bool:
        """Return whether all upstreams, at least one, are lost."""
        return bool(self.lost) and self.lost.issuperset(upstreams)

    def apply_report(self, report: facts.LostUpstreams, now: float) -> None:
        """Replace what an entry reported before."""
        known = self.reports.get(report.name)
        lost_at: dict[str, float] = {}
        if known is not None and known.incarnation == report.incarnation:
            lost_at = self.lost_at.get(report.name, lost_at)
        self.reports[report.name] = report
        self.lost_at[report.name] = {
            upstream: lost_at.get(upstream, now)
            for upstream in report.upstreams
        }

    def get_lost_at(
        self, entry: facts.EntryState, upstream: str
    ) -> float | None:
        """Return since when an entry reports an upstream as lost, if it does."""
        if upstream not in self.get_lost_by(entry):
            return None
        return self.lost_at[entry.name][upstream]

    def get_lost_by(self, entry: facts.EntryState) -> frozenset[str]:
        """Return the upstreams that an entry reports as lost."""
        report = self._find_report(entry)
        return frozenset(report.upstreams) if report else frozenset()

    def is_peer_cut_off(self, entry: facts.EntryState) -> bool:
        """Return whether an entry reports that it reaches no worker."""
        report = self._find_report(entry)
        return report is not None and report.is_cut_off

    def _find_report(
        self, entry: facts.EntryState
    ) -> facts.LostUpstreams | None:
        report = self.reports.get(entry.name)
        if report is None or report.incarnation != entry.incarnation:
            return None
        return report
