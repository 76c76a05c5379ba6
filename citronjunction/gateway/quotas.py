"""Quotas of organisations over all entries, without I/O.

Each entry keeps a leaky bucket an organisation and fills it with its own use
and with the use that its peers tell. Peers that are silent are taken to use
an equal part of the rate.
"""

import dataclasses

from citronjunction.gateway import models

SILENT_S = 1.2  # several intervals between the reports of a peer
UNKNOWN_PEERS = 7  # entries assumed until peers are heard


@dataclasses.dataclass(slots=True)
class Bucket:
    """Hold what an organisation used and has not yet regained."""

    level: float
    at: float


@dataclasses.dataclass(slots=True)
class Peer:
    """Hold what a peer told: its use by organisation since its start."""

    incarnation: int
    used: dict[str, float]
    heard_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Over:
    """Refuse a request over the quota; the wait is in seconds."""

    wait_s: float


class Quotas:
    """Admit requests within the quotas; times are monotonic seconds."""

    __slots__ = ('buckets', 'peers', 'started_at', 'used')

    def __init__(self, now: float) -> None:
        """Start without knowledge of the peers."""
        self.buckets: dict[str, Bucket] = {}
        self.peers: dict[str, Peer] = {}
        self.used: dict[str, float] = {}
        self.started_at = now

    def admit(
        self,
        organisation: models.Organisation,
        cost: float,
        now: float,
    ) -> Over | None:
        """Charge a request, or tell that it is over the quota."""
        quota = organisation.quota
        if quota.rate_per_s > 0:
            share = self._get_share(now)
            bucket = self._drain(organisation, share, now)
            excess = bucket.level + cost - quota.burst * share
            # A request larger than a whole allowance passes an empty bucket.
            if excess > 0 and bucket.level > 0:
                return Over(excess / (quota.rate_per_s * share))
            bucket.level += cost
        name = organisation.name
        self.used[name] = self.used.get(name, 0) + cost
        return None

    def refund(self, organisation: models.Organisation, cost: float) -> None:
        """Take back the charge of a request that no worker ran."""
        name = organisation.name
        self.used[name] = self.used.get(name, 0) - cost
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.level = max(0, bucket.level - cost)

    def take_report(
        self,
        name: str,
        incarnation: int,
        used: dict[str, float],
        now: float,
    ) -> None:
        """Take the use that a peer told."""
        known = self.peers.get(name)
        self.peers[name] = Peer(incarnation, used, now)
        if known is None:
            return
        before = known.used if known.incarnation == incarnation else {}
        for organisation, total in used.items():
            rise = total - before.get(organisation, 0)
            bucket = self.buckets.get(organisation)
            if bucket is not None:
                bucket.level = max(0, bucket.level + rise)

    def forget(self, name: str) -> None:
        """Drop a peer that has left."""
        self.peers.pop(name, None)

    def _get_share(self, now: float) -> float:
        """Return the part of a quota that this entry sees the use of."""
        if not self.peers:
            return 1 / UNKNOWN_PEERS
        heard = sum(
            now - peer.heard_at <= SILENT_S for peer in self.peers.values()
        )
        return (1 + heard) / (1 + len(self.peers))

    def _drain(
        self,
        organisation: models.Organisation,
        share: float,
        now: float,
    ) -> Bucket:
        quota = organisation.quota
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = Bucket(0, now)
            self.buckets[organisation.name] = bucket
        regained = (now - bucket.at) * quota.rate_per_s * share
        bucket.level = max(0, bucket.level - regained)
        bucket.at = now
        return bucket


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
