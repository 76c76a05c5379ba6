"""Rate limits of organisations over all entries, without I/O.

In any window an organisation may use its rate times the window's length plus
its burst. Each entry adds up its own use and the use that its peers report.
Each silent peer is assumed to use an equal share of the quota.
"""

import dataclasses
from collections import abc

from citronjunction.gateway import models, quota_window

SILENT_INTERVALS = 4  # missed reports until a peer counts as silent
DEFAULT_REPORT_PERIOD_S = 0.25
# A silent peer may be partitioned and still serve callers. Its share is kept
# for longer than network partitions usually last.
SILENT_PEER_RESERVE_S = 60.0
# Share of a quota that is granted while the use before a restart is unknown.
# With it the use in the windows before and after the restart together stays
# within what the deployments allow.
UNKNOWN_USE_SHARE = 0.08
# Time after the start in which links to the peers are still being opened.
START_S = 5.0
# Reports until a peer counts as reporting in that time. The first one may have
# been forwarded, with others to come only over an own link.
START_REPORTS = 2
ASSUMED_ENTRIES = 12  # number of entries assumed until a peer reports
# Share of a quota that an entry may use before it reports to its peers at once.
# In a flood this happens long before the next periodic report.
UNREPORTED_SHARE = 0.01


def _do_nothing() -> None:
    """Ignore the call until a callback is set."""


def _ignore_refusal(*refusal: object) -> None:
    """Ignore a refusal until a callback is set."""


def _get_zero() -> int:
    """Return 0 until a callback is set."""
    return 0


@dataclasses.dataclass(slots=True)
class PeerUse:
    """Store a peer's last report: its use by organisation since its start."""

    incarnation: int
    used: dict[str, float]
    reported_at: float
    period_s: float
    is_leaving: bool = False
    report_count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """Use of an admitted request; ``bucket`` is its place in the window."""

    organisation: str
    cost: float
    bucket: quota_window.Bucket


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaExceeded:
    """Describe a refused request; ``limit`` is the use allowed now."""

    wait_s: float
    used: float
    limit: float


