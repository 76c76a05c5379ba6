"""Outages of the store, as an entry sees them."""

SETTLE_S = 0.5  # by then what peers got before an outage has arrived
# An entry may notice so much later than others that the store is back.
RETURN_LAG_S = 2.0


class Outage:
    """Tell an outage of the whole store from one of this entry alone.

    Peers that write to the store meanwhile show that it answers others. Times
    are monotonic seconds.
    """

    __slots__ = ('answered_at', 'began_at', 'kinds')

    def __init__(self) -> None:
        self.kinds: set[str] = set()
        self.began_at: float = 0
        # When the store first answered a peer during the outage.
        self.answered_at: float | None = None

    def begin(self, kind: str, now: float) -> None:
        """Record that the store does not answer for a kind."""
        if not self.kinds:
            self.began_at = now
            self.answered_at = None
        self.kinds.add(kind)

    def end(self, kind: str, now: float) -> bool:
        """Record an answer for a kind; return whether all were without one."""
        self.kinds.discard(kind)
        answered_at = self.answered_at
        return answered_at is None or now - answered_at < RETURN_LAG_S

    def record_answer(self, now: float) -> None:
        """Record that the store has just answered a peer."""
        has_settled = now - self.began_at >= SETTLE_S
        if self.kinds and has_settled and self.answered_at is None:
            self.answered_at = now
