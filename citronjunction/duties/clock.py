"""Time of day that is unaffected by steps of the host's wall clock."""

import statistics

from citronjunction.transport import timer_queue

MAX_SKEW_S = 0.5  # above the usual skew between hosts, below a clock step


class SteadyClock:
    """Derive the time of day from the boot clock and a fixed offset.

    The offset is the wall clock's at the start, until peers disagree with it.
    """

    __slots__ = ('offset_s', 'peer_offsets_s', 'timers')

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        self.timers = timers
        self.offset_s = timers.wall_time() - timers.boot_time()
        self.peer_offsets_s: dict[str, float] = {}

    def now(self) -> float:
        """Return the time of day in seconds since the Unix epoch."""
        return self.timers.boot_time() + self.offset_s

    def compare_with_peer(self, name: str, sent_at: float) -> bool:
        """Compare this clock with a peer's and correct it if it is off.

        With at least two peers known, an offset that is more than
        ``MAX_SKEW_S`` from the median of the peers' and its own offsets is
        replaced by the median. Return whether that happened.
        """
        self.peer_offsets_s[name] = sent_at - self.timers.boot_time()
        if len(self.peer_offsets_s) < 2:
            return False
        median_s = statistics.median_low(
            [*self.peer_offsets_s.values(), self.offset_s]
        )
        if abs(median_s - self.offset_s) <= MAX_SKEW_S:
            return False
        self.offset_s = median_s
        return True
