"""Retry budget of an upstream, divided among entries, without I/O."""

import collections

# Share of the budget that is used. The rest is a margin, because an entry sees
# only its own requests.
BUDGET_SAFETY = 0.8
BUCKET_S = 1.0  # resolution of the window


class RetryBudget:
    """Allow retries in proportion to the requests of a sliding window."""

    __slots__ = ('ratio', 'requests', 'retries', 'slack', 'window_s')

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        """Set the retries per request and the fleet's slack per window.

        The slack is the number of retries that are allowed without requests.
        """
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.requests: collections.Counter[int] = collections.Counter()
        self.retries: collections.Counter[int] = collections.Counter()

    def record_request(self, now: float) -> None:
        """Count a caller's request, which increases the budget."""
        self.requests[int(now / BUCKET_S)] += 1

    def spend(self, entries: int, now: float) -> bool:
        """Spend a retry; return whether this entry's budget allows it."""
        current = int(now / BUCKET_S)
        oldest = current - int(self.window_s / BUCKET_S)
        for counter in (self.requests, self.retries):
            for bucket in tuple(counter):
                if bucket < oldest:
                    counter.pop(bucket)
        allowed = self.ratio * self.requests.total()
        allowed += self.slack / max(1, entries)
        if self.retries.total() + 1 > allowed * BUDGET_SAFETY:
            return False
        self.retries[current] += 1
        return True
