"""Time of day that ignores jumps of the host's clock."""

import statistics

from citronjunction.transport import timer_queue

JUMP_S = 0.5  # more than clocks of hosts differ, less than a step


class SteadyClock:
    """Add the time since the start to the time of day at the start."""

    __slots__ = ('offset_s', 'peers', 'timers')

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        """Take the clocks of the process."""
        self.timers = timers
        self.offset_s = timers.wall_time() - timers.boot_time()
        self.peers: dict[str, float] = {}

    def now(self) -> float:
        """Return seconds since the epoch."""
        return self.timers.boot_time() + self.offset_s

    def compare_with_peer(self, name: str, sent_at: float) -> bool:
        """Compare with a peer; tell whether this clock was corrected."""
        self.peers[name] = sent_at - self.timers.boot_time()
        if len(self.peers) < 2:
            return False
        common = statistics.median_low([*self.peers.values(), self.offset_s])
        if abs(common - self.offset_s) <= JUMP_S:
            return False
        self.offset_s = common
        return True