class Quotas:
    """Admit requests within the quotas; times are monotonic seconds."""

    __slots__ = (
        'count_live',
        'is_past_use_known',
        'on_refusal',
        'on_unreported_use',
        'own_sums',
        'past_sums',
        'peers',
        'started_at',
        'sums',
        'unreported',
        'used',
        'window_s',
    )

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self.started_at = now
        self.is_past_use_known = False
        self.own_sums: dict[str, quota_window.UseWindow] = {}
        self.sums: dict[str, quota_window.UseWindow] = {}
        # Use of all entries before this start; ``sums`` include it.
        self.past_sums: dict[str, quota_window.UseWindow] = {}
        self.peers: dict[str, PeerUse] = {}
        # Use that this entry admitted since its start.
        self.used: dict[str, float] = {}
        # The part of it that no report to peers includes yet.
        self.unreported: dict[str, float] = {}
        # Returns the number of live entries that may serve callers.
        self.count_live: abc.Callable[[], int] = _get_zero
        self.on_unreported_use: abc.Callable[[], None] = _do_nothing
        # Receives the organisation, the cost and the time.
        self.on_refusal: abc.Callable[
            [models.Organisation, float, float], None
        ] = _ignore_refusal

    def admit(
        self,
        organisation: models.Organisation,
        cost: float,
        now: float,
    ) -> Charge | QuotaExceeded:
        """Charge a request, or return why it exceeds the quota."""
        quota = organisation.quota
        name = organisation.name
        known_use = self._get_sum(name)
        if quota.rate_per_s > 0:
            limit = self.get_limit(organisation, now)
            own_use = self._get_own_sum(name)
            used = self.measure_use(name, now)
            excess = used + cost - limit
            # A request larger than the limit is admitted if the window is
            # unused. Otherwise it could never run.
            if excess > 0 and used > 0:
                self.on_refusal(organisation, cost, now)
                wait_s = quota_window.compute_wait_s(
                    (known_use, own_use), excess, now
                )
                return QuotaExceeded(wait_s, used, limit)
        bucket = self._get_own_sum(name).add(cost, now)
        self.used[name] = self.used.get(name, 0) + cost
        self._count_unreported(organisation, cost)
        return Charge(name, cost, bucket)

    def measure_use(self, name: str, now: float) -> float:
        """Return the known use of an organisation in the window."""
        own_use = self._get_own_sum(name).measure(now)
        return self._get_sum(name).measure(now) + own_use

    def refund(self, charge: Charge, now: float) -> None:
        """Take back the charge of a request that no worker ran."""
        window = self._get_own_sum(charge.organisation)
        if window.take_back(charge.bucket, charge.cost, now):
            self.used[charge.organisation] -= charge.cost

    def record_report(
        self,
        name: str,
        incarnation: int,
        used: dict[str, float],
        now: float,
        period_s: float = DEFAULT_REPORT_PERIOD_S,
    ) -> None:
        """Record the use that a peer reported.

        ``used`` is its total by organisation since the start of its
        incarnation, ``period_s`` the longest time until its next report.
        """
        known = self.peers.get(name)
        self.peers[name] = PeerUse(incarnation, used, now, period_s)
        if known is None:
            return
        if known.incarnation == incarnation:
            self.peers[name].report_count = known.report_count + 1
        before = known.used if known.incarnation == incarnation else {}
        for organisation, total in used.items():
            rise = total - before.get(organisation, 0)
            if rise > 0:
                self._get_sum(organisation).add(rise, now)
            elif rise < 0:
                self._get_sum(organisation).take_back_oldest(-rise, now)

    def export(self, now: float) -> dict[str, list[list[float]]]:
        """Return the use of all entries in the window that ends now."""
        names = self.sums.keys() | self.own_sums.keys()
        return {
            name: quota_window.export(
                (self._get_sum(name), self._get_own_sum(name)), now
            )
            for name in sorted(names)
        }

    def restore(
        self,
        saved: dict[str, list[list[float]]],
        elapsed_s: float,
        now: float,
        *,
        is_complete: bool = True,
    ) -> None:
        """Restore the use before the start from a checkpoint of that age.

        The use of its last second is assumed to have lasted for a second more.
        Unless ``is_complete``, there may be use after the checkpoint.
        """
        self.is_past_use_known = is_complete
        oldest = now - self.window_s
        for name, buckets in saved.items():
            past = [
                quota_window.Bucket(
                    now - elapsed_s - age, now - elapsed_s - age, used
                )
                for age, used in buckets
                if oldest < now - elapsed_s - age <= self.started_at
            ]
            # Use between the checkpoint and the end of its writer is not in it.
            missing = sum(used for age, used in buckets if age < 1)
            past.append(
                quota_window.Bucket(
                    now - elapsed_s,
                    now - elapsed_s,
                    missing * min(1, elapsed_s),
                )
            )
            self._get_sum(name).restore(past)
            self.past_sums[name] = quota_window.UseWindow(self.window_s)
            self.past_sums[name].restore(past)

    def mark_leaving(self, name: str) -> None:
        """Record that a peer stops; its share is freed once it is silent."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.is_leaving = True

    def expire(self, now: float) -> None:
        """Remove peers that have left or have been silent for long."""
        for name, peer in tuple(self.peers.items()):
            is_expected = not peer.is_leaving
            if is_expected and now - peer.reported_at <= SILENT_PEER_RESERVE_S:
                continue
            if is_silent(peer, now):
                self.peers.pop(name)

    def has_silent_peer(self, now: float) -> bool:
        """Return whether a peer that may still serve has stopped reporting."""
        return any(is_silent(peer, now) for peer in self.peers.values())

    def count_entries(self) -> int:
        """Return the number of entries that may serve, including this one."""
        return 1 + len(self.peers) if self.peers else ASSUMED_ENTRIES

    def _get_sum(self, organisation: str) -> quota_window.UseWindow:
        known_use = self.sums.get(organisation)
        if known_use is None:
            known_use = quota_window.UseWindow(self.window_s)
            self.sums[organisation] = known_use
        return known_use

    def _get_own_sum(self, organisation: str) -> quota_window.UseWindow:
        own_use = self.own_sums.get(organisation)
        if own_use is None:
            own_use = quota_window.UseWindow(self.window_s)
            self.own_sums[organisation] = own_use
        return own_use

    def clear_unreported(self) -> None:
        """Reset the unreported use after a report to the peers."""
        self.unreported.clear()

    def _count_unreported(
        self,
        organisation: models.Organisation,
        cost: float,
    ) -> None:
        unreported = self.unreported.get(organisation.name, 0) + cost
        self.unreported[organisation.name] = unreported
        window_limit = compute_window_limit(organisation, self.window_s)
        if window_limit and unreported > UNREPORTED_SHARE * window_limit:
            self.on_unreported_use()

    def get_limit(
        self,
        organisation: models.Organisation,
        now: float,
    ) -> float:
        """Return the limit for the use that this entry knows of.

        The use before the start is known for all entries. Only the rest of
        the quota is divided among them.
        """
        window_limit = compute_window_limit(organisation, self.window_s)
        share = self.get_share(now)
        past_sum = self.past_sums.get(organisation.name)
        past_use = 0 if past_sum is None else past_sum.measure(now)
        return share * window_limit + (1 - share) * past_use

    def measure_known_share(self, now: float) -> float:
        """Return the share of the entries whose use this entry knows.

        These are the entry itself and the peers that report.
        """
        entries = self.count_entries()
        min_reports = 1
        is_starting = now - self.started_at < START_S
        live = self.count_live() if is_starting else 0
        if live > 1:
            entries = max(entries, live)
            min_reports = START_REPORTS
        reporting = sum(
            peer.report_count >= min_reports and not is_silent(peer, now)
            for peer in self.peers.values()
        )
        return (1 + reporting) / entries

    def get_share(self, now: float) -> float:
        """Return the share of a quota that may be used."""
        share = self.measure_known_share(now)
        is_in_first_window = now - self.started_at < self.window_s
        return (
            share * UNKNOWN_USE_SHARE
            if is_in_first_window and not self.is_past_use_known
            else share
        )


def compute_window_limit(
    organisation: models.Organisation, window_s: float
) -> float:
    """Return the use that a window allows; 0 means no limit."""
    quota = organisation.quota
    if not quota.rate_per_s:
        return 0
    return quota.rate_per_s * window_s + quota.burst


def is_silent(peer: PeerUse, now: float) -> bool:
    return now - peer.reported_at > SILENT_INTERVALS * peer.period_s


def compute_cost(
    organisation: models.Organisation,
    prompt: models.Prompt | None,
) -> float:
    """Return the cost of a request in the unit of the quota."""
    quota = organisation.quota
    match quota.unit:
        case models.QuotaUnit.requests:
            return 1
        case models.QuotaUnit.tokens:
            if prompt is None:
                return quota.plain_cost
            return prompt.total_tokens
