"""Token bucket that limits retries to a ratio of the requests."""

INITIAL_RETRIES = 10.0  # available before any request was sent


class RetryBudget:
    """Limit the retries to one upstream."""

    __slots__ = ('retries_per_request', 'available')

    def __init__(self, retries_per_request: float) -> None:
        """Set the number of retries that each request sent adds."""
        self.retries_per_request = retries_per_request
        self.available = INITIAL_RETRIES

    def record_request(self) -> None:
        """Add the retries that a request allows, up to a maximum."""
        self.available = min(
            INITIAL_RETRIES * 10, self.available + self.retries_per_request
        )

    def spend(self) -> bool:
        """Use up one retry; return whether one was available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
