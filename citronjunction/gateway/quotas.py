"""Quotas of organisations over all entries, without I/O.

An organisation may use its rate times a window, and its burst besides, in
any span of the window's length. Each entry adds up its own use and what its
peers tell of theirs. Peers that are silent are taken to use an equal part.
"""

import collections
import dataclasses
from collections import abc

from citronjunction.gateway import models

SILENT_INTERVALS = 4  # without a report until a peer counts as silent
DEFAULT_REPORT_PERIOD_S = 0.25  # between the reports of a peer
# A silent peer may be cut off and still serve; longer than cuts last.
SILENT_PEER_RESERVE_S = 60.0
# Part of a quota until the use before a restart is known: with it two windows'
# use stays within what the deployments allow.
UNKNOWN_USE_SHARE = 0.08
ASSUMED_ENTRIES = 12  # entries assumed until peers are heard
BUCKET_S = 0.25  # resolution of the window
# Part of a quota that an entry may use until it reports to its peers; in a
# flood that is long before the next report is due.
UNREPORTED_SHARE = 0.01


def _do_nothing() -> None:
    """Do nothing until somebody listens."""


class SlidingSum:
    """Add up use over a sliding window; times are monotonic seconds."""

    __slots__ = ('buckets', 'total', 'window_s')

    def __init__(self, window_s: float) -> None:
        """Take the length of the window."""
        self.window_s = window_s
        self.buckets: collections.deque[list[float]] = collections.deque()
        self.total: float = 0

    def add(self, used: float, now: float) -> None:
        """Add use, or take it back if it is negative."""
        start = now - now % BUCKET_S
        if not self.buckets or self.buckets[-1][0] < start:
            self.buckets.append([start, 0])
        self.buckets[-1][1] += used
        self.total += used

    def measure(self, now: float) -> float:
        """Return the use of the window that ends now."""
        while self.buckets and self.buckets[0][0] <= now - self.window_s:
            self.total -= self.buckets.popleft()[1]
        return self.total

    def export(self, now: float) -> list[list[float]]:
        """Return ages in whole seconds and the use of each."""
        self.measure(now)
        by_age: dict[int, float] = {}
        for start, used in self.buckets:
            age = int(now - start)
            by_age[age] = by_age.get(age, 0) + used
        return [[age, used] for age, used in sorted(by_age.items())]

    def restore(self, past: list[tuple[float, float]]) -> None:
        """Add earlier use; each item is its time and how much it was."""
        merged = [*self.buckets, *([start, used] for start, used in past)]
        merged.sort()
        self.buckets = collections.deque(merged)
        self.total += sum(used for _, used in past)

    def get_wait_s(self, excess: float, now: float) -> float:
        """Return the time until so much use leaves the window."""
        left = excess
        for start, used in self.buckets:
            left -= used
            if left <= 0:
                return max(BUCKET_S, start + self.window_s - now)
        return self.window_s


@dataclasses.dataclass(slots=True)
class PeerUse:
    """Hold a peer's report: its use by organisation since its start."""

    incarnation: int
    used: dict[str, float]
    reported_at: float
    period_s: float
    is_leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaExceeded:
    """Refuse a request over the quota; ``limit`` is what is allowed now."""

    wait_s: float
    used: float
    limit: float


