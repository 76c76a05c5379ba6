"""Rate limits of organisations over all entries, without I/O.

In any window an organisation may use its rate times the window's length plus
its burst. Each entry adds up its own use, the use that its peers report, and
what is assumed of those it does not hear; see ``docs/topics/quotas.md``.
"""

import collections
import dataclasses
import functools
from collections import abc
from typing import Union

from citronjunction.gateway import (
    models,
    quota_past,
    quota_peers,
    quota_window,
)

# Share of a quota that is granted while the use before a restart is unknown.
# With it the use in the windows before and after the restart together stays
# within what the deployments allow.
UNKNOWN_USE_SHARE = 0.08
# Share of a quota that an entry may use before it reports to its peers at once.
# In a flood this happens long before the next periodic report.
UNREPORTED_SHARE = 0.01
# Share of a quota that all entries together may use before they hear each
# other. More is taken into account as if each peer had used as much.
UNHEARD_SHARE = 0.1
# Age of a charge up to which its refund is reported to peers. They do not know
# its place in the window, and would free use that is as much younger.
MAX_REPORTED_REFUND_S = 0.25
# Share that all entries may use until it is saved in the store.
UNSAVED_SHARE = 0.05


def _do_nothing(*arguments: object) -> None:
    """Ignore the call until a callback is set."""


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """Use of a request admitted at a time; ``bucket`` is its place."""

    organisation: str
    cost: float
    at: float
    bucket: quota_window.Bucket


@dataclasses.dataclass(slots=True, frozen=True)
class Balance:
    """Use of an organisation in the window that ends now, and its limit.

    ``own`` and ``peers`` are known. Of peers that are not heard ``assumed`` is
    taken for used, and ``unknown`` for times of which nothing is known.
    """

    limit: float
    own: float
    peers: float
    assumed: float
    unknown: float

    @property
    def used(self) -> float:
        """Return the sum that counts against the limit."""
        return self.own + self.peers + self.assumed + self.unknown


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaExceeded:
    """Describe a refused request; ``balance`` is without it."""

    wait_s: float
    balance: Balance


Admission = Union[Charge, QuotaExceeded]


