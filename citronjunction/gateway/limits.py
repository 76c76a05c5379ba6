"""Limits on requests that workers name, kept by all entries, without I/O.

Each entry keeps a token bucket for a limited worker and takes the requests of
all entries from it. As peers report their requests with a delay, the entries
take turns: a later one waits until those before it would have reported that they
used the token. Times are monotonic seconds unless stated otherwise.
"""

import dataclasses
from collections import abc

# Requests at a limit of 0 a second, which show when the limit is lifted.
MIN_RATE_PER_S = 0.25
TURN_S = 0.08  # longer than a report takes to reach the peers
MAX_DEBT_S = 4.0  # of the rate, for requests that other entries sent meanwhile
REFRESH_S = 30.0  # between reports of a limit that stays the same
CLOCK_STEP_S = 0.001  # by which a change is later than the one before
MAX_WORKERS = 2000  # starts of workers that are remembered


@dataclasses.dataclass(slots=True, frozen=True)
class Turn:
    """An entry's turn among those that serve; position 0 is the first.

    ``known_share`` is the share of the entries whose requests it knows.
    """

    position: int
    entries: int
    known_share: float


class RateLimit:
    """Token bucket for the requests of all entries to one worker.

    ``rate_per_s`` is None while the worker names no limit, ``named_at`` is in
    seconds since the epoch, ``heard_at`` when this entry learned of it.
    ``own_sends`` counts this entry's requests under a limit, ``peer_sends`` is
    the last report of each peer as its incarnation and count.
    """

    __slots__ = (
        'heard_at',
        'named_at',
        'own_sends',
        'peer_sends',
        'rate_per_s',
        'tokens',
        'updated_at',
    )

    def __init__(self, now: float) -> None:
        self.rate_per_s: float | None = None
        self.named_at: float = 0
        self.heard_at = now
        self.tokens: float = 0
        self.updated_at = now
        self.own_sends = 0
        self.peer_sends: dict[str, tuple[int, int]] = {}

    def change(
        self, rate_per_s: float | None, named_at: float, now: float
    ) -> None:
        """Replace the limit; a new one starts without tokens."""
        if self.rate_per_s is None:
            self.tokens = 0
            self.updated_at = now
        self.rate_per_s = rate_per_s
        self.named_at = named_at
        self.heard_at = now

    def get_wait_s(self, turn: Turn, now: float) -> float:
        """Return the time until this entry may send a request."""
        if self.rate_per_s is None:
            return 0
        rate = self._get_rate(turn)
        needed = 1 + turn.position * TURN_S * rate
        return max(0, needed - self._measure_tokens(turn, now)) / rate

    def take(self, count: int, turn: Turn, now: float) -> None:
        """Take the tokens of requests that were sent."""
        if self.rate_per_s is None:
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

    def _get_rate(self, turn: Turn) -> float:
        return max(MIN_RATE_PER_S, self.rate_per_s) * turn.known_share

    def _measure_tokens(self, turn: Turn, now: float) -> float:
        rate = self._get_rate(turn)
        capacity = 1 + turn.entries * TURN_S * rate
        refilled = self.tokens + (now - self.updated_at) * rate
        return min(refilled, capacity)


def _take_first_turn(start_key: str, now: float) -> Turn:
    """Return the turn of an entry without peers."""
    return Turn(0, 1, 1)


def _do_nothing() -> None:
    """Ignore the call until a callback is set."""


class RateLimits:
    """Limits of all workers, by the key of the worker's start."""

    __slots__ = ('by_start', 'get_turn', 'on_send')

    def __init__(self) -> None:
        self.by_start: dict[str, RateLimit] = {}
        # Returns this entry's turn at a worker.
        self.get_turn: abc.Callable[[str, float], Turn] = _take_first_turn
        # Called after each request to a worker with a limit.
        self.on_send: abc.Callable[[], None] = _do_nothing

    def is_limited(self, start_key: str) -> bool:
        """Return whether a worker names a limit."""
        limit = self.by_start.get(start_key)
        return limit is not None and limit.rate_per_s is not None

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
            if limit.rate_per_s is not None and limit.own_sends
        }

    def is_news(
        self,
        start_key: str,
        rate_per_s: float | None,
        sent_at: float,
        wall_now: float,
    ) -> bool:
        """Return whether an answer's limit is to be reported to all entries.

        A higher limit, or none, only counts in the answer to a request that was
        sent since the current limit is known; an earlier answer may be late.
        ``wall_now`` is in seconds since the epoch.
        """
        limit = self.by_start.get(start_key)
        known = None if limit is None else limit.rate_per_s
        if rate_per_s == known:
            is_due = limit is not None and (
                wall_now - limit.named_at > REFRESH_S
            )
            return known is not None and is_due
        if known is None or (rate_per_s is not None and rate_per_s < known):
            return True
        return sent_at >= limit.heard_at

    def get_change_time(self, start_key: str, wall_now: float) -> float:
        """Return a time for a change, later than that of the current limit."""
        limit = self.by_start.get(start_key)
        named_at = 0 if limit is None else limit.named_at
        return max(wall_now, named_at + CLOCK_STEP_S)

    def apply(
        self,
        start_key: str,
        rate_per_s: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        """Apply a reported limit; return whether it changed."""
        limit = self._get(start_key, now)
        if named_at <= limit.named_at:
            return False
        is_changed = rate_per_s != limit.rate_per_s
        limit.change(rate_per_s, named_at, now)
        return is_changed

    def _get(self, start_key: str, now: float) -> RateLimit:
        limit = self.by_start.get(start_key)
        if limit is None:
            limit = RateLimit(now)
            self.by_start[start_key] = limit
            while len(self.by_start) > MAX_WORKERS:
                self.by_start.pop(next(iter(self.by_start)))
        return limit
