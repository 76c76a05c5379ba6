"""Log lines from which the use of each quota can be traced."""

import dataclasses
from collections import abc

from citronjunction.gateway import quotas
from citronjunction.observability import decisions

INTERVAL_S = 1.0  # between lines about high use
REFUSAL_INTERVAL_S = 0.25  # between lines about an organisation's refusals
LOGGED_SHARE = 0.5  # of the quota, below which use is not logged
MAX_LOGGED = 24  # names in a line, those with the highest use


def select_highest(used: abc.Mapping[str, float]) -> dict[str, float]:
    """Return the highest uses, as many as a log line may have."""
    by_use = sorted(used.items(), key=lambda named: -named[1])
    return dict(by_use[:MAX_LOGGED])


class QuotaLog:
    """Log the use of quotas and refused requests, at limited rates."""

    __slots__ = ('log', 'quotas', 'refused', 'refused_at')

    def __init__(
        self, log: decisions.DecisionLog, limits: quotas.Quotas
    ) -> None:
        self.log = log
        self.quotas = limits
        self.refused: dict[str, int] = {}
        self.refused_at: dict[str, float] = {}
        limits.on_refusal = self.record_refusal

    def record_refusal(
        self, name: str, cost: float, balance: quotas.Balance, now: float
    ) -> None:
        """Log a refusal; a line counts those since the line before."""
        self.refused[name] = self.refused.get(name, 0) + 1
        last = self.refused_at.get(name, float('-inf'))
        if now - last >= REFUSAL_INTERVAL_S:
            self.refused_at[name] = now
            self._write('over quota', name, balance, now, cost=cost)

    def log_high_use(self, now: float) -> None:
        """Log the organisations that use a large share of their quota."""
        for name, limit in self.quotas.limits.items():
            balance = self.quotas.measure(name, now)
            if 0 < limit * LOGGED_SHARE < balance.used:
                self._write('quota use', name, balance, now)

    def _write(
        self,
        kind: str,
        name: str,
        balance: quotas.Balance,
        now: float,
        **details: float,
    ) -> None:
        """Write what is known of an organisation's use.

        ``totals`` is the use of this entry and its peers since their starts,
        ``late`` names peers that should have reported.
        """
        limits = self.quotas
        peers = limits.peers.by_name.items()
        totals = {peer: known.report.used.get(name, 0) for peer, known in peers}
        totals[self.log.process] = limits.used.get(name, 0)
        late = [peer for peer, known in peers if known.is_late(now)]
        self.log.write(
            kind,
            name,
            refused=self.refused.pop(name, 0),
            **dataclasses.asdict(balance),
            entries=limits.peers.count_expected(now),
            unreported=limits.unreported.get(name, 0),
            totals=select_highest(totals),
            late=late[:MAX_LOGGED],
            **details,
        )