class Quotas:
    """Admit requests within the quotas; times are monotonic seconds."""

    __slots__ = (
        'gap',
        'is_past_use_known',
        'limits',
        'on_refusal',
        'on_unreported_use',
        'own_windows',
        'peer_windows',
        'peers',
        'started_at',
        'uncertain_since',
        'unknown',
        'unreported',
        'unsaved',
        'used',
        'window_s',
    )

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        self.started_at = now
        self.is_past_use_known = False
        # When use was last found that is not in the sums, unless a checkpoint
        # tells it.
        self.uncertain_since = now
        self.peers = quota_peers.Peers(now)
        self.unknown = quota_past.UnknownUse(window_s)
        # Time between the checkpoint and the start.
        self.gap = quota_past.Span(now, now, 0)
        make_window = functools.partial(quota_window.UseWindow, window_s)
        self.own_windows = collections.defaultdict(make_window)
        # Use that peers reported, and that of all entries before this start.
        self.peer_windows = collections.defaultdict(make_window)
        # Limits of a window as they were last applied.
        self.limits: dict[str, float] = {}
        # Use that this entry admitted since its start.
        self.used: dict[str, float] = {}
        # The part of it that no report to peers includes yet.
        self.unreported: dict[str, float] = {}
        # Use of all entries that no checkpoint includes yet.
        self.unsaved: dict[str, float] = {}
        self.on_unreported_use: abc.Callable[[], None] = _do_nothing
        # Called with the organisation, the cost, the balance and the time.
        self.on_refusal: abc.Callable[[str, float, Balance, float], None] = (
            _do_nothing
        )

    def apply(self, organisations: abc.Iterable[models.Organisation]) -> None:
        """Apply the quotas of a configuration."""
        self.limits = {
            organisation.name: _compute_window_limit(
                organisation, self.window_s
            )
            for organisation in organisations
        }

    def admit(
        self,
        organisation: models.Organisation,
        cost: float,
        now: float,
    ) -> Admission:
        """Charge a request, or return why it exceeds the quota."""
        self.peers.note_activity(now)
        name = organisation.name
        limit = _compute_window_limit(organisation, self.window_s)
        self.limits[name] = limit
        if limit:
            balance = self.measure(name, now, cost)
            excess = balance.used + cost - balance.limit
            # A request above the limit could otherwise never run.
            is_first = cost > limit and not balance.own + balance.peers
            if excess > 0 and not is_first:
                self.on_refusal(name, cost, balance, now)
                wait_s = self._compute_wait_s(name, excess, now)
                return QuotaExceeded(wait_s, balance)
        return self._book(name, cost, now)

    def refund(self, charge: Charge, now: float) -> None:
        """Take back the charge of a request that no worker ran."""
        window = self.own_windows[charge.organisation]
        is_freed = window.take_back(charge.bucket, charge.cost, now)
        if is_freed and now - charge.at <= MAX_REPORTED_REFUND_S:
            self.used[charge.organisation] -= charge.cost

    def measure(self, name: str, now: float, cost: float = 0) -> Balance:
        """Return the balance of an organisation before a request."""
        limit = self.limits.get(name, 0)
        return Balance(
            limit * self._get_granted_share(now),
            self.own_windows[name].measure(now),
            self.peer_windows[name].measure(now),
            self._assume_unheard(name, cost, now),
            limit * self.unknown.measure(now),
        )

    def record_report(
        self, name: str, report: quota_peers.UseReport, now: float
    ) -> None:
        """Record the use that a peer reported."""
        self.peers.note_activity(now)
        share = 1 / max(2, self.peers.count_expected(now))
        if not self.peers.has_base(name, report):
            oldest = max(self.started_at, now - self.window_s)
            self.unknown.add(oldest, now, share)
            self.uncertain_since = now
        elif self.peers.completes_saved(name, report):
            self.unknown.reveal(self.gap, share)
        self._book_restart(name, report, now)
        changes = self.peers.record(name, report, now)
        for organisation, change in changes.items():
            if change > 0:
                self.peer_windows[organisation].add(change, now)
                self._count_unsaved(organisation, change)
            elif change < 0:
                peer_window = self.peer_windows[organisation]
                peer_window.take_back_oldest(-change, now)

    def export(self, now: float) -> dict[str, list[list[float]]]:
        """Return the use of all entries in the window that ends now.

        It counts as saved from now on.
        """
        self.unsaved.clear()
        names = self.own_windows.keys() | self.peer_windows.keys()
        return {
            name: quota_window.export(
                (self.own_windows[name], self.peer_windows[name]), now
            )
            for name in sorted(names)
        }

    def restore(self, saved: quota_past.SavedUse, now: float) -> None:
        """Restore the use before the start.

        The use between the checkpoint and the start is partly unknown.
        """
        self.is_past_use_known = saved.is_complete
        self.peers.expected_entries = saved.entries
        self.peers.saved = saved.totals
        unknown_since = now - saved.age_s + saved.repeated_s
        self.gap = self.unknown.add(unknown_since, self.started_at, 1)
        for name in saved.used:
            past = saved.list_buckets(name, self.started_at, now)
            self.peer_windows[name].restore(past)

    def is_certain(self, now: float) -> bool:
        """Return whether the use of the window that ends now is known."""
        is_uncertain = now - self.uncertain_since < self.window_s
        return self.is_past_use_known or not is_uncertain

    def doubt_past(self, now: float) -> None:
        """Record that the restored use may have wrong times."""
        if now - self.started_at < self.window_s:
            oldest = self.started_at - self.window_s
            self.unknown.add(oldest, self.started_at, 1)

    def has_unsaved_use(self) -> bool:
        """Return whether a checkpoint is due because of the use."""
        return any(
            _exceeds(used, UNSAVED_SHARE, self.limits.get(name, 0))
            for name, used in self.unsaved.items()
        )

    def clear_unreported(self) -> None:
        """Reset the unreported use after a report to the peers."""
        self.unreported.clear()

    def _book(self, name: str, cost: float, now: float) -> Charge:
        bucket = self.own_windows[name].add(cost, now)
        self.used[name] = self.used.get(name, 0) + cost
        self._count_unsaved(name, cost)
        unreported = self.unreported.get(name, 0) + cost
        self.unreported[name] = unreported
        if _exceeds(unreported, UNREPORTED_SHARE, self.limits[name]):
            self.on_unreported_use()
        return Charge(name, cost, now, bucket)

    def _assume_unheard(self, name: str, cost: float, now: float) -> float:
        """Return the use that peers may not have reported yet.

        It is taken to be what this entry used since it heard them, a request of
        that ``cost`` included, or in proportion to what the entries that are
        heard used since then, whichever is more.
        """
        limit = self.limits.get(name, 0)
        serving = self.peers.count_serving(now)
        share = limit / serving
        small_share = limit / self.peers.count_expected(now)
        free = max(UNHEARD_SHARE * share, cost)
        window = self.own_windows[name]
        unheard = self.peers.list_unheard(now)
        assumed: float = 0
        for peer in unheard:
            used = window.measure_since(peer.since) + cost
            if peer.is_separated(now):
                used = min(share if peer.is_serving else small_share, used)
            elif not peer.is_late:
                used = max(0, used - free)
            assumed += peer.count * used
        late = [peer for peer in unheard if peer.is_late and peer.is_serving]
        if not late:
            return assumed
        heard = serving - sum(peer.count for peer in late)
        return max(assumed, self._assume_late(name, cost, late, max(1, heard)))

    def _assume_late(
        self,
        name: str,
        cost: float,
        late: abc.Sequence[quota_peers.Unheard],
        heard: int,
    ) -> float:
        """Return the use of late peers if it is like that of those heard."""
        count = sum(peer.count for peer in late)
        since = min(peer.since for peer in late)
        own = self.own_windows[name].measure_since(since) + cost
        others = self.peer_windows[name].measure_since(since)
        return (own + others) * count / heard

    def _book_restart(
        self, name: str, report: quota_peers.UseReport, now: float
    ) -> None:
        """Book what was assumed of a late peer that has started again."""
        peer = self.peers.by_name.get(name)
        if peer is None or not peer.is_late(now):
            return
        if peer.report.incarnation == report.incarnation:
            return
        entries = self.peers.count_serving(now)
        for organisation, window in self.own_windows.items():
            share = self.limits.get(organisation, 0) / entries
            used = min(share, window.measure_since(peer.heard_at))
            self.peer_windows[organisation].add(used, now)

    def _count_unsaved(self, name: str, used: float) -> None:
        self.unsaved[name] = self.unsaved.get(name, 0) + used

    def _compute_wait_s(self, name: str, excess: float, now: float) -> float:
        windows = (self.own_windows[name], self.peer_windows[name])
        return quota_window.compute_wait_s(windows, excess, now)

    def _get_granted_share(self, now: float) -> float:
        """Return the share of a limit that all entries may use together."""
        return 1 if self.is_certain(now) else UNKNOWN_USE_SHARE


def _exceeds(used: float, share: float, limit: float) -> bool:
    """Return whether use exceeds a share of a limit, if there is one."""
    return bool(limit) and used > share * limit


def _compute_window_limit(
    organisation: models.Organisation, window_s: float
) -> float:
    """Return the use that a window allows; 0 means no limit."""
    quota = organisation.quota
    if not quota.rate_per_s:
        return 0
    return quota.rate_per_s * window_s + quota.burst


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
