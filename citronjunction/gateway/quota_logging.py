"""Log lines from which the use of each quota can be traced."""

import dataclasses

from citronjunction.gateway import quotas
from citronjunction.observability import decisions

INTERVAL_S = 1.0  # between lines about high use
REFUSAL_INTERVAL_S = 0.25  # between lines about an organisation's refusals
LOGGED_SHARE = 0.5  # of the quota, below which use is not logged
MAX_PEERS = 24  # peers named in a line, those with the highest use


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaState:
    """Describe what an entry knows of an organisation's use.

    The first fields are those of ``quotas.Balance``. ``totals`` is the use of
    this entry and its peers since their starts, ``late`` names peers that should
    have reported.
    """

    limit: float
    own: float
    peers: float
    assumed: float
    unknown: float
    entries: int
    unreported: float
    totals: dict[str, float]
    late: list[str]


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
            state = self._describe(name, balance, now)
            self._write('over quota', name, state, cost=cost)

    def log_high_use(self, now: float) -> None:
        """Log the organisations that use a large share of their quota."""
        for name, limit in self.quotas.limits.items():
            balance = self.quotas.measure(name, now)
            if 0 < limit * LOGGED_SHARE < balance.used:
                state = self._describe(name, balance, now)
                self._write('quota use', name, state)

    def _describe(
        self, name: str, balance: quotas.Balance, now: float
    ) -> QuotaState:
        limits = self.quotas
        peers = limits.peers.by_name.items()
        totals = {peer: known.report.used.get(name, 0) for peer, known in peers}
        totals[self.log.process] = limits.used.get(name, 0)
        by_use = sorted(totals.items(), key=lambda total: -total[1])
        late = [peer for peer, known in peers if known.is_late(now)]
        return QuotaState(
            **dataclasses.asdict(balance),
            entries=limits.peers.count_expected(now),
            unreported=limits.unreported.get(name, 0),
            totals=dict(by_use[:MAX_PEERS]),
            late=late[:MAX_PEERS],
        )

    def _write(
        self, kind: str, name: str, state: QuotaState, **details: float
    ) -> None:
        refused = self.refused.pop(name, 0)
        fields = dataclasses.asdict(state)
        self.log.write(kind, name, refused=refused, **fields, **details)
