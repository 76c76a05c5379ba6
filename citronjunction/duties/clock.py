"""Time of day that is unaffected by steps of the host's wall clock."""

import collections
import statistics

from citronjunction.transport import timer_queue

MAX_SKEW_S = 0.5  # above the usual skew between hosts, below a clock step
MAX_STATES = 5  # latest states of a peer, of which the fastest counts
MIN_STATES = 3  # of a peer, before it turns this clock back


class SteadyClock:
    """Derive the time of day from the boot clock and a fixed offset.

    The offset is the wall clock's at the start, until peers disagree with it.
    """

    __slots__ = ('offset_s', 'peer_offsets_s', 'timers')

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        self.timers = timers
        self.offset_s = timers.wall_time() - timers.boot_time()
        # Offsets of each peer as its latest states show them.
        self.peer_offsets_s: dict[str, collections.deque[float]] = {}

    def now(self) -> float:
        """Return the time of day in seconds since the Unix epoch."""
        return self.timers.boot_time() + self.offset_s

    def compare_with_peer(self, name: str, sent_at: float) -> bool:
        """Compare this clock with a peer's and correct it if it is off.

        With at least two peers known, an offset that is more than
        ``MAX_SKEW_S`` from the median of the peers' and its own offsets is
        replaced by the median; a clock that is ahead only after ``MIN_STATES``
        of each of these peers. Return whether that happened.
        """
        offsets_s = self.peer_offsets_s.setdefault(
            name, collections.deque(maxlen=MAX_STATES)
        )
        offsets_s.append(sent_at - self.timers.boot_time())
        # A state arrives late by an unknown time, which only lowers the offset.
        if self._get_median(1) - self.offset_s > MAX_SKEW_S:
            self.offset_s = self._get_median(1)
            return True
        if self.offset_s - self._get_median(MIN_STATES) > MAX_SKEW_S:
            self.offset_s = self._get_median(MIN_STATES)
            return True
        return False

    def _get_median(self, min_states: int) -> float:
        """Return the median of the own offset and of peers with enough states.

        Return the own offset if there are fewer than two.
        """
        known_s = [
            max(offsets_s)
            for offsets_s in self.peer_offsets_s.values()
            if len(offsets_s) >= min_states
        ]
        if len(known_s) < 2:
            return self.offset_s
        return statistics.median_low([*known_s, self.offset_s])
