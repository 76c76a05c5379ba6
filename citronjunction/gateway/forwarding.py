"""Forwarding of requests to peers by an entry that reaches no worker."""

import hashlib
import hmac
from collections import abc

from citronjunction.gateway import fleet, health, models, reachability
from citronjunction.membership import facts

CONNECT_S = 0.3  # a peer accepts within milliseconds
MAX_IDLE_S = 4.0  # below the idle timeout of entries
MARK_BYTES = 1024  # room for a mark beside the caller's headers
CONNECT_FAILURES = 2  # of a request, until it is forwarded
# Requests in progress that a peer in another data centre must have fewer.
OTHER_ZONE_REQUESTS = 2


class Signer:
    """Sign forwarded requests, so that callers can't claim to be a peer."""

    __slots__ = ('own_name', 'secret')

    def __init__(self, own_name: str, secret: str) -> None:
        self.own_name = own_name
        self.secret = secret.encode()

    def sign(self, request: models.CallerRequest, max_workers: int) -> str:
        """Return the mark of a request: entry, workers and signature."""
        signature = self._compute(request, self.own_name, max_workers)
        return f'{self.own_name} {max_workers} {signature}'

    def verify(self, request: models.CallerRequest) -> models.Forwarded | None:
        """Return what a request's mark says, or None if it is not valid."""
        match request.forwarding_mark.split(' '):
            case [entry, workers, signature] if workers.isdecimal():
                max_workers = int(workers)
                expected = self._compute(request, entry, max_workers)
                if hmac.compare_digest(expected.encode(), signature.encode()):
                    return models.Forwarded(entry, max_workers)
        return None

    def _compute(
        self, request: models.CallerRequest, entry: str, max_workers: int
    ) -> str:
        text = '\n'.join(
            (entry, str(max_workers), request.name, request.host, request.key)
        )
        message = f'forward\n{text}\n{request.target}'.encode()
        return hmac.new(self.secret, message, hashlib.sha256).hexdigest()


class Forwarder:
    """Choose the peers that requests are forwarded to.

    A peer is represented like a worker, with its own health and load.
    """

    __slots__ = ('get_load', 'peers', 'reach', 'select_live', 'signer', 'zone')

    def __init__(
        self,
        signer: Signer,
        reach: reachability.Reachability,
        zone: str,
        select_live: abc.Callable[[], abc.Iterable[facts.EntryState]],
        get_load: abc.Callable[[str], int],
    ) -> None:
        """Set how to list live peers and how many requests each has."""
        self.signer = signer
        self.reach = reach
        self.zone = zone
        self.select_live = select_live
        self.get_load = get_load
        self.peers: dict[str, fleet.Worker] = {}

    def is_needed(self, upstream: str, connect_failures: int) -> bool:
        """Return whether a request is to be forwarded if a peer can take it."""
        return (
            upstream in self.reach.lost or connect_failures >= CONNECT_FAILURES
        )

    def choose(
        self,
        upstream: str,
        tried: abc.Collection[fleet.Worker],
        now: float,
    ) -> fleet.Worker | None:
        """Return the peer with the fewest requests that reaches the upstream."""
        usable = [
            peer
            for peer in map(self._get_peer, self._select(upstream))
            if peer not in tried and not peer.health.is_ejected(now)
        ]
        return min(usable, key=self._rank, default=None)

    def _select(self, upstream: str) -> list[facts.EntryState]:
        reaching = [
            entry
            for entry in self.select_live()
            if entry.name != self.signer.own_name
            and entry.revision
            and upstream not in self.reach.get_lost_by(entry)
        ]
        serving = [entry for entry in reaching if not entry.stands_by]
        return serving or reaching

    def _rank(self, peer: fleet.Worker) -> float:
        registration = peer.registration
        load = peer.running + self.get_load(registration.name)
        if registration.zone != self.zone:
            load += OTHER_ZONE_REQUESTS
        return load

    def _get_peer(self, entry: facts.EntryState) -> fleet.Worker:
        known = self.peers.get(entry.name)
        if (
            known is None
            or known.registration.started_at_ms != entry.incarnation
        ):
            known = fleet.Worker(
                _build_registration(entry), health.Health(), is_peer=True
            )
            self.peers[entry.name] = known
        return known


def _build_registration(
    entry: facts.EntryState,
) -> models.WorkerRegistration:
    """Return a peer in the form of a worker's registration."""
    return models.WorkerRegistration(
        entry.name,
        '',
        entry.address,
        entry.zone,
        '',
        1,
        models.WorkerState.ready,
        is_reclaimable=False,
        started_at_ms=entry.incarnation,
        warmup_s=0,
    )
