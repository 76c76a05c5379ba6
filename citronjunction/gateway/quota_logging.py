"""Log lines from which the use of each quota can be traced."""

import dataclasses
from collections import abc

from citronjunction.gateway import models, quotas
from citronjunction.observability import decisions

INTERVAL_S = 1.0  # between lines about high use
REFUSAL_INTERVAL_S = 0.25  # between lines about an organisation's refusals
LOGGED_SHARE = 0.5  # of the quota, below which use is not logged
MAX_PEERS = 24  # peers named in a line, those with the highest use


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaState:
    """Describe what an entry knows of an organisation's use.

    ``used`` and ``past`` are in the current window, ``past`` before the start
    of this entry. ``own`` and ``peers`` are totals since the starts.
    """

    used: float
    past: float
    limit: float
    window_limit: float
    share: float
    entries: int
    own: float
    unreported: float
    peers: dict[str, float]
    silent: list[str]


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
        self, organisation: models.Organisation, cost: float, now: float
    ) -> None:
        """Log a refusal; a line counts those since the line before."""
        name = organisation.name
        self.refused[name] = self.refused.get(name, 0) + 1
        last = self.refused_at.get(name, float('-inf'))
        if now - last >= REFUSAL_INTERVAL_S:
            self.refused_at[name] = now
            state = self._describe(organisation, now)
            self._write('over quota', name, state, cost=cost)

    def log_high_use(
        self, organisations: abc.Iterable[models.Organisation], now: float
    ) -> None:
        """Log the organisations that use a large share of their quota."""
        for organisation in organisations:
            state = self._describe(organisation, now)
            if 0 < state.window_limit * LOGGED_SHARE < state.used:
                self._write('quota use', organisation.name, state)

    def _describe(
        self, organisation: models.Organisation, now: float
    ) -> QuotaState:
        limits = self.quotas
        name = organisation.name
        past_use = limits.past_sums.get(name)
        peers = limits.peers.items()
        return QuotaState(
            used=limits.measure_use(name, now),
            past=past_use.measure(now) if past_use else 0,
            limit=limits.get_limit(organisation, now),
            window_limit=quotas.compute_window_limit(
                organisation, limits.window_s
            ),
            share=limits.get_share(now),
            entries=limits.count_entries(),
            own=limits.used.get(name, 0),
            unreported=limits.unreported.get(name, 0),
            peers={peer: use.used.get(name, 0) for peer, use in peers},
            silent=[peer for peer, use in peers if quotas.is_silent(use, now)],
        )

    def _write(
        self,
        kind: str,
        name: str,
        state: QuotaState,
        **details: float,
    ) -> None:
        fields = dataclasses.asdict(state)
        by_use = sorted(state.peers.items(), key=lambda peer: -peer[1])
        fields['peers'] = dict(by_use[:MAX_PEERS])
        fields['silent'] = state.silent[:MAX_PEERS]
        refused = self.refused.pop(name, 0)
        self.log.write(kind, name, refused=refused, **fields, **details)