class Quotas:
    """Admit requests within the quotas; times are monotonic seconds."""

    __slots__ = (
        'is_past_use_known',
        'on_unreported_use',
        'past_sums',
        'peers',
        'started_at',
        'sums',
        'unreported',
        'used',
        'window_s',
    )

    def __init__(self, window_s: float, now: float) -> None:
        """Take the window; use before the start is not yet known."""
        self.window_s = window_s
        self.started_at = now
        self.is_past_use_known = False
        self.sums: dict[str, SlidingSum] = {}
        # The use of all entries before the start, which is also in the sums.
        self.past_sums: dict[str, SlidingSum] = {}
        self.peers: dict[str, PeerUse] = {}
        self.used: dict[str, float] = {}
        self.unreported: dict[str, float] = {}
        self.on_unreported_use: abc.Callable[[], None] = _do_nothing

    def admit(
        self,
        organisation: models.Organisation,
        cost: float,
        now: float,
    ) -> QuotaExceeded | None:
        """Charge a request, or tell that it is over the quota."""
        quota = organisation.quota
        name = organisation.name
        held = self._get_sum(name)
        if quota.rate_per_s > 0:
            limit = self._get_limit(organisation, now)
            used = held.measure(now)
            excess = used + cost - limit
            # A request larger than the whole limit passes an unused window.
            if excess > 0 and used > 0:
                return QuotaExceeded(held.get_wait_s(excess, now), used, limit)
        held.add(cost, now)
        self.used[name] = self.used.get(name, 0) + cost
        self._count_unreported(organisation, cost)
        return None

    def refund(
        self,
        organisation: models.Organisation,
        cost: float,
        now: float,
    ) -> None:
        """Take back the charge of a request that no worker ran."""
        name = organisation.name
        self.used[name] = self.used.get(name, 0) - cost
        self._get_sum(name).add(-cost, now)

    def record_report(
        self,
        name: str,
        incarnation: int,
        used: dict[str, float],
        now: float,
        period_s: float = DEFAULT_REPORT_PERIOD_S,
    ) -> None:
        """Take the use that a peer reported, and when it reports again."""
        known = self.peers.get(name)
        self.peers[name] = PeerUse(incarnation, used, now, period_s)
        if known is None:
            return
        before = known.used if known.incarnation == incarnation else {}
        for organisation, total in used.items():
            rise = total - before.get(organisation, 0)
            if rise:
                self._get_sum(organisation).add(rise, now)

    def export(self, now: float) -> dict[str, list[list[float]]]:
        """Return the use of all entries in the window that ends now."""
        return {name: held.export(now) for name, held in self.sums.items()}

    def restore(
        self,
        saved: dict[str, list[list[float]]],
        elapsed_s: float,
        now: float,
    ) -> None:
        """Take the use before the start, saved some seconds ago."""
        self.is_past_use_known = True
        oldest = now - self.window_s
        for name, buckets in saved.items():
            past = [
                (now - elapsed_s - age, used)
                for age, used in buckets
                if oldest < now - elapsed_s - age < self.started_at
            ]
            self._get_sum(name).restore(past)
            self.past_sums[name] = SlidingSum(self.window_s)
            self.past_sums[name].restore(past)

    def mark_leaving(self, name: str) -> None:
        """Learn that a peer stops; it needs no part once it is silent."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.is_leaving = True

    def expire(self, now: float) -> None:
        """Drop peers that have left or are silent for long."""
        for name, peer in tuple(self.peers.items()):
            is_expected = not peer.is_leaving
            if is_expected and now - peer.reported_at <= SILENT_PEER_RESERVE_S:
                continue
            if _is_silent(peer, now):
                self.peers.pop(name)

    def has_silent_peer(self, now: float) -> bool:
        """Tell whether an entry that may be serving is not heard."""
        return any(_is_silent(peer, now) for peer in self.peers.values())

    def count_entries(self) -> int:
        """Return the entries that may be serving, this one included."""
        return 1 + len(self.peers) if self.peers else ASSUMED_ENTRIES

    def _get_sum(self, organisation: str) -> SlidingSum:
        held = self.sums.get(organisation)
        if held is None:
            held = SlidingSum(self.window_s)
            self.sums[organisation] = held
        return held

    def clear_unreported(self) -> None:
        """Learn that all use was reported to the peers."""
        self.unreported.clear()

    def _count_unreported(
        self,
        organisation: models.Organisation,
        cost: float,
    ) -> None:
        unreported = self.unreported.get(organisation.name, 0) + cost
        self.unreported[organisation.name] = unreported
        window_limit = _compute_window_limit(organisation, self.window_s)
        if window_limit and unreported > UNREPORTED_SHARE * window_limit:
            self.on_unreported_use()

    def _get_limit(
        self,
        organisation: models.Organisation,
        now: float,
    ) -> float:
        """Return what the known use may come to, this entry's part of it new.

        The use before the start is known of all entries. Only what it leaves
        of the quota is divided among them.
        """
        window_limit = _compute_window_limit(organisation, self.window_s)
        share = self._get_share(now)
        past_sum = self.past_sums.get(organisation.name)
        past_use = 0 if past_sum is None else past_sum.measure(now)
        return share * window_limit + (1 - share) * past_use

    def _get_share(self, now: float) -> float:
        """Return the part of a quota that this entry sees the use of."""
        heard = sum(not _is_silent(peer, now) for peer in self.peers.values())
        share = (1 + heard) / self.count_entries()
        is_in_first_window = now - self.started_at < self.window_s
        return (
            share * UNKNOWN_USE_SHARE
            if is_in_first_window and not self.is_past_use_known
            else share
        )


def _compute_window_limit(
    organisation: models.Organisation, window_s: float
) -> float:
    """Return what may be used in a window; 0 is no limit."""
    quota = organisation.quota
    if not quota.rate_per_s:
        return 0
    return quota.rate_per_s * window_s + quota.burst


def _is_silent(peer: PeerUse, now: float) -> bool:
    return now - peer.reported_at > SILENT_INTERVALS * peer.period_s


def compute_cost(
    organisation: models.Organisation,
    prompt: models.Prompt | None,
) -> float:
    """Return what a request counts against its organisation's quota."""
    quota = organisation.quota
    match quota.unit:
        case models.QuotaUnit.requests:
            return 1
        case models.QuotaUnit.tokens:
            if prompt is None:
                return quota.plain_cost
            return prompt.total_tokens
