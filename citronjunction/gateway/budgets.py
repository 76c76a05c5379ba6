"""Retry budget of an upstream over all entries, without I/O."""

import collections

BUDGET_SAFETY = 0.8  # of the budget, since entries see only their own requests
BUCKET_S = 1.0  # resolution of the window


class RetryBudget:
    """Allow retries in proportion to the requests of a sliding window."""

    __slots__ = ('ratio', 'retries', 'sent', 'slack', 'window_s')

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        """Take the fleet's retries a request and those free a window."""
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.sent: collections.Counter[int] = collections.Counter()
        self.retries: collections.Counter[int] = collections.Counter()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self.sent[int(now / BUCKET_S)] += 1

    def spend(self, entries: int, now: float) -> bool:
        """Use a retry if this entry's part of the budget has one left."""
        current = int(now / BUCKET_S)
        oldest = current - int(self.window_s / BUCKET_S)
        for counter in (self.sent, self.retries):
            for bucket in tuple(counter):
                if bucket < oldest:
                    counter.pop(bucket)
        allowed = self.ratio * self.sent.total()
        allowed += self.slack / max(1, entries)
        if self.retries.total() + 1 > allowed * BUDGET_SAFETY:
            return False
        self.retries[current] += 1
        return True
