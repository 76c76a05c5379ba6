"""Outlier ejection of one worker, without I/O; times are monotonic seconds."""

CONSECUTIVE_FAILURES = 3  # unanswered or failed requests until ejection
FIRST_EJECTION_S = 1.0  # a crashed worker is back after some seconds
MAX_EJECTION_S = 8.0
UNREACHABLE_S = 0.5  # ejection after one failed connect
FORGET_S = 20.0  # good behaviour after which ejections start short again


class Health:
    """Count failures and eject a worker for growing times."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failed_at',
        'failures',
    )

    def __init__(self) -> None:
        """Start healthy."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float = 0
        self.failed_at: float = 0

    def is_ejected(self, now: float) -> bool:
        """Tell whether the worker should rest."""
        return now < self.ejected_until

    def record_success(self) -> None:
        """Note an answer that was not a failure."""
        self.failures = 0

    def record_failure(self, now: float) -> bool:
        """Note a failed request; tell whether the worker is ejected now."""
        if now - self.failed_at > FORGET_S:
            self.ejections = 0
        self.failed_at = now
        self.failures += 1
        if self.failures < CONSECUTIVE_FAILURES or self.is_ejected(now):
            return False
        self._eject(now, FIRST_EJECTION_S)
        return True

    def record_unreachable(self, now: float) -> None:
        """Note that no connection could be made."""
        self.failed_at = now
        if not self.is_ejected(now):
            self._eject(now, UNREACHABLE_S)

    def _eject(self, now: float, shortest_s: float) -> None:
        rest_s = min(MAX_EJECTION_S, shortest_s * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + rest_s
