"""Outlier ejection of one worker, without I/O; times are monotonic seconds.

Failures in a row tell of a worker that is down. One that fails for some
requests shows in the share of all entries' requests that failed there of late.
"""

import collections

CONSECUTIVE_FAILURES = 3  # unanswered or failed requests until ejection
FIRST_EJECTION_S = 1.0  # a crashed worker is back after some seconds
MAX_EJECTION_S = 8.0
UNREACHABLE_S = 0.5  # ejection after one failed connect
WINDOW_S = 3.0  # over which answers and failures are counted
BUCKET_S = 0.5  # resolution of the window
MIN_OUTLIER_FAILURES = 5  # of all entries in the window until the share counts
# Usual errors stay far below, also where a seventh of the reads fail.
OUTLIER_FAILURE_SHARE = 0.5
BACKOFF_RESET_S = 20.0  # good behaviour after which ejections start short again


class Health:
    """Count failures and eject a worker for growing times."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failed_at',
        'failures',
        'peer_answers',
        'peer_failures',
        'recent',
    )

    def __init__(self) -> None:
        """Start healthy."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float = 0
        self.failed_at: float = 0
        self.peer_answers = 0
        self.peer_failures = 0
        # Start of a slice, answers of any kind, failures.
        self.recent: collections.deque[list[float]] = collections.deque()

    def is_ejected(self, now: float) -> bool:
        """Tell whether the worker should rest."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Note an answer that was not a failure."""
        self.failures = 0
        self._count(now, 0)

    def record_failure(self, now: float) -> bool:
        """Note a failed request; tell whether the worker is ejected now."""
        if now - self.failed_at > BACKOFF_RESET_S:
            self.ejections = 0
        self.failed_at = now
        self.failures += 1
        self._count(now, 1)
        return self.eject_if_failing(now)

    def set_peer_counts(self, answers: int, failures: int) -> None:
        """Take what the other entries counted of late."""
        self.peer_answers = answers
        self.peer_failures = failures

    def eject_if_failing(self, now: float) -> bool:
        """Eject the worker if it fails; tell whether it is ejected now."""
        if self.is_ejected(now):
            return False
        in_a_row = self.failures >= CONSECUTIVE_FAILURES
        if not in_a_row and not self._is_outlier(now):
            return False
        self._eject(now, FIRST_EJECTION_S)
        return True

    def measure(self, now: float) -> tuple[int, int]:
        """Return the own answers and failures of late."""
        while self.recent and self.recent[0][0] <= now - WINDOW_S:
            self.recent.popleft()
        answers = sum(count for _, count, _ in self.recent)
        failures = sum(count for _, _, count in self.recent)
        return int(answers), int(failures)

    def record_unreachable(self, now: float) -> None:
        """Note that no connection could be made."""
        self.failed_at = now
        if not self.is_ejected(now):
            self._eject(now, UNREACHABLE_S)

    def _count(self, now: float, failures: int) -> None:
        start = now - now % BUCKET_S
        if not self.recent or self.recent[-1][0] < start:
            self.recent.append([start, 0, 0])
        self.recent[-1][1] += 1
        self.recent[-1][2] += failures

    def _is_outlier(self, now: float) -> bool:
        answers, failures = self.measure(now)
        answers += self.peer_answers
        failures += self.peer_failures
        if failures < MIN_OUTLIER_FAILURES:
            return False
        return failures >= OUTLIER_FAILURE_SHARE * answers

    def _eject(self, now: float, shortest_s: float) -> None:
        # The next ejection by share needs failures of its own.
        self.recent.clear()
        self.set_peer_counts(0, 0)
        ejection_s = min(MAX_EJECTION_S, shortest_s * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + ejection_s
