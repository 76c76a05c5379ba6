"""Limits on requests that workers name, kept by all entries, without I/O.

Each entry keeps a token bucket for a limited worker and takes the requests of
all entries from it. As peers report their requests with a delay, the entries
take turns: a later one waits until those before it would have reported that they
used the token. Times are monotonic seconds unless stated otherwise.
"""

from collections import abc

from citronjunction.gateway import constraints

# Requests at a limit of 0 a second, which show when the limit is lifted.
MIN_RATE_PER_S = 0.25
TURN_S = 0.08  # longer than a report takes to reach the peers
MAX_DEBT_S = 4.0  # of the rate, for requests that other entries sent meanwhile


class RateLimit:
    """Token bucket for the requests of all entries to one worker.

    ``own_sends`` counts this entry's requests under the limit, ``peer_sends`` is
    the last report of each peer as its incarnation and count.
    """

    __slots__ = (
        'constraint',
        'own_sends',
        'peer_sends',
        'tokens',
        'updated_at',
    )

    def __init__(self, now: float) -> None:
        self.constraint = constraints.Constraint(now)
        self.tokens: float = 0
        self.updated_at = now
        self.own_sends = 0
        self.peer_sends: dict[str, tuple[int, int]] = {}

    def apply(self, per_s: float | None, named_at: float, now: float) -> bool:
        """Apply a reported limit; a new one starts without tokens."""
        was_limited = self.constraint.per_s is not None
        is_changed = self.constraint.apply(per_s, named_at, now)
        if is_changed and not was_limited:
            self.tokens = 0
            self.updated_at = now
        return is_changed

    def get_wait_s(self, turn: constraints.Turn, now: float) -> float:
        """Return the time until this entry may send a request."""
        if self.constraint.per_s is None:
            return 0
        rate = self._get_rate(turn)
        needed = 1 + turn.position * TURN_S * rate
        return max(0, needed - self._measure_tokens(turn, now)) / rate

    def take(self, count: int, turn: constraints.Turn, now: float) -> None:
        """Take the tokens of requests that were sent."""
        if self.constraint.per_s is None:
            return
        tokens = self._measure_tokens(turn, now) - count
        self.tokens = max(tokens, -MAX_DEBT_S * self._get_rate(turn))
        self.updated_at = now

    def record_peer(self, peer: str, incarnation: int, total: int) -> int:
        """Record a peer's count and return by how much it rose."""
        before = self.peer_sends.get(peer, (incarnation, 0))
        self.peer_sends[peer] = (incarnation, total)
        is_continued = before[0] == incarnation and before[1] <= total
        return total - before[1] if is_continued else total

    def _get_rate(self, turn: constraints.Turn) -> float:
        return max(MIN_RATE_PER_S, self.constraint.per_s) * turn.known_share

    def _measure_tokens(self, turn: constraints.Turn, now: float) -> float:
        rate = self._get_rate(turn)
        capacity = 1 + turn.entries * TURN_S * rate
        refilled = self.tokens + (now - self.updated_at) * rate
        return min(refilled, capacity)


def _do_nothing() -> None:
    """Ignore the call until a callback is set."""


class RateLimits:
    """Limits of all workers, by the key of the worker's start."""

    __slots__ = ('by_start', 'get_turn', 'on_send')

    def __init__(self) -> None:
        self.by_start: dict[str, RateLimit] = {}
        # Returns this entry's turn at a worker.
        self.get_turn: constraints.GetTurn = constraints.take_first_turn
        # Called after each request to a worker with a limit.
        self.on_send: abc.Callable[[], None] = _do_nothing

    def find(self, start_key: str) -> constraints.Constraint | None:
        """Return the constraint of a worker, if it ever named one."""
        limit = self.by_start.get(start_key)
        return None if limit is None else limit.constraint

    def is_limited(self, start_key: str) -> bool:
        """Return whether a worker names a limit."""
        constraint = self.find(start_key)
        return constraint is not None and constraint.per_s is not None

    def get_wait_s(self, start_key: str, now: float) -> float:
        """Return the time until this entry may send to a worker."""
        if not self.is_limited(start_key):
            return 0
        turn = self.get_turn(start_key, now)
        return self.by_start[start_key].get_wait_s(turn, now)

    def record_send(self, start_key: str, now: float) -> None:
        """Take the token of a request that this entry sends."""
        if self.is_limited(start_key):
            limit = self.by_start[start_key]
            limit.take(1, self.get_turn(start_key, now), now)
            limit.own_sends += 1
            self.on_send()

    def record_peer_sends(
        self,
        peer: str,
        incarnation: int,
        sends: abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Take the tokens of requests that a peer has sent since its last report.

        ``sends`` counts its requests under a limit by start of the worker.
        """
        for start_key, total in sends.items():
            limit = self._get(start_key, now)
            rise = limit.record_peer(peer, incarnation, total)
            if rise:
                limit.take(rise, self.get_turn(start_key, now), now)

    def count_sends(self) -> dict[str, int]:
        """Return this entry's requests to workers that name a limit."""
        return {
            start_key: limit.own_sends
            for start_key, limit in self.by_start.items()
            if limit.constraint.per_s is not None and limit.own_sends
        }

    def apply(
        self,
        start_key: str,
        per_s: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        """Apply a reported limit; return whether it changed."""
        return self._get(start_key, now).apply(per_s, named_at, now)

    def _get(self, start_key: str, now: float) -> RateLimit:
        limit = self.by_start.get(start_key)
        if limit is None:
            limit = RateLimit(now)
            self.by_start[start_key] = limit
            constraints.forget_oldest(self.by_start)
        return limit
