"""Concurrency limit of a worker that starts or recovers, found by AIMD.

The limit counts the requests of one entry. While first events are on time it
rises, after the first late one more slowly; late ones and failures halve it.
Times are monotonic seconds.
"""

START_LIMIT = 1.0
DECREASE_FACTOR = 0.5
USED_SHARE = 0.5  # of the limit; below, answers on time prove nothing
SLOW_GROWTH = 0.5  # of the limit in a round, after the first late answer
ROUND_S = 0.3  # late events within it have one cause and halve the limit once
# A worker that was not late for so long needs no limit any more.
LEARN_S = 10.0


class LearnedLimit:
    """Limit of an entry's requests at one worker.

    ``full`` is the number of requests that the worker takes at once; a limit
    that reaches it ends.
    """

    __slots__ = ('full', 'grows_fast', 'late_at', 'limit', 'reduced_at')

    def __init__(self, full: int, now: float) -> None:
        self.full = full
        self.limit = START_LIMIT
        self.grows_fast = True
        self.late_at = now
        self.reduced_at = float('-inf')

    def is_over(self, now: float) -> bool:
        """Return whether the worker needs no limit any more."""
        return self.limit >= self.full or now - self.late_at >= LEARN_S

    def permits(self, running: int) -> bool:
        """Return whether one more request may be sent beside others."""
        return running < self.limit

    def record_on_time(self, running: int) -> None:
        """Raise the limit if requests that were ``running`` made use of it."""
        if running + 1 < self.limit * USED_SHARE:
            return
        self.limit += 1 if self.grows_fast else SLOW_GROWTH / self.limit

    def record_late(self, now: float) -> bool:
        """Reduce the limit, once a round; return whether it was reduced."""
        self.late_at = now
        self.grows_fast = False
        if now - self.reduced_at < ROUND_S:
            return False
        self.reduced_at = now
        self.limit = max(START_LIMIT, self.limit * DECREASE_FACTOR)
        return True
